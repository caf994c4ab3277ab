// Simulate runs whole controllers of onyxwell on a simulated clock, network and
// disk, seed after seed, and says whether a promise was broken.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/simulation"
)

// runFlags is what makes one run what it is.
type runFlags struct {
	Site      string        `help:"Deployment that is played: see 'simulate list'." default:"three"`
	Point     int           `help:"Draw the troubles of one of the points of docs/hardening.md, 1 to 4; 0 takes all." default:"0"`
	Trouble   []string      `help:"Draw only this kind of trouble; may be given again." placeholder:"NAME"`
	Length    time.Duration `help:"Simulated time during which troubles come." default:"40s"`
	Quiet     bool          `help:"Leave all troubles out."`
	Hurry     bool          `help:"Have the operators give orders eight times as fast."`
	Operators int           `help:"How many give orders; each has up to eight under way." default:"2"`
	Drill     string        `hidden:""`
	Service   string        `hidden:""`
}

type commandLine struct {
	Run struct {
		runFlags
		From   uint64        `help:"First seed." default:"1"`
		Seeds  int           `help:"How many seeds." default:"20"`
		Jobs   int           `help:"How many processes at once." default:"2"`
		Within time.Duration `help:"End after this time, whatever was played." default:"10m"`
	} `cmd:"" default:"withargs" help:"Play many seeds and sum them up (the default)."`
	Seed struct {
		runFlags
		Number uint64 `arg:"" help:"The seed."`
		Trace  bool   `help:"Write all that happens, a JSON line each."`
	} `cmd:"" help:"Play one seed again."`
	Redundancy redundancyCommand   `cmd:"" help:"Play each kind of loss again and again and tell how long it took until redundancy was whole again."`
	Service    availabilityCommand `cmd:"" help:"Tell how many changes are taken and how long nobody serves after the owner of the configuration is lost."`
	List       struct{}            `cmd:"" help:"List the deployments and the troubles."`
	Batch      struct {
		runFlags
		From  uint64
		Seeds int
	} `cmd:"" hidden:""`
}

// options checks the settings and names the one that is wrong.
func (r runFlags) options() (simulation.Options, error) {
	site, found := simulation.Sites[r.Site]
	if !found {
		return simulation.Options{}, fmt.Errorf("--site: %q is not known; see 'simulate list'", r.Site)
	}
	known := map[string]bool{}
	for _, name := range simulation.Faults() {
		known[name] = true
	}
	for _, name := range r.Trouble {
		if !known[name] {
			return simulation.Options{}, fmt.Errorf("--trouble: %q is not known; see 'simulate list'", name)
		}
	}
	checks := []struct {
		holds bool
		text  string
	}{
		{r.Point >= 0 && r.Point <= 4, "--point wants 0 to 4"},
		{r.Length >= 10*time.Second && r.Length <= time.Hour, "--length wants 10s to 1h"},
		{r.Operators >= 1 && r.Operators <= 16, "--operators wants 1 to 16"},
	}
	for _, check := range checks {
		if !check.holds {
			return simulation.Options{}, errors.New(check.text)
		}
	}
	return simulation.Options{Site: site, Point: r.Point, OnlyFaults: r.Trouble, Duration: r.Length, Clients: r.Operators, NoFaults: r.Quiet, HighLoad: r.Hurry, Drill: r.Drill, OwnerFault: r.Service}, nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("simulate"), kong.Description(
		"Runs whole controllers on a simulated clock, network and disk while machines are cut off, frozen, killed, wiped and replaced. The status is 1 where a promise was broken."))
	if err != nil {
		return reportError(err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return reportError(err)
	}
	commands := map[string]func() (int, error){
		"run":           func() (int, error) { return line.runSeeds() },
		"seed <number>": func() (int, error) { return line.runSeed() },
		"batch":         func() (int, error) { return line.runBatch() },
		"redundancy":    func() (int, error) { return line.Redundancy.run() },
		"service":       func() (int, error) { return line.Service.run() },
		"list":          list,
	}
	status, err := commands[parsed.Command()]()
	if err != nil {
		return reportError(err)
	}
	return status
}

func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "simulate:", err)
	return 2
}

func list() (int, error) {
	fmt.Println("deployments:")
	for _, name := range []string{"three", "close", "five", "six", "nine"} {
		site := simulation.Sites[name]
		fmt.Printf("  %-8s %d controllers, %d may be lost at once, %s between regions, %s a sync\n", name, len(site.Locations), site.MaxLosses, site.InterRegionLatency, site.SyncLatency)
	}
	fmt.Println("troubles:")
	for _, name := range simulation.Faults() {
		fmt.Println("  " + name)
	}
	return 0, nil
}
