package simulation

import (
	"slices"
	"sort"
	"time"
)

// minFaultPause and maxFaultPause bound the drawn time between two injections.
const (
	minFaultPause = 100 * time.Millisecond
	maxFaultPause = 5 * time.Second
)

// injectFaults injects faults until Options.Duration is over.
func (c *Cluster) injectFaults() {
	names := c.selectedFaults()
	for len(names) > 0 && !c.options.NoFaults {
		pause := c.drawBetween("calm", minFaultPause, maxFaultPause)
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

// selectedFaults returns the names of the faults that the run draws from.
func (c *Cluster) selectedFaults() []string {
	if len(c.options.OnlyFaults) > 0 {
		return c.options.OnlyFaults
	}
	var names []string
	for name, fault := range faultCatalogue {
		if fault.forCounters && c.options.Applications == 0 {
			continue
		}
		if c.options.Point == 0 || slices.Contains(fault.points, c.options.Point) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// injectFault injects a fault at a machine that is drawn, unless more would be
// lost than the site tolerates.
func (c *Cluster) injectFault(name string) {
	fault, controllers := faultCatalogue[name], c.controllers()
	target := controllers[c.drawBelow("victim", len(controllers))]
	lost := fault.lostMachines(c, target)
	if len(lost) > 0 && c.countLost(lost)+len(lost) > c.options.Site.MaxLosses {
		return
	}
	for _, machine := range lost {
		if machine.activeFaults > 0 {
			return
		}
	}
	c.count("trouble " + name)
	c.trace("fault injected", target, "fault", name)
	for _, machine := range lost {
		machine.activeFaults++
		machine.lastFaultChange = c.now()
	}
	c.noteFaultBegin()
	end := fault.inject(c, target)
	duration := min(c.drawBetween("span "+name, fault.minDuration, fault.maxDuration), max(0, c.options.Duration-c.now()))
	c.after(duration, func() {
		c.trace("fault ended", target, "fault", name)
		if end != nil {
			end()
		}
		for _, machine := range lost {
			machine.activeFaults--
			machine.lastFaultChange = c.now()
		}
		c.noteFaultEnd()
	})
}

// lostMachines returns those that count as lost through a fault at the target.
func (f fault) lostMachines(cluster *Cluster, target *Machine) []*Machine {
	if !f.countsAsLoss {
		return nil
	}
	if !f.wholeRegion {
		return []*Machine{target}
	}
	var lost []*Machine
	for _, machine := range cluster.controllers() {
		if machine.region == target.region {
			lost = append(lost, machine)
		}
	}
	return lost
}

// countLost counts the controllers, but for the excluded, that are lost now: in a
// fault, or back for less than the time that they have to catch up.
func (c *Cluster) countLost(excluded []*Machine) int {
	lost := 0
	for _, machine := range c.controllers() {
		catchingUp := machine.lastFaultChange > 0 && c.now()-machine.lastFaultChange < c.catchUpTime()
		if !slices.Contains(excluded, machine) && (machine.activeFaults > 0 || catchingUp || c.lacksDisk(machine)) {
			lost++
		}
	}
	return lost
}

// lacksDisk reports whether a machine that lost its disk may not have learnt again what
// it held: cuts that are no loss may have kept it from that.
func (c *Cluster) lacksDisk(machine *Machine) bool {
	cut := c.activeCuts > 0 || (c.lastCutEnd > 0 && c.now()-c.lastCutEnd < c.catchUpTime())
	caughtUp := machine.activeFaults == 0 && c.now()-machine.lastFaultChange >= c.catchUpTime()
	machine.diskLost = machine.diskLost && (cut || !caughtUp)
	return machine.diskLost
}

// catchUpTime is how long a machine that is back counts as lost.
func (c *Cluster) catchUpTime() time.Duration {
	return time.Duration(c.options.Site.Bounds.CatchUpS * float64(time.Second))
}
