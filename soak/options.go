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
	"onyxwell/deployment"
	"onyxwell/emulator/runner"
)

// Options are one run.
type Options struct {
	Seed uint64
	// Length is the time in which troubles begin.
	Length clock.Span
	// Overlap is how many troubles begin close to each other, Every the time
	// between such moments.
	Overlap int
	Every   clock.Span
	// Kinds are the troubles that are drawn; none is all.
	Kinds     []string
	Regions   int
	Zones     int
	Routers   int
	Runners   int
	Clients   int
	Operators int
	// Mix are the troubles of runners, Rude the part of rude requests.
	Mix  runner.FaultRates
	Rude float64
	// Subnet is the second byte of the loopback addresses.
	Subnet int
	// Folder is where logs and disks are kept.
	Folder string
	// Program is the command line that runs one daemon of the soak (see Serve).
	Program []string
	// Say is told what happens, line by line.
	Say func(text string)
}

// Defaults are a run of three controllers and six routers.
func Defaults() Options {
	return Options{
		Seed: 1, Length: 30 * clock.Second, Overlap: 3, Every: 3 * clock.Second,
		Regions: 3, Zones: 1, Routers: 2, Runners: 9, Clients: 12, Operators: 3, Rude: 0.02, Subnet: 40,
	}
}

// Check tells all that is wrong with the options.
func (o Options) Check() error {
	var found []error
	for _, number := range []struct {
		name        string
		value       int
		least, most int
	}{
		{"overlap", o.Overlap, 0, 10}, {"regions", o.Regions, 1, 9}, {"zones", o.Zones, 1, 9},
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
	if o.Length < clock.Second || o.Length > 10*60*clock.Second {
		found = append(found, fmt.Errorf("length %v: 1s to 10m is wanted", o.Length))
	}
	if o.Every < clock.Second/2 {
		found = append(found, fmt.Errorf("every %v: 500ms or more is wanted", o.Every))
	}
	if !(o.Rude >= 0 && o.Rude <= 1) {
		found = append(found, fmt.Errorf("rude %g: 0 to 1 is wanted", o.Rude))
	}
	for _, name := range o.Kinds {
		if _, known := kindNamed(name); !known {
			found = append(found, fmt.Errorf("trouble %q: one of %s is wanted", name, strings.Join(KindNames(), ", ")))
		}
	}
	return errors.Join(found...)
}

// Again is the command line that plays the run again.
func (o Options) Again() string {
	text := fmt.Sprintf("soak run --from %d --seeds 1 --length %v --overlap %d --every %v --regions %d --zones %d --routers %d --runners %d --clients %d --operators %d --rude %g",
		o.Seed, o.Length, o.Overlap, o.Every, o.Regions, o.Zones, o.Routers,
		o.Runners, o.Clients, o.Operators, o.Rude)
	if len(o.Mix) > 0 {
		text += " --mix all"
	}
	for _, kind := range o.Kinds {
		text += " --trouble " + kind
	}
	return text
}

// Bounds of the deployment that a soak runs; those of layout.Settings.
const (
	grace       = 4 * clock.Second
	applyWithin = 3 * clock.Second
	evacuate    = 5 * clock.Second
	recovery    = 12 * clock.Second
	catchUp     = 4 * clock.Second
	memoryMB    = 184
)

func (o Options) layout() deployment.Layout {
	return deployment.Layout{
		Regions: o.Regions, Zones: o.Zones, Routers: o.Routers, Subnet: o.Subnet,
		GraceS: grace.Seconds(), MemoryMB: memoryMB,
	}
}

// planned tells whether nothing but planned work is played, so that no request
// may be cut.
func (o Options) planned() bool {
	if len(o.Kinds) == 0 || len(o.Mix) > 0 {
		return false
	}
	for _, name := range o.Kinds {
		if kind, _ := kindNamed(name); !kind.planned {
			return false
		}
	}
	return true
}
