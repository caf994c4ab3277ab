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
	"time"

	"onyxwell/emulator/runner"
	"onyxwell/soak"
)

// runCommand are the flags of the run command.
type runCommand struct {
	From         uint64        `help:"The first seed." default:"1"`
	Seeds        int           `help:"How many seeds are run." default:"1"`
	Jobs         int           `help:"How many are run at once; each has about ten processes." default:"1"`
	Length       time.Duration `help:"The time in which faults are injected." default:"30s"`
	Overlap      int           `help:"How many faults are injected within a second of each other." default:"3"`
	Every        time.Duration `help:"The mean time between such bursts." default:"3s"`
	Trouble      []string      `help:"A fault to draw, by name; may be given more than once. None is all; the command troubles lists them." placeholder:"NAME"`
	Regions      int           `help:"Regions." default:"3"`
	Zones        int           `help:"Zones of each region, each with a controller." default:"1"`
	Routers      int           `help:"Routers of each zone." default:"2"`
	Runners      int           `help:"Model runners." default:"9"`
	Clients      int           `help:"Clients, each with one request in flight." default:"12"`
	Operators    int           `help:"Operators, each with one command in flight." default:"3"`
	Applications int           `help:"Applications that add to counters, each with one call in flight." default:"3"`
	Rude         float64       `help:"The fraction of malformed requests, 0 to 1, which no client should send." default:"0.02"`
	Mix          string        `help:"The faults of runners: none, or all at the emulator's rates." enum:"none,all" default:"none"`
	Subnet       int           `help:"The second byte of the loopback addresses of the first job; further jobs have later ones." default:"40"`
	Folder       string        `help:"Where logs and data directories are kept; those of runs without a finding are removed." default:"soak-logs"`
	Keep         bool          `help:"Keep the logs and data directories of all runs."`
}

const (
	maxJobs = 10
	// subnetsPerRun is the distance between the subnets of concurrent runs.
	subnetsPerRun = 15
	// statusBroken is the exit status where a guarantee was broken.
	statusBroken = 2
)

// execute runs all seeds and returns the exit status. It ends early, with all its
// processes, on SIGINT and SIGTERM.
func (r runCommand) execute(out io.Writer) (status int, err error) {
	executable, err := os.Executable()
	if err != nil {
		return 0, err
	}
	if r.Jobs < 1 || r.Jobs > maxJobs || r.Seeds < 1 {
		return 0, fmt.Errorf("jobs %d, seeds %d: 1 to %d jobs and 1 seed or more are wanted", r.Jobs, r.Seeds, maxJobs)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	seeds := r.seeds(ctx)
	var jobs sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for job := range r.Jobs {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			for seed := range seeds {
				report, runErr := soak.Run(ctx, r.options(executable, seed, job))
				mu.Lock()
				done++
				if runErr == nil {
					runErr = r.finish(out, report)
				}
				if runErr != nil {
					err = errors.Join(err, fmt.Errorf("seed %d: %w", seed, runErr))
				}
				if len(report.Findings) > 0 {
					status = statusBroken
				}
				mu.Unlock()
			}
		}()
	}
	jobs.Wait()
	fmt.Fprintf(out, "%d of %d seeds run\n", done, r.Seeds)
	return status, err
}

// seeds returns a channel of the seeds to run, which is closed after the last one
// or when ctx ends.
func (r runCommand) seeds(ctx context.Context) <-chan uint64 {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for index := range r.Seeds {
			select {
			case seeds <- r.From + uint64(index):
			case <-ctx.Done():
				return
			}
		}
	}()
	return seeds
}

// finish prints the report of a run and removes its directory where it may go.
func (r runCommand) finish(out io.Writer, report soak.Report) error {
	report.Print(out)
	if r.Keep {
		return nil
	}
	return report.RemoveDirIfClean()
}

func (r runCommand) options(executable string, seed uint64, job int) soak.Options {
	options := soak.Options{
		Seed: seed, Duration: r.Length, FaultsPerBurst: r.Overlap, BurstInterval: r.Every, Faults: r.Trouble,
		Regions: r.Regions, Zones: r.Zones, Routers: r.Routers, Runners: r.Runners,
		Clients: r.Clients, Operators: r.Operators, Applications: r.Applications, MalformedRate: r.Rude, Subnet: r.Subnet + job*subnetsPerRun,
		Dir: filepath.Join(r.Folder, fmt.Sprintf("seed-%d", seed)), DaemonCommand: []string{executable, daemonCommand},
	}
	if r.Mix == "all" {
		options.RunnerFaults = runner.AllFaults()
	}
	return options
}
