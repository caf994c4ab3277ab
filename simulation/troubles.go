package simulation

import (
	"slices"
	"sort"

	"onyxwell/base/clock"
)

// trouble is something that goes wrong: it begins at a machine drawn by lot,
// and what it gives back ends it.
type trouble struct {
	points []int
	// loses says that the machine counts as lost meanwhile, region that all of
	// its region do. They may only come while few enough are lost.
	loses  bool
	region bool
	low    clock.Span
	high   clock.Span
	begin  func(world *World, machine *Machine) (end func())
}

// troubling counts what is going on.
type troubling struct {
	known    known
	numbered int
}

// troubles are all that can go wrong, by name.
var troubles = map[string]trouble{
	"cut":     {points: []int{1, 2, 3, 4}, loses: true, low: clock.Second, high: 20 * clock.Second, begin: cutOff(true, true)},
	"cut-in":  {points: []int{1}, loses: true, low: clock.Second, high: 20 * clock.Second, begin: cutOff(true, false)},
	"cut-out": {points: []int{1, 2}, loses: true, low: clock.Second, high: 20 * clock.Second, begin: cutOff(false, true)},
	"region":  {points: []int{1, 3}, loses: true, region: true, low: clock.Second, high: 12 * clock.Second, begin: cutRegion},
	"part":    {points: []int{1, 2}, low: clock.Second, high: 10 * clock.Second, begin: cutPair},
	"freeze":  {points: []int{1, 2, 4}, loses: true, low: 500 * clock.Millisecond, high: 20 * clock.Second, begin: freeze},
	"kill":    {points: []int{2, 3, 4}, loses: true, low: 300 * clock.Millisecond, high: 8 * clock.Second, begin: goDown((*Machine).die)},
	"power":   {points: []int{2, 3, 4}, loses: true, low: 300 * clock.Millisecond, high: 8 * clock.Second, begin: goDown((*Machine).losePower)},
	"wipe":    {points: []int{3, 4}, loses: true, low: 300 * clock.Millisecond, high: 5 * clock.Second, begin: goDown((*Machine).wipe)},
	"replace": {points: []int{3, 4}, loses: true, low: 200 * clock.Millisecond, high: 4 * clock.Second, begin: replace},
	"planned": {points: []int{3}, loses: true, low: 2 * clock.Second, high: 5 * clock.Second, begin: replacePlanned},
	"spoil":   {points: []int{4}, loses: true, low: 300 * clock.Millisecond, high: 5 * clock.Second, begin: goDown((*Machine).spoil)},
	"term":    {points: []int{2, 3, 4}, loses: true, low: 2 * clock.Second, high: 4 * clock.Second, begin: terminate},
	"herd":    {points: []int{2, 3, 4}, low: 300 * clock.Millisecond, high: 2 * clock.Second, begin: herd((*Machine).die)},
	"outage":  {points: []int{2, 3, 4}, low: 300 * clock.Millisecond, high: 2 * clock.Second, begin: herd((*Machine).losePower)},
	"stall":   {points: []int{1, 2, 4}, loses: true, low: clock.Second, high: 8 * clock.Second, begin: ail(func(ail *diskTrouble) { ail.stalled = true })},
	"slow":    {points: []int{2, 4}, loses: true, low: 2 * clock.Second, high: 8 * clock.Second, begin: ail(func(ail *diskTrouble) { ail.slow = 30 })},
	"full":    {points: []int{3, 4}, loses: true, low: 2 * clock.Second, high: 10 * clock.Second, begin: ail(func(ail *diskTrouble) { ail.full = true })},
	"refuse":  {points: []int{4}, loses: true, low: 2 * clock.Second, high: 10 * clock.Second, begin: ail(func(ail *diskTrouble) { ail.refuses = true })},
	"lost":    {points: []int{2}, low: 4 * clock.Second, high: 20 * clock.Second, begin: loseAnswers},
	"storm":   {points: []int{2, 4}, low: 3 * clock.Second, high: 15 * clock.Second, begin: storm},
	"reseed":  {points: []int{1, 3}, low: clock.Second, high: 2 * clock.Second, begin: reseed},
	"routers": {points: []int{1}, low: 500 * clock.Millisecond, high: 2 * clock.Second, begin: restartRouters},
}

// Troubles names all that can go wrong, in order.
func Troubles() []string { return sortedKeys(troubles) }

// chosen are the troubles of a run.
func (w *World) chosen() []string {
	if len(w.options.Only) > 0 {
		return w.options.Only
	}
	var names []string
	for name, one := range troubles {
		fits := w.options.Point == 0
		for _, point := range one.points {
			fits = fits || point == w.options.Point
		}
		if fits {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// lost are those that count as lost through a trouble at a machine.
func (t trouble) lost(world *World, machine *Machine) []*Machine {
	if !t.loses {
		return nil
	}
	if !t.region {
		return []*Machine{machine}
	}
	var lost []*Machine
	for _, other := range world.controllers() {
		if other.region == machine.region {
			lost = append(lost, other)
		}
	}
	return lost
}

// lost counts the other controllers that are lost now: in trouble, or back for
// less than the time that they have to catch up.
func (w *World) lost(without []*Machine) int {
	lost := 0
	grace := clock.Span(w.options.Site.Bounds.CatchUpS * float64(clock.Second))
	for _, machine := range w.controllers() {
		back := machine.touched > 0 && w.now()-machine.touched < grace
		if !slices.Contains(without, machine) && (machine.troubled > 0 || back) {
			lost++
		}
	}
	return lost
}

// plague has troubles begin and end until the time for them is over.
func (w *World) plague() {
	names := w.chosen()
	for len(names) > 0 && !w.options.Quiet {
		pause := w.between("calm", 100*clock.Millisecond, 5*clock.Second)
		if w.now()+pause > w.options.Length {
			return
		}
		w.sleep(pause)
		if w.ending || w.violated() {
			return
		}
		w.afflict(names[w.below("trouble", len(names))])
	}
}

// afflict begins a trouble at a machine that can bear it.
func (w *World) afflict(name string) {
	one, targets := troubles[name], w.controllers()
	machine := targets[w.below("victim", len(targets))]
	lost := one.lost(w, machine)
	if len(lost) > 0 && w.lost(lost)+len(lost) > w.options.Site.Losses {
		return
	}
	for _, each := range lost {
		if each.troubled > 0 {
			return
		}
	}
	w.count("trouble " + name)
	w.note("trouble", machine, "name", name)
	for _, each := range lost {
		each.troubled++
		each.touched = w.now()
	}
	end := one.begin(w, machine)
	span := min(w.between("span "+name, one.low, one.high), max(0, w.options.Length-w.now()))
	w.after(span, func() {
		w.note("trouble over", machine, "name", name)
		if end != nil {
			end()
		}
		for _, each := range lost {
			each.troubled--
			each.touched = w.now()
		}
	})
}
