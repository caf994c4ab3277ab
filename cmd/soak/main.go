// Soak runs the product's daemons as real processes under troubles that overlap
// in time, and judges whether every promise was kept.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/emulator/runner"
	"onyxwell/soak"
)

type runCommand struct {
	From      uint64        `help:"The first seed." default:"1"`
	Seeds     int           `help:"How many seeds are played." default:"1"`
	Jobs      int           `help:"How many are played at once; each has about ten processes." default:"1"`
	Length    time.Duration `help:"The time in which troubles begin." default:"30s"`
	Overlap   int           `help:"How many troubles begin close to each other." default:"3"`
	Every     time.Duration `help:"The time between such moments." default:"3s"`
	Trouble   []string      `help:"A trouble that is drawn, by name; may be given often. None is all; the command troubles lists them." placeholder:"NAME"`
	Regions   int           `help:"Regions." default:"3"`
	Zones     int           `help:"Zones of each region, each with a controller." default:"1"`
	Routers   int           `help:"Routers of each zone." default:"2"`
	Runners   int           `help:"Model runners." default:"9"`
	Clients   int           `help:"Clients, one request at a time each." default:"12"`
	Operators int           `help:"Operators, one order at a time each." default:"3"`
	Rude      float64       `help:"The part of the requests that no client should send." default:"0.02"`
	Mix       string        `help:"The troubles of runners: none, or all at the emulator's rates." enum:"none,all" default:"none"`
	Subnet    int           `help:"The second byte of the loopback addresses of the first job; further jobs have later ones." default:"40"`
	Folder    string        `help:"Where logs and disks are kept; those of runs that found nothing are removed." default:"soak-logs"`
	Keep      bool          `help:"Keep the folders of all runs."`
}

type commandLine struct {
	Run      runCommand `cmd:"" help:"Play seeds and judge. Status 0: nothing was found; 1: a wrong setting, or a run that could not be played; 2: a promise was broken, with the line that plays the seed again."`
	Troubles struct{}   `cmd:"" help:"List the troubles, then stop."`
	Daemon   struct {
		Role      string   `arg:""`
		Arguments []string `arg:"" optional:"" passthrough:""`
	} `cmd:"" hidden:"" help:"Be a daemon of a soak: orders come on standard input."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, out io.Writer, complaints io.Writer) int {
	// A daemon's own command line has the words of the program that ships.
	if len(arguments) > 1 && arguments[0] == "daemon" {
		return soak.RunDaemon(arguments[1], arguments[2:], os.Stdin)
	}
	var line commandLine
	shown := false
	parser, err := kong.New(&line, kong.Name("soak"), kong.Writers(out, complaints), kong.Vars{"version": "soak " + program.Version},
		kong.Exit(func(int) { shown = true }),
		kong.Description("Runs controllers and routers as real processes on loopback addresses, under kills, pauses, cuts, lost answers and planned work that overlap, with clients and operators, and judges every promise."))
	var parsed *kong.Context
	if err == nil {
		parsed, err = parser.Parse(arguments)
	}
	if shown {
		return 0
	}
	status := 0
	if err == nil {
		commands := map[string]func() (int, error){
			"run":      func() (int, error) { return line.Run.execute(out) },
			"troubles": func() (int, error) { return 0, listFaults(out) },
		}
		status, err = commands[parsed.Command()]()
	}
	if err != nil {
		fmt.Fprintf(complaints, "soak: %v\n", err)
		return 1
	}
	return status
}

func listFaults(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range soak.FaultNames() {
		fmt.Fprintf(table, "%s\t%s\n", name, soak.FaultDescription(name))
	}
	return table.Flush()
}

// subnetsPerRun is how far the addresses of runs at one time lie apart.
const subnetsPerRun = 15

func (r runCommand) execute(out io.Writer) (int, error) {
	own, err := os.Executable()
	if err != nil {
		return 0, err
	}
	if r.Jobs < 1 || r.Jobs > 10 || r.Seeds < 1 {
		return 0, fmt.Errorf("jobs %d, seeds %d: 1 to 10 jobs and 1 seed or more are wanted", r.Jobs, r.Seeds)
	}
	stopped, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	top := scope.New(scope.Options{}).WithContext(stopped)
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for index := range r.Seeds {
			select {
			case seeds <- r.From + uint64(index):
			case <-stopped.Done():
				return
			}
		}
	}()
	var workers sync.WaitGroup
	var lock sync.Mutex
	status, played := 0, 0
	var failed error
	for job := range r.Jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				report, err := soak.Run(top, r.options(own, seed, job))
				lock.Lock()
				played++
				if err == nil {
					report.Print(out)
					if !r.Keep {
						err = report.RemoveDirIfClean()
					}
				}
				if err != nil {
					failed = errors.Join(failed, fmt.Errorf("seed %d: %w", seed, err))
				}
				if len(report.Findings) > 0 {
					status = 2
				}
				lock.Unlock()
			}
		}()
	}
	workers.Wait()
	fmt.Fprintf(out, "%d of %d seeds played\n", played, r.Seeds)
	return status, failed
}

func (r runCommand) options(own string, seed uint64, job int) soak.Options {
	options := soak.Options{
		Seed: seed, Duration: r.Length, FaultsPerBurst: r.Overlap, BurstInterval: r.Every, Faults: r.Trouble,
		Regions: r.Regions, Zones: r.Zones, Routers: r.Routers, Runners: r.Runners,
		Clients: r.Clients, Operators: r.Operators, MalformedRate: r.Rude, Subnet: r.Subnet + job*subnetsPerRun,
		Dir: filepath.Join(r.Folder, fmt.Sprintf("seed-%d", seed)), DaemonCommand: []string{own, "daemon"},
	}
	if r.Mix == "all" {
		options.RunnerFaults = runner.AllFaults()
	}
	return options
}
