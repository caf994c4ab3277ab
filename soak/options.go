// Package soak runs the daemons as real processes on loopback addresses, injects
// faults that overlap in time while clients and operators go on, and checks
// afterwards whether every guarantee held.
//
// Everything that is drawn at random is drawn from the seed, so a seed repeats
// the same faults and the same requests. What the processes make of them varies
// from run to run.
package soak

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"onyxwell/emulator/runner"
	"onyxwell/soak/localcluster"
)

// Options are the size, the load and the faults of a run.
type Options struct {
	Seed uint64
	// Duration is the time in which faults are injected.
	Duration time.Duration
	// FaultsPerBurst is how many faults begin within a second of each other,
	// BurstInterval the mean time between such bursts.
	FaultsPerBurst int
	BurstInterval  time.Duration
	// Faults are the names of the faults to draw from; none is all.
	Faults []string
	// Zones counts the zones of each region, Routers the routers of each zone, and
	// Runners those of the whole cluster.
	Regions int
	Zones   int
	Routers int
	Runners int
	// Clients and Operators each have one request in flight.
	Clients   int
	Operators int
	// Applications add to counters and read them.
	Applications int
	// RunnerFaults are the rates at which runners misbehave.
	RunnerFaults runner.FaultRates
	// MalformedRate is the fraction of requests, 0 to 1, that no client should send.
	MalformedRate float64
	// Subnet is the second byte of the loopback addresses; see localcluster.Layout.
	Subnet int
	// Dir is where logs and data directories are written.
	Dir string
	// DaemonCommand is the command line to which a role and its flags are appended,
	// and which then calls RunDaemon with them.
	DaemonCommand []string
}

// DefaultOptions returns a run of three controllers and six routers.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Duration: 30 * time.Second, FaultsPerBurst: 3, BurstInterval: 3 * time.Second,
		Regions: 3, Zones: 1, Routers: 2, Runners: 9, Clients: 12, Operators: 3, Applications: 3, MalformedRate: 0.02, Subnet: 40,
	}
}

const (
	maxDaemons       = 250
	minDuration      = time.Second
	maxDuration      = 10 * time.Minute
	minBurstInterval = 500 * time.Millisecond
)

// Validate returns an error that names every invalid option by its flag.
func (o Options) Validate() error {
	var errs []error
	for _, option := range []struct {
		flag     string
		value    int
		min, max int
	}{
		{"overlap", o.FaultsPerBurst, 0, 10}, {"regions", o.Regions, 1, 9}, {"zones", o.Zones, 1, 9},
		{"routers", o.Routers, 1, 10}, {"runners", o.Runners, 2, 100}, {"clients", o.Clients, 1, 500},
		{"operators", o.Operators, 0, 20}, {"applications", o.Applications, 0, 50}, {"subnet", o.Subnet, 3, 200},
	} {
		if option.value < option.min || option.value > option.max {
			errs = append(errs, fmt.Errorf("%s %d: %d to %d is wanted", option.flag, option.value, option.min, option.max))
		}
	}
	if daemons := o.Regions * o.Zones * (o.Routers + 1); daemons > maxDaemons {
		errs = append(errs, fmt.Errorf("%d daemons: %d at the most", daemons, maxDaemons))
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		errs = append(errs, fmt.Errorf("length %v: 1s to 10m is wanted", o.Duration))
	}
	if o.BurstInterval < minBurstInterval {
		errs = append(errs, fmt.Errorf("every %v: 500ms or more is wanted", o.BurstInterval))
	}
	if !(o.MalformedRate >= 0 && o.MalformedRate <= 1) {
		errs = append(errs, fmt.Errorf("rude %g: 0 to 1 is wanted", o.MalformedRate))
	}
	for _, name := range o.Faults {
		if _, ok := faultByName(name); !ok {
			errs = append(errs, fmt.Errorf("trouble %q: one of %s is wanted", name, strings.Join(FaultNames(), ", ")))
		}
	}
	return errors.Join(errs...)
}

// ReproduceCommand returns the command line that runs the seed again.
func (o Options) ReproduceCommand() string {
	command := fmt.Sprintf("soak run --from %d --seeds 1 --length %v --overlap %d --every %v --regions %d --zones %d --routers %d --runners %d --clients %d --operators %d --applications %d --rude %g",
		o.Seed, o.Duration, o.FaultsPerBurst, o.BurstInterval, o.Regions, o.Zones, o.Routers,
		o.Runners, o.Clients, o.Operators, o.Applications, o.MalformedRate)
	if len(o.RunnerFaults) > 0 {
		command += " --mix all"
	}
	for _, name := range o.Faults {
		command += " --trouble " + name
	}
	return command
}

const (
	// gracePeriod is the time that a daemon has to shut down.
	gracePeriod = 4 * time.Second
	// memoryLimitMB is the memory that a daemon may have.
	memoryLimitMB = 184
)

func (o Options) layout() localcluster.Layout {
	return localcluster.Layout{
		Regions: o.Regions, ZonesPerRegion: o.Zones, RoutersPerZone: o.Routers, Subnet: o.Subnet,
		GraceS: gracePeriod.Seconds(), MemoryMB: memoryLimitMB,
	}
}

// plannedOnly reports whether only planned work is injected. Then no request may
// be lost and every daemon must shut down gracefully.
func (o Options) plannedOnly() bool {
	if len(o.Faults) == 0 || len(o.RunnerFaults) > 0 {
		return false
	}
	for _, name := range o.Faults {
		if f, _ := faultByName(name); !f.planned {
			return false
		}
	}
	return true
}
