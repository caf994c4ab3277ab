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
	Mix  runner.Mix
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
func (options Options) Check() error {
	var found []error
	for _, number := range []struct {
		name        string
		value       int
		least, most int
	}{
		{"overlap", options.Overlap, 0, 10}, {"regions", options.Regions, 1, 9}, {"zones", options.Zones, 1, 9},
		{"routers", options.Routers, 1, 10}, {"runners", options.Runners, 2, 100}, {"clients", options.Clients, 1, 500},
		{"operators", options.Operators, 0, 20}, {"subnet", options.Subnet, 3, 200},
	} {
		if number.value < number.least || number.value > number.most {
			found = append(found, fmt.Errorf("%s %d: %d to %d is wanted", number.name, number.value, number.least, number.most))
		}
	}
	if daemons := options.Regions * options.Zones * (options.Routers + 1); daemons > 60 {
		found = append(found, fmt.Errorf("%d daemons: 60 at the most", daemons))
	}
	if options.Length < clock.Second || options.Length > 10*60*clock.Second {
		found = append(found, fmt.Errorf("length %v: 1s to 10m is wanted", options.Length))
	}
	if options.Every < clock.Second/2 {
		found = append(found, fmt.Errorf("every %v: 500ms or more is wanted", options.Every))
	}
	if !(options.Rude >= 0 && options.Rude <= 1) {
		found = append(found, fmt.Errorf("rude %g: 0 to 1 is wanted", options.Rude))
	}
	for _, name := range options.Kinds {
		if _, known := kindNamed(name); !known {
			found = append(found, fmt.Errorf("trouble %q: one of %s is wanted", name, strings.Join(KindNames(), ", ")))
		}
	}
	return errors.Join(found...)
}

// Again is the command line that plays the run again.
func (options Options) Again() string {
	text := fmt.Sprintf("soak run --from %d --seeds 1 --length %v --overlap %d --every %v --regions %d --zones %d --routers %d --runners %d --clients %d --operators %d --rude %g",
		options.Seed, options.Length, options.Overlap, options.Every, options.Regions, options.Zones, options.Routers,
		options.Runners, options.Clients, options.Operators, options.Rude)
	if len(options.Mix) > 0 {
		text += " --mix all"
	}
	for _, kind := range options.Kinds {
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

func (options Options) layout() deployment.Layout {
	return deployment.Layout{
		Regions: options.Regions, Zones: options.Zones, Routers: options.Routers, Subnet: options.Subnet,
		GraceS: grace.Seconds(), MemoryMB: memoryMB,
	}
}

// planned tells whether nothing but planned work is played, so that no request
// may be cut.
func (options Options) planned() bool {
	if len(options.Kinds) == 0 || len(options.Mix) > 0 {
		return false
	}
	for _, name := range options.Kinds {
		if kind, _ := kindNamed(name); !kind.planned {
			return false
		}
	}
	return true
}
