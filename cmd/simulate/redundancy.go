package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"onyxwell/simulation"
)

// redundancyCommand measures, for each kind of loss, how long redundancy takes to
// be restored.
type redundancyCommand struct {
	Site   string        `help:"Deployment that is played: see 'simulate list'." default:"three"`
	Kind   []string      `help:"Play only this kind of loss; may be given again." placeholder:"NAME"`
	From   uint64        `help:"First seed." default:"1"`
	Seeds  int           `help:"How many seeds of each kind." default:"10"`
	Jobs   int           `help:"How many processes at once." default:"2"`
	Length time.Duration `help:"Simulated time during which losses come." default:"60s"`
	Within time.Duration `help:"End after this time, whatever was played." default:"30m"`
}

// kinds returns the names of the drills that are played.
func (r redundancyCommand) kinds() ([]string, error) {
	drills := simulation.Drills()
	for _, name := range r.Kind {
		if !slices.Contains(drills, name) {
			return nil, fmt.Errorf("--kind: %q is not one of: %s", name, strings.Join(drills, "; "))
		}
	}
	if len(r.Kind) > 0 {
		return r.Kind, nil
	}
	return drills, nil
}

func (r redundancyCommand) flags(drill string) runFlags {
	return runFlags{Site: r.Site, Length: r.Length, Operators: 2, Quiet: true, Drill: drill}
}

// run plays the seeds of each kind and prints a table.
func (r redundancyCommand) run() (int, error) {
	kinds, err := r.kinds()
	if err != nil {
		return 0, err
	}
	if _, err := r.flags("").options(); err != nil {
		return 0, err
	}
	if r.Seeds < 1 || r.Jobs < 1 {
		return 0, errCounts
	}
	var rows []row
	for _, kind := range kinds {
		rows = append(rows, row{name: kind, flags: r.flags(kind)})
	}
	summaries := runRows(rows, r.From, r.Seeds, r.Jobs, r.Within)
	limit := simulation.Sites[r.Site].Bounds.CatchUpS
	fmt.Printf("%s: seconds from a return or the start of the successor (gone, planned: from the loss) until redundancy is restored\n", r.Site)
	fmt.Println("| kind | count | median | 99 in 100 | worst | catch_up_s | outside |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for index, kind := range kinds {
		measured := summaries[index].redundancySeconds
		for _, drill := range sortedKeys(measured) {
			printRedundancyRow(drill, measured[drill], limit)
		}
		if len(measured) == 0 {
			fmt.Printf("| %s | 0 | | | | %g | |\n", kind, limit)
		}
	}
	return printRowFailures(rows, summaries, r.Seeds), nil
}

func printRedundancyRow(drill string, seconds []float64, limit float64) {
	outside := 0
	for _, value := range seconds {
		if value > limit {
			outside++
		}
	}
	fmt.Printf("| %s | %d | %.2f | %.2f | %.2f | %g | %d |\n", drill, len(seconds), quantile(seconds, 0.5), quantile(seconds, 0.99), quantile(seconds, 1), limit, outside)
}
