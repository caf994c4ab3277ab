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
	// Length is how long troubles go on.
	Length clock.Span
	// Operators is how many give orders; each may have several under way.
	Operators int
	// Quiet leaves all troubles out; Only takes the named ones.
	Quiet bool
	// Hurry has the operators give orders eight times as fast throughout.
	Hurry bool
	Only  []string
	// Drill is a kind of loss of Drills that comes again and again; "" for none.
	Drill string
	// Service has the run measure service, while one of Strikes befalls the owner
	// of the configuration again and again; "" for neither.
	Service string
	// Trace is written to, a JSON line for all that happens; nil for none.
	Trace io.Writer
	// plant is a fault that tests put in; script goes in the place of operators
	// and troubles.
	plant  plant
	script func(world *World)
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
	Service Service
}

// World is a run.
type World struct {
	*loop
	options  Options
	machines []*Machine
	hosts    map[string]*Machine
	named    map[string]*Machine
	seeds    []*Machine
	links    map[[2]string]*link
	mu       sync.Mutex
	counted  map[string]int
	broken   []string
	history  history
	watch    watch
	logger   *log.Logger
	// ackLost is the share of answers to operators that get lost.
	ackLost float64
	hurry   bool
	ending  bool
	drill   drill
	serving serving
	troubling
}

func newWorld(options Options) *World {
	made := &World{
		loop: newLoop(options.Seed), options: options, hosts: map[string]*Machine{}, named: map[string]*Machine{},
		links: map[[2]string]*link{}, counted: map[string]int{},
	}
	made.watch = newWatch()
	made.hurry = options.Hurry
	if options.Trace != nil {
		made.logger = scope.NewLogger("info", options.Trace)
	}
	for _, place := range options.Site.Places {
		made.add(place, false)
	}
	for index := range options.Site.Routers {
		made.add(options.Site.Places[index%len(options.Site.Places)], true)
	}
	made.seeds = append(made.seeds, made.machines[:min(3, len(options.Site.Places))]...)
	return made
}

// add gives the site another machine.
func (w *World) add(place Place, carries bool) *Machine {
	number := len(w.machines)
	made := &Machine{
		world: w, zone: place.Zone, region: place.Region, carries: carries,
		name: fmt.Sprintf("m%d", number), ip: fmt.Sprintf("10.0.%d.%d", number/200, 1+number%200),
	}
	made.disk = simdisk.New(simdisk.Options{
		Draw:  func(odds int) bool { made.draws++; return w.once(fmt.Sprint("disk ", made.name, made.draws), odds) },
		Pause: made.pause,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, made)
	w.hosts[made.ip], w.named[made.name] = made, made
	return made
}

// controllers gives the machines with a controller that are not gone.
func (w *World) controllers() []*Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*Machine
	for _, machine := range w.machines {
		if !machine.carries && !machine.gone {
			found = append(found, machine)
		}
	}
	return found
}

func (w *World) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counted[what]++
}

// violate notes a broken promise; a run ends at its first.
func (w *World) violate(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("%.3fs: ", w.now().Seconds()) + fmt.Sprintf(format, values...)
	w.broken = append(w.broken, text)
	if w.logger != nil {
		w.logger.Error().Float64("at", w.now().Seconds()).Str("violation", text).Msg("violation")
	}
}

func (w *World) violated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken) > 0
}

// note traces what happens: names and values in turn.
func (w *World) note(what string, machine *Machine, values ...any) {
	if w.logger == nil {
		return
	}
	entry := w.logger.Info().Float64("at", w.now().Seconds())
	if machine != nil {
		entry = entry.Str("machine", machine.name)
	}
	for index := 0; index+1 < len(values); index += 2 {
		entry = entry.Any(fmt.Sprint(values[index]), values[index+1])
	}
	entry.Msg(what)
}

// log is the logger of a machine's process.
func (w *World) log(machine *Machine) *log.Logger {
	if w.options.Trace == nil {
		return scope.NewLogger("fatal", io.Discard)
	}
	made := scope.NewLogger("info", w.options.Trace)
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
