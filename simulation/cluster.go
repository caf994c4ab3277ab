// Package simulation runs whole controllers, and the control side of routers, on
// a simulated clock, network and disk in one process, while simulated operators
// (the clients) issue commands and an injector makes machines, links and disks
// fail. It checks that
//
//   - what the clients were answered is linearizable, key by key;
//   - after each event no lease has two holders and no epoch of one has two;
//   - a process starts with all that its disk had made durable;
//   - no router's snapshot goes back;
//   - once all faults have ended, redundancy is restored in time and commands are
//     acknowledged again.
//
// A run follows from its seed: every draw depends on the seed, the name of the
// draw and the simulated instant alone. The names of draws and of faults are
// therefore data; changing one changes what the seeds play.
package simulation

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/simulation/simdisk"
)

// seedCount is how many controllers the nodes' settings name as seeds.
const seedCount = 3

// Options say what a run plays.
type Options struct {
	Site Site
	Seed uint64
	// Point restricts the faults to those that bring about one of the points of
	// docs/hardening.md, 1 to 4; 0 takes all.
	Point int
	// Duration is the simulated time, from the start of the run, until which
	// faults are injected.
	Duration time.Duration
	// Clients is how many issue commands, each up to maxInFlight at a time.
	Clients int
	// Applications is how many add to counters and read them, each in a zone of its own.
	Applications int
	// NoFaults has the injector inject nothing.
	NoFaults bool
	// HighLoad has the clients issue commands at eight times their rate
	// throughout.
	HighLoad bool
	// OnlyFaults names the faults to draw from, whatever the Point; empty takes
	// those of the Point.
	OnlyFaults []string
	// Drill names a kind of loss, one of Drills, that is played again and again to
	// measure how long redundancy takes to be restored; "" for none.
	Drill string
	// OwnerFault names what befalls the owner of the configuration again and again
	// while availability is measured, one of OwnerFaults; "" measures nothing.
	OwnerFault string
	// Trace receives a JSON line for each event; nil for none.
	Trace io.Writer
	// bug is a bug planted by a test; scenario runs in place of the clients and
	// the injector.
	bug      bug
	scenario func(cluster *Cluster)
}

// Result is the outcome of a run.
type Result struct {
	Seed uint64
	// Violations tell which checks failed, with the simulated time.
	Violations []string `json:"Broken"`
	Counts     map[string]int
	// RecoveryTimes are the times from the end of all faults until the cluster was
	// fully replicated.
	RecoveryTimes []time.Duration `json:"Whole"`
	// AckLatencies are the times from a command's first attempt to its
	// acknowledgement.
	AckLatencies []time.Duration `json:"Acks"`
	// LongestAckGap is the longest time between two acknowledgements.
	LongestAckGap time.Duration `json:"Gap"`
	// RedundancyTimes are the times until the cluster was fully replicated again,
	// by drill: from the return of the machine or the start of its successor, or
	// from the loss where timedFromLoss says so.
	RedundancyTimes map[string][]time.Duration `json:"Redundancy"`
	// Availability is measured where Options.OwnerFault is set.
	Availability Availability `json:"Service"`
}

// Cluster is the state of a run: the machines, the links between them, the
// clients and what was observed of them. All of it runs in one synctest bubble,
// event after event; mu guards what goroutines of one event may share.
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
	// replyLossRate is the share of replies to clients that are lost now.
	replyLossRate float64
	highLoad      bool
	// stopping tells clients, injector, drill and meter to end.
	stopping bool
	drill    drill
	meter    availabilityMeter
	// configDocument returns the configuration that a command brings.
	configDocument func(version int64, commandID int) []byte
	// admitted are the requests of quotaTenant that routers admitted, in order.
	admitted []admittedRequests
	// counters is what the applications know; lastRecovery is when a fault last ended or a
	// process started.
	counters     *oracle.CounterLedger
	lastRecovery time.Duration
	// activeCuts counts the cuts in force that are no loss; lastCutEnd is when one last
	// ended.
	activeCuts int
	lastCutEnd time.Duration
	clientState
}

func newCluster(options Options) *Cluster {
	c := &Cluster{
		scheduler: newScheduler(options.Seed), options: options, machinesByIP: map[string]*Machine{}, machinesByName: map[string]*Machine{},
		links: map[[2]string]*link{}, counts: map[string]int{}, observed: newObservations(), highLoad: options.HighLoad, configDocument: fullConfig,
		counters: oracle.NewCounterLedger(mergeTimeout, 0),
	}
	if options.Trace != nil {
		c.traceLogger = scope.NewLogger("info", options.Trace)
	}
	locations := options.Site.Locations
	for _, location := range locations {
		c.addMachine(location, false)
	}
	for index := range options.Site.Routers {
		c.addMachine(locations[index%len(locations)], true)
	}
	c.seedMachines = append(c.seedMachines, c.machines[:min(seedCount, len(locations))]...)
	return c
}

// addMachine adds a machine with an empty disk and no process.
func (c *Cluster) addMachine(location Location, isRouter bool) *Machine {
	number := len(c.machines)
	machine := &Machine{
		cluster: c, zone: location.Zone, region: location.Region, isRouter: isRouter,
		name: fmt.Sprintf("m%d", number), ip: fmt.Sprintf("10.0.%d.%d", number/200, 1+number%200),
	}
	machine.disk = simdisk.New(simdisk.Options{
		OneIn: func(odds int) bool {
			machine.diskDraws++
			return c.drawOneIn(fmt.Sprint("disk ", machine.name, machine.diskDraws), odds)
		},
		Delay: machine.diskDelay,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, machine)
	c.machinesByIP[machine.ip], c.machinesByName[machine.name] = machine, machine
	return machine
}

// controllers returns the machines that run a controller and were not removed.
func (c *Cluster) controllers() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var controllers []*Machine
	for _, machine := range c.machines {
		if !machine.isRouter && !machine.removed {
			controllers = append(controllers, machine)
		}
	}
	return controllers
}

func (c *Cluster) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// reportViolation records that a check failed; the run ends at the first.
func (c *Cluster) reportViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%.3fs: ", c.now().Seconds()) + fmt.Sprintf(format, values...)
	c.violations = append(c.violations, text)
	if c.traceLogger != nil {
		c.traceLogger.Error().Float64("at_s", c.now().Seconds()).Str("violation", text).Msg("violation")
	}
}

func (c *Cluster) hasViolation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.violations) > 0
}

// trace writes an event to Options.Trace; the values are keys and values in turn.
func (c *Cluster) trace(event string, machine *Machine, values ...any) {
	if c.traceLogger == nil {
		return
	}
	entry := c.traceLogger.Info().Float64("at_s", c.now().Seconds())
	if machine != nil {
		entry = entry.Str("machine", machine.name)
	}
	for index := 0; index+1 < len(values); index += 2 {
		entry = entry.Any(fmt.Sprint(values[index]), values[index+1])
	}
	entry.Msg(event)
}

// processLogger returns the logger of a machine's next process.
func (c *Cluster) processLogger(machine *Machine) *log.Logger {
	if c.options.Trace == nil {
		return scope.NewLogger("fatal", io.Discard)
	}
	logger := scope.NewLogger("info", c.options.Trace)
	logger.Context = log.NewContext(nil).Str("machine", machine.name).Value()
	return logger
}

// sortedKeys returns the keys in an order that does not change between runs.
func sortedKeys[Value any](values map[string]Value) []string {
	var keys []string
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
