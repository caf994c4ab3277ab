// Package simulation runs whole controllers and the control side of routers in
// one process: the real operator's calls, desk, register, seat, lease, journal,
// members and news, on a simulated clock, network and disk, while operators
// give orders and machines are cut off, frozen, killed, wiped and replaced.
// What the operators were told is checked for linearizability, and further
// promises are checked after each step. A seed fixes what happens.
package simulation

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/simulation/simdisk"
)

// Options are what a run is made from.
type Options struct {
	Site Site
	Seed uint64
	// Point chooses the troubles that bring about one of the five points of
	// docs/hardening.md; 0 takes all.
	Point int
	// Duration is how long troubles go on.
	Duration clock.Span
	// Clients is how many give orders; each may have several under way.
	Clients int
	// NoFaults leaves all troubles out; Only takes the named ones.
	NoFaults bool
	// HighLoad has the operators give orders eight times as fast throughout.
	HighLoad   bool
	OnlyFaults []string
	// Drill is a kind of loss of Drills that comes again and again; "" for none.
	Drill string
	// OwnerFault has the run measure service, while one of Strikes befalls the owner
	// of the configuration again and again; "" for neither.
	OwnerFault string
	// Trace is written to, a JSON line for all that happens; nil for none.
	Trace io.Writer
	// bug is a fault that tests put in; script goes in the place of operators
	// and troubles.
	bug      bug
	scenario func(world *Cluster)
}

// Result is what a run came to.
type Result struct {
	Seed   uint64
	Broken []string
	Counts map[string]int
	// Whole are the times from the end of a loss until all seats were filled and
	// all voters held the newest of each key; Acks those from an order's first
	// sending to its acknowledgement.
	Whole []clock.Span
	Acks  []clock.Span
	// Gap is the longest time in which orders were given and none was taken.
	Gap clock.Span
	// Redundancy are the times until all was whole again, by kind of loss: from
	// the return or the start of the one in its place, else from the loss.
	Redundancy map[string][]clock.Span
	// Service is how orders were taken, where the run measures that.
	Service Availability
}

// Cluster is a run.
type Cluster struct {
	*scheduler
	options        Options
	machines       []*Machine
	machinesByIP   map[string]*Machine
	machinesByName map[string]*Machine
	seedMachines   []*Machine
	links          map[[2]string]*link
	mu             sync.Mutex
	counts         map[string]int
	violations     []string
	history        history
	observed       observations
	traceLogger    *log.Logger
	// replyLossRate is the share of answers to operators that get lost.
	replyLossRate float64
	highLoad      bool
	stopping      bool
	drill         drill
	meter         availabilityMeter
	clientState
}

func newCluster(options Options) *Cluster {
	made := &Cluster{
		scheduler: newScheduler(options.Seed), options: options, machinesByIP: map[string]*Machine{}, machinesByName: map[string]*Machine{},
		links: map[[2]string]*link{}, counts: map[string]int{},
	}
	made.observed = newObservations()
	made.highLoad = options.HighLoad
	if options.Trace != nil {
		made.traceLogger = scope.NewLogger("info", options.Trace)
	}
	for _, place := range options.Site.Locations {
		made.addMachine(place, false)
	}
	for index := range options.Site.Routers {
		made.addMachine(options.Site.Locations[index%len(options.Site.Locations)], true)
	}
	made.seedMachines = append(made.seedMachines, made.machines[:min(3, len(options.Site.Locations))]...)
	return made
}

// addMachine gives the site another machine.
func (c *Cluster) addMachine(place Location, carries bool) *Machine {
	number := len(c.machines)
	made := &Machine{
		cluster: c, zone: place.Zone, region: place.Region, isRouter: carries,
		name: fmt.Sprintf("m%d", number), ip: fmt.Sprintf("10.0.%d.%d", number/200, 1+number%200),
	}
	made.disk = simdisk.New(simdisk.Options{
		OneIn: func(odds int) bool {
			made.diskDraws++
			return c.drawOneIn(fmt.Sprint("disk ", made.name, made.diskDraws), odds)
		},
		Delay: made.diskDelay,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, made)
	c.machinesByIP[made.ip], c.machinesByName[made.name] = made, made
	return made
}

// controllers gives the machines with a controller that are not gone.
func (c *Cluster) controllers() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*Machine
	for _, machine := range c.machines {
		if !machine.isRouter && !machine.removed {
			found = append(found, machine)
		}
	}
	return found
}

func (c *Cluster) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// reportViolation notes a broken promise; a run ends at its first.
func (c *Cluster) reportViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%.3fs: ", c.now().Seconds()) + fmt.Sprintf(format, values...)
	c.violations = append(c.violations, text)
	if c.traceLogger != nil {
		c.traceLogger.Error().Float64("at", c.now().Seconds()).Str("violation", text).Msg("violation")
	}
}

func (c *Cluster) hasViolation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.violations) > 0
}

// trace traces what happens: names and values in turn.
func (c *Cluster) trace(what string, machine *Machine, values ...any) {
	if c.traceLogger == nil {
		return
	}
	entry := c.traceLogger.Info().Float64("at", c.now().Seconds())
	if machine != nil {
		entry = entry.Str("machine", machine.name)
	}
	for index := 0; index+1 < len(values); index += 2 {
		entry = entry.Any(fmt.Sprint(values[index]), values[index+1])
	}
	entry.Msg(what)
}

// processLogger is the logger of a machine's process.
func (c *Cluster) processLogger(machine *Machine) *log.Logger {
	if c.options.Trace == nil {
		return scope.NewLogger("fatal", io.Discard)
	}
	made := scope.NewLogger("info", c.options.Trace)
	made.Context = log.NewContext(nil).Str("machine", machine.name).Value()
	return made
}

func sortedKeys[Value any](from map[string]Value) []string {
	var keys []string
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
