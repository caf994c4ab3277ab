// Package soak runs the product's own daemons as real processes on loopback
// sockets, lets troubles loose on them that overlap in time, has clients and
// operators go on meanwhile, and judges afterwards whether every promise was
// kept. What is drawn from a seed is drawn the same again; what the processes
// make of it varies from run to run.
package soak

import (
	"errors"
	"fmt"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/emulator/runner"
	"onyxwell/soak/localcluster"
)

// Options are one run.
type Options struct {
	Seed uint64
	// Duration is the time in which troubles begin.
	Duration clock.Span
	// FaultsPerBurst is how many troubles begin close to each other, Every the time
	// between such moments.
	FaultsPerBurst int
	BurstInterval  clock.Span
	// Faults are the troubles that are drawn; none is all.
	Faults    []string
	Regions   int
	Zones     int
	Routers   int
	Runners   int
	Clients   int
	Operators int
	// RunnerFaults are the troubles of runners, Rude the part of rude requests.
	RunnerFaults  runner.FaultRates
	MalformedRate float64
	// Subnet is the second byte of the loopback addresses.
	Subnet int
	// Dir is where logs and disks are kept.
	Dir string
	// DaemonCommand is the command line that runs one daemon of the soak (see Serve).
	DaemonCommand []string
	// Say is told what happens, line by line.
	Say func(text string)
}

// DefaultOptions are a run of three controllers and six routers.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Duration: 30 * clock.Second, FaultsPerBurst: 3, BurstInterval: 3 * clock.Second,
		Regions: 3, Zones: 1, Routers: 2, Runners: 9, Clients: 12, Operators: 3, MalformedRate: 0.02, Subnet: 40,
	}
}

// Validate tells all that is wrong with the options.
func (o Options) Validate() error {
	var found []error
	for _, number := range []struct {
		name        string
		value       int
		least, most int
	}{
		{"overlap", o.FaultsPerBurst, 0, 10}, {"regions", o.Regions, 1, 9}, {"zones", o.Zones, 1, 9},
		{"routers", o.Routers, 1, 10}, {"runners", o.Runners, 2, 100}, {"clients", o.Clients, 1, 500},
		{"operators", o.Operators, 0, 20}, {"subnet", o.Subnet, 3, 200},
	} {
		if number.value < number.least || number.value > number.most {
			found = append(found, fmt.Errorf("%s %d: %d to %d is wanted", number.name, number.value, number.least, number.most))
		}
	}
	if daemons := o.Regions * o.Zones * (o.Routers + 1); daemons > 60 {
		found = append(found, fmt.Errorf("%d daemons: 60 at the most", daemons))
	}
	if o.Duration < clock.Second || o.Duration > 10*60*clock.Second {
		found = append(found, fmt.Errorf("length %v: 1s to 10m is wanted", o.Duration))
	}
	if o.BurstInterval < clock.Second/2 {
		found = append(found, fmt.Errorf("every %v: 500ms or more is wanted", o.BurstInterval))
	}
	if !(o.MalformedRate >= 0 && o.MalformedRate <= 1) {
		found = append(found, fmt.Errorf("rude %g: 0 to 1 is wanted", o.MalformedRate))
	}
	for _, name := range o.Faults {
		if _, known := faultByName(name); !known {
			found = append(found, fmt.Errorf("trouble %q: one of %s is wanted", name, strings.Join(FaultNames(), ", ")))
		}
	}
	return errors.Join(found...)
}

// ReproduceCommand is the command line that plays the run again.
func (o Options) ReproduceCommand() string {
	text := fmt.Sprintf("soak run --from %d --seeds 1 --length %v --overlap %d --every %v --regions %d --zones %d --routers %d --runners %d --clients %d --operators %d --rude %g",
		o.Seed, o.Duration, o.FaultsPerBurst, o.BurstInterval, o.Regions, o.Zones, o.Routers,
		o.Runners, o.Clients, o.Operators, o.MalformedRate)
	if len(o.RunnerFaults) > 0 {
		text += " --mix all"
	}
	for _, kind := range o.Faults {
		text += " --trouble " + kind
	}
	return text
}

// Bounds of the deployment that a soak runs; those of layout.Settings.
const (
	gracePeriod    = 4 * clock.Second
	applyWithin    = 3 * clock.Second
	evacuateWithin = 5 * clock.Second
	recoverWithin  = 12 * clock.Second
	catchUpWithin  = 4 * clock.Second
	memoryLimitMB  = 184
)

func (o Options) layout() localcluster.Layout {
	return localcluster.Layout{
		Regions: o.Regions, ZonesPerRegion: o.Zones, RoutersPerZone: o.Routers, Subnet: o.Subnet,
		GraceS: gracePeriod.Seconds(), MemoryMB: memoryLimitMB,
	}
}

// plannedOnly tells whether nothing but planned work is played, so that no request
// may be cut.
func (o Options) plannedOnly() bool {
	if len(o.Faults) == 0 || len(o.RunnerFaults) > 0 {
		return false
	}
	for _, name := range o.Faults {
		if kind, _ := faultByName(name); !kind.planned {
			return false
		}
	}
	return true
}
