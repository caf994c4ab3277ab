package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"onyxwell/simulation"
)

// redundancyCommand is the command that measures how long each kind of loss takes until
// all seats are filled and every voter holds all.
type redundancyCommand struct {
	Site   string        `help:"Deployment that is played: see 'simulate list'." default:"three"`
	Kind   []string      `help:"Play only this kind of loss; may be given again." placeholder:"NAME"`
	From   uint64        `help:"First seed." default:"1"`
	Seeds  int           `help:"How many seeds of each kind." default:"10"`
	Jobs   int           `help:"How many processes at once." default:"2"`
	Length time.Duration `help:"Simulated time during which losses come." default:"60s"`
	Within time.Duration `help:"End after this time, whatever was played." default:"30m"`
}

// kinds are those that are played.
func (r redundancyCommand) kinds() ([]string, error) {
	all := simulation.Drills()
	for _, name := range r.Kind {
		if !slices.Contains(all, name) {
			return nil, fmt.Errorf("--kind: %q is not one of: %s", name, strings.Join(all, "; "))
		}
	}
	if len(r.Kind) > 0 {
		return r.Kind, nil
	}
	return all, nil
}

func (r redundancyCommand) flags(kind string) runFlags {
	return runFlags{Site: r.Site, Length: r.Length, Operators: 2, Quiet: true, Drill: kind}
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
		return 0, errors.New("--seeds and --jobs want a number above 0")
	}
	sets := map[string]runFlags{}
	for _, kind := range kinds {
		sets[kind] = r.flags(kind)
	}
	totals := runAll(kinds, sets, r.From, r.Seeds, r.Jobs, r.Within)
	bound := simulation.Sites[r.Site].Bounds.CatchUpS
	fmt.Printf("%s: seconds from a return or the start of the one in its place (gone, planned: from the loss) until redundancy is whole\n", r.Site)
	fmt.Println("| kind | count | median | 99 in 100 | worst | catch_up_s | outside |")
	fmt.Println("|---|---|---|---|---|---|---|")
	status := 0
	for _, kind := range kinds {
		total := totals[kind]
		for _, name := range sortedKeys(total.redundancySeconds) {
			printRow(name, total.redundancySeconds[name], bound)
		}
		if len(total.redundancySeconds) == 0 {
			fmt.Printf("| %s | 0 | | | | %g | |\n", kind, bound)
		}
	}
	for _, kind := range kinds {
		status = max(status, totals[kind].printFailures(kind, r.Seeds))
	}
	return status, nil
}

func printRow(name string, values []float64, bound float64) {
	slices.Sort(values)
	at := func(part float64) float64 { return stat.Quantile(part, stat.Empirical, values, nil) }
	outside := 0
	for _, value := range values {
		if value > bound {
			outside++
		}
	}
	fmt.Printf("| %s | %d | %.2f | %.2f | %.2f | %g | %d |\n", name, len(values), at(0.5), at(0.99), values[len(values)-1], bound, outside)
}

// printFailures prints which seeds broke a promise or were not played.
func (s *summary) printFailures(name string, seeds int) int {
	for _, result := range s.violating {
		fmt.Printf("BROKEN %s, seed %d: %s\n", name, result.Seed, strings.Join(result.Violations, "; "))
	}
	for _, text := range s.failures {
		fmt.Printf("NOT PLAYED %s, %s\n", name, text)
	}
	if len(s.played) < seeds {
		fmt.Printf("%s: %d of %d seeds played\n", name, len(s.played), seeds)
	}
	if len(s.violating) > 0 || len(s.played) < seeds {
		return 1
	}
	return 0
}

// runAll plays the seeds of many settings, a process each.
func runAll(order []string, sets map[string]runFlags, from uint64, seeds int, jobs int, within time.Duration) map[string]*summary {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, end := context.WithTimeout(ctx, within)
	defer end()
	totals, places := map[string]*summary{}, make(chan struct{}, jobs)
	var group sync.WaitGroup
	for _, name := range order {
		totals[name] = newSummary()
		places <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			totals[name].runProcess(ctx, sets[name], from, seeds)
			<-places
		}()
	}
	group.Wait()
	return totals
}
