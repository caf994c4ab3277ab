package simulation

import (
	"slices"
	"sort"

	"onyxwell/base/clock"
)

// fault is something that goes wrong: it begins at a machine drawn by lot,
// and what it gives back ends it.
type fault struct {
	points []int
	// countsAsLoss says that the machine counts as lost meanwhile, region that all of
	// its region do. They may only come while few enough are lost.
	countsAsLoss bool
	wholeRegion  bool
	minDuration  clock.Span
	maxDuration  clock.Span
	inject       func(world *Cluster, machine *Machine) (end func())
}

// clientState counts what is going on.
type clientState struct {
	known         knownConfig
	lastCommandID int
}

// faultCatalogue are all that can go wrong, by name.
var faultCatalogue = map[string]fault{
	"cut":     {points: []int{1, 2, 3, 4}, countsAsLoss: true, minDuration: clock.Second, maxDuration: 20 * clock.Second, inject: cutOff(true, true)},
	"cut-in":  {points: []int{1}, countsAsLoss: true, minDuration: clock.Second, maxDuration: 20 * clock.Second, inject: cutOff(true, false)},
	"cut-out": {points: []int{1, 2}, countsAsLoss: true, minDuration: clock.Second, maxDuration: 20 * clock.Second, inject: cutOff(false, true)},
	"region":  {points: []int{1, 3}, countsAsLoss: true, wholeRegion: true, minDuration: clock.Second, maxDuration: 12 * clock.Second, inject: cutRegion},
	"part":    {points: []int{1, 2}, minDuration: clock.Second, maxDuration: 10 * clock.Second, inject: cutPair},
	"freeze":  {points: []int{1, 2, 4}, countsAsLoss: true, minDuration: 500 * clock.Millisecond, maxDuration: 20 * clock.Second, inject: freeze},
	"kill":    {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 300 * clock.Millisecond, maxDuration: 8 * clock.Second, inject: takeDown((*Machine).kill)},
	"power":   {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 300 * clock.Millisecond, maxDuration: 8 * clock.Second, inject: takeDown((*Machine).losePower)},
	"wipe":    {points: []int{3, 4}, countsAsLoss: true, minDuration: 300 * clock.Millisecond, maxDuration: 5 * clock.Second, inject: takeDown((*Machine).wipe)},
	"replace": {points: []int{3, 4}, countsAsLoss: true, minDuration: 200 * clock.Millisecond, maxDuration: 4 * clock.Second, inject: replace},
	"planned": {points: []int{3}, countsAsLoss: true, minDuration: 2 * clock.Second, maxDuration: 5 * clock.Second, inject: replacePlanned},
	"spoil":   {points: []int{4}, countsAsLoss: true, minDuration: 300 * clock.Millisecond, maxDuration: 5 * clock.Second, inject: takeDown((*Machine).corruptLog)},
	"term":    {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 2 * clock.Second, maxDuration: 4 * clock.Second, inject: terminate},
	"herd":    {points: []int{2, 3, 4}, minDuration: 300 * clock.Millisecond, maxDuration: 2 * clock.Second, inject: strikeAll((*Machine).kill)},
	"outage":  {points: []int{2, 3, 4}, minDuration: 300 * clock.Millisecond, maxDuration: 2 * clock.Second, inject: strikeAll((*Machine).losePower)},
	"stall":   {points: []int{1, 2, 4}, countsAsLoss: true, minDuration: clock.Second, maxDuration: 8 * clock.Second, inject: injectDiskFault(func(ail *diskFault) { ail.stalled = true })},
	"slow":    {points: []int{2, 4}, countsAsLoss: true, minDuration: 2 * clock.Second, maxDuration: 8 * clock.Second, inject: injectDiskFault(func(ail *diskFault) { ail.slow = 30 })},
	"full":    {points: []int{3, 4}, countsAsLoss: true, minDuration: 2 * clock.Second, maxDuration: 10 * clock.Second, inject: injectDiskFault(func(ail *diskFault) { ail.full = true })},
	"refuse":  {points: []int{4}, countsAsLoss: true, minDuration: 2 * clock.Second, maxDuration: 10 * clock.Second, inject: injectDiskFault(func(ail *diskFault) { ail.refuses = true })},
	"lost":    {points: []int{2}, minDuration: 4 * clock.Second, maxDuration: 20 * clock.Second, inject: loseReplies},
	"storm":   {points: []int{2, 4}, minDuration: 3 * clock.Second, maxDuration: 15 * clock.Second, inject: raiseLoad},
	"reseed":  {points: []int{1, 3}, minDuration: clock.Second, maxDuration: 2 * clock.Second, inject: changeSeeds},
	"routers": {points: []int{1}, minDuration: 500 * clock.Millisecond, maxDuration: 2 * clock.Second, inject: restartRouters},
}

// Faults names all that can go wrong, in order.
func Faults() []string { return sortedKeys(faultCatalogue) }

// selectedFaults are the troubles of a run.
func (c *Cluster) selectedFaults() []string {
	if len(c.options.OnlyFaults) > 0 {
		return c.options.OnlyFaults
	}
	var names []string
	for name, one := range faultCatalogue {
		fits := c.options.Point == 0
		for _, point := range one.points {
			fits = fits || point == c.options.Point
		}
		if fits {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// lostMachines are those that count as lost through a trouble at a machine.
func (f fault) lostMachines(world *Cluster, machine *Machine) []*Machine {
	if !f.countsAsLoss {
		return nil
	}
	if !f.wholeRegion {
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

// countLost counts the other controllers that are lost now: in trouble, or back for
// less than the time that they have to catch up.
func (c *Cluster) countLost(without []*Machine) int {
	lost := 0
	grace := clock.Span(c.options.Site.Bounds.CatchUpS * float64(clock.Second))
	for _, machine := range c.controllers() {
		back := machine.lastFaultChange > 0 && c.now()-machine.lastFaultChange < grace
		if !slices.Contains(without, machine) && (machine.activeFaults > 0 || back) {
			lost++
		}
	}
	return lost
}

// injectFaults has troubles begin and end until the time for them is over.
func (c *Cluster) injectFaults() {
	names := c.selectedFaults()
	for len(names) > 0 && !c.options.NoFaults {
		pause := c.drawBetween("calm", 100*clock.Millisecond, 5*clock.Second)
		if c.now()+pause > c.options.Duration {
			return
		}
		c.sleep(pause)
		if c.stopping || c.hasViolation() {
			return
		}
		c.injectFault(names[c.drawBelow("trouble", len(names))])
	}
}

// injectFault begins a trouble at a machine that can bear it.
func (c *Cluster) injectFault(name string) {
	one, targets := faultCatalogue[name], c.controllers()
	machine := targets[c.drawBelow("victim", len(targets))]
	lost := one.lostMachines(c, machine)
	if len(lost) > 0 && c.countLost(lost)+len(lost) > c.options.Site.MaxLosses {
		return
	}
	for _, each := range lost {
		if each.activeFaults > 0 {
			return
		}
	}
	c.count("trouble " + name)
	c.trace("trouble", machine, "name", name)
	for _, each := range lost {
		each.activeFaults++
		each.lastFaultChange = c.now()
	}
	end := one.inject(c, machine)
	span := min(c.drawBetween("span "+name, one.minDuration, one.maxDuration), max(0, c.options.Duration-c.now()))
	c.after(span, func() {
		c.trace("trouble over", machine, "name", name)
		if end != nil {
			end()
		}
		for _, each := range lost {
			each.activeFaults--
			each.lastFaultChange = c.now()
		}
	})
}
