// Simulate runs whole controllers on a simulated clock, network and disk, seed
// after seed, and reports whether a check failed.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/simulation"
)

// Exit statuses.
const (
	exitOK        = 0
	exitViolation = 1
	exitError     = 2
)

// runFlags are the flags that say what is played. Kong derives the names of the
// flags from those of the fields.
type runFlags struct {
	Site      string        `help:"Deployment that is played: see 'simulate list'." default:"three"`
	Point     int           `help:"Draw the faults of one of the points of docs/hardening.md, 1 to 4; 0 takes all." default:"0"`
	Trouble   []string      `help:"Draw only this kind of fault; may be given again." placeholder:"NAME"`
	Length    time.Duration `help:"Simulated time during which faults are injected." default:"40s"`
	Quiet     bool          `help:"Inject no faults."`
	Hurry     bool          `help:"Have the clients issue commands eight times as fast."`
	Operators int           `help:"How many clients issue commands; each has up to eight in flight." default:"2"`
	Callers   int           `help:"How many applications call counters, each in a zone of its own; 0 takes the faults of cuts between regions out." default:"3"`
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
		Trace  bool   `help:"Write all events, a JSON line each."`
	} `cmd:"" help:"Play one seed again."`
	Redundancy redundancyCommand   `cmd:"" help:"Play each kind of loss again and again and measure how long redundancy takes to be restored."`
	Service    availabilityCommand `cmd:"" help:"Measure how many changes are accepted, and for how long none is after the owner of the configuration is lost."`
	List       struct{}            `cmd:"" help:"List the deployments and the kinds of faults."`
	Batch      struct {
		runFlags
		From  uint64
		Seeds int
	} `cmd:"" hidden:""`
}

// options checks the flags; an error names the one that is wrong.
func (r runFlags) options() (simulation.Options, error) {
	site, ok := simulation.Sites[r.Site]
	if !ok {
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
	switch {
	case r.Point < 0 || r.Point > 4:
		return simulation.Options{}, errors.New("--point wants 0 to 4")
	case r.Length < 10*time.Second || r.Length > time.Hour:
		return simulation.Options{}, errors.New("--length wants 10s to 1h")
	case r.Operators < 1 || r.Operators > 16:
		return simulation.Options{}, errors.New("--operators wants 1 to 16")
	case r.Callers < 0 || r.Callers > 32:
		return simulation.Options{}, errors.New("--callers wants 0 to 32")
	}
	return simulation.Options{
		Site: site, Point: r.Point, OnlyFaults: r.Trouble, Duration: r.Length, Clients: r.Operators, Applications: r.Callers,
		NoFaults: r.Quiet, HighLoad: r.Hurry, Drill: r.Drill, OwnerFault: r.Service,
	}, nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("simulate"), kong.Description(
		"Runs whole controllers on a simulated clock, network and disk while machines are cut off, frozen, killed, wiped and replaced. The status is 1 where a check failed."))
	if err != nil {
		return reportError(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return reportError(err)
	}
	commands := map[string]func() (int, error){
		"run":           line.runSeeds,
		"seed <number>": line.runSeed,
		"batch":         line.runBatch,
		"redundancy":    line.Redundancy.run,
		"service":       line.Service.run,
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
	return exitError
}

func list() (int, error) {
	fmt.Println("deployments:")
	for _, name := range []string{"three", "close", "five", "six", "nine"} {
		site := simulation.Sites[name]
		fmt.Printf("  %-8s %d controllers, %d may be lost at once, %s between regions, %s a sync\n",
			name, len(site.Locations), site.MaxLosses, site.InterRegionLatency, site.SyncLatency)
	}
	fmt.Println("faults:")
	for _, name := range simulation.Faults() {
		fmt.Println("  " + name)
	}
	return exitOK, nil
}
