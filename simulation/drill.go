package simulation

import (
	"fmt"
	"slices"

	"onyxwell/base/clock"
)

// drillCatalogue are the kinds of loss that a run may play again and again. The steps of
// one follow each other as soon as catch_up_s allows, whole or not.
var drillCatalogue = []struct {
	name  string
	steps []string
	// losses is how many are lost at a time.
	losses int
}{
	{"kill", []string{"kill"}, 1},
	{"power", []string{"power"}, 1},
	{"wipe", []string{"wipe"}, 1},
	{"spoil", []string{"spoil"}, 1},
	{"term", []string{"term"}, 1},
	{"freeze", []string{"freeze"}, 1},
	{"cut", []string{"cut"}, 1},
	{"cut-in", []string{"cut-in"}, 1},
	{"cut-out", []string{"cut-out"}, 1},
	{"stall", []string{"stall"}, 1},
	{"slow", []string{"slow"}, 1},
	{"full", []string{"full"}, 1},
	{"refuse", []string{"refuse"}, 1},
	{"outage", []string{"outage"}, 1},
	{"replace", []string{"replace"}, 1},
	{"planned", []string{"planned"}, 1},
	{"gone", []string{"gone"}, 1},
	{"replace, replace", []string{"replace", "replace"}, 1},
	{"wipe, replace", []string{"wipe", "replace"}, 1},
	{"two: kill", []string{"kill"}, 2},
	{"two: cut", []string{"cut"}, 2},
	{"two: wipe", []string{"wipe"}, 2},
	{"two: replace", []string{"replace"}, 2},
}

// timedFromLoss are the losses whose time runs from the loss on: nothing comes back, or
// what takes the place is there beforehand.
var timedFromLoss = map[string]bool{"planned": true, "gone": true}

// Drills names the kinds of loss that a run may play again and again, in order.
func Drills() []string {
	var names []string
	for _, one := range drillCatalogue {
		names = append(names, one.name)
	}
	return names
}

// drillInterval is how often a drill looks whether all is whole.
const drillInterval = 10 * clock.Millisecond

// drill is the one kind of loss of a run, and what was measured.
type drill struct {
	steps  []string
	losses int
	// recoveries are losses that nobody has made up for yet.
	recoveries []pendingRecovery
	// nextStep is the next one, due when it or the next round may begin.
	nextStep int
	nextDue  clock.Span
	// down is how many are lost and not back yet.
	down          int
	recoveryTimes map[string][]clock.Span
}

// pendingRecovery is a loss that counts from an instant on.
type pendingRecovery struct {
	name  string
	since clock.Span
}

// catchUpTime is how long one that is back counts as lost.
func (c *Cluster) catchUpTime() clock.Span {
	return clock.Span(c.options.Site.Bounds.CatchUpS * float64(clock.Second))
}

// startDrill begins the drill of a run that has one.
func (c *Cluster) startDrill() {
	for _, one := range drillCatalogue {
		if one.name == c.options.Drill && one.losses <= c.options.Site.MaxLosses {
			c.drill = drill{steps: one.steps, losses: one.losses, recoveryTimes: map[string][]clock.Span{}}
			c.after(0, c.tickDrill)
		}
	}
}

// tickDrill notes whether all is whole, and begins the next loss when it may.
func (c *Cluster) tickDrill() {
	if c.stopping || c.hasViolation() {
		return
	}
	c.after(drillInterval, c.tickDrill)
	drill := &c.drill
	if len(drill.recoveries) > 0 {
		c.completeRecoveries()
	}
	if drill.down > 0 {
		return
	}
	if drill.nextStep == len(drill.steps) && len(drill.recoveries) == 0 {
		drill.nextStep = 0
		drill.nextDue = max(drill.nextDue, c.now()+c.drawBetween("calm", 0, clock.Second))
	}
	if drill.nextStep < len(drill.steps) && c.now() >= drill.nextDue {
		c.injectDrillFault(drill.steps[drill.nextStep])
	}
}

// completeRecoveries notes how long all losses took that are made up for; one that takes
// too long breaks a promise, and counts with the time until then.
func (c *Cluster) completeRecoveries() {
	drill := &c.drill
	whole, missing := c.fullyReplicated()
	for _, seat := range c.newestVoters().Members {
		machine := c.machinesByIP[hostOf(seat.Address)]
		if whole && (machine == nil || machine.leaving || machine.removed) {
			whole, missing = false, fmt.Sprintf("%s has a seat and leaves", seat.Address)
		}
	}
	first := drill.recoveries[0]
	late := c.now()-first.since > recoveryTimeout
	if !whole && !late {
		return
	}
	for _, one := range drill.recoveries {
		drill.recoveryTimes[one.name] = append(drill.recoveryTimes[one.name], c.now()-one.since)
		c.trace("waited", nil, "after", one.name, "seconds", (c.now() - one.since).Seconds(), "whole", whole)
	}
	drill.recoveries = nil
	if !whole {
		c.reportViolation("%s after %s still: %s", recoveryTimeout, first.name, missing)
	}
}

// injectDrillFault has some of those that vote lost in some way.
func (c *Cluster) injectDrillFault(name string) {
	drill, one := &c.drill, faultCatalogue[name]
	if name == "gone" {
		one = fault{inject: removeMachine}
	}
	targets := c.votingMachines()
	if len(targets) < drill.losses || c.now()+one.maxDuration > c.options.Duration || (name == "gone" && c.spareControllers() < 1) {
		return
	}
	label := c.options.Drill
	if len(drill.steps) > 1 {
		label = fmt.Sprintf("%s (%d)", label, drill.nextStep+1)
	}
	drill.nextStep++
	for number := range drill.losses {
		at := c.drawBelow(fmt.Sprint("victim ", number), len(targets))
		machine := targets[at]
		targets = slices.Delete(targets, at, at+1)
		drill.down++
		c.count("trouble " + name)
		c.trace("trouble", machine, "name", name)
		if timedFromLoss[name] {
			drill.recoveries = append(drill.recoveries, pendingRecovery{name: label, since: c.now()})
		}
		end := one.inject(c, machine)
		c.after(c.drawBetween(fmt.Sprint("span ", name, number), one.minDuration, one.maxDuration), func() {
			c.trace("trouble over", machine, "name", name)
			if end != nil {
				end()
			}
			drill.down--
			drill.nextDue = c.now() + c.catchUpTime()
			// Where two are lost, time counts from the return of the last.
			if !timedFromLoss[name] && drill.down == 0 {
				drill.recoveries = append(drill.recoveries, pendingRecovery{name: label, since: c.now()})
			}
		})
	}
}

// votingMachines are the machines that vote and are there.
func (c *Cluster) votingMachines() []*Machine {
	var found []*Machine
	for _, seat := range c.newestVoters().Members {
		machine := c.machinesByIP[hostOf(seat.Address)]
		if machine != nil && machine.process != nil && machine.process.control != nil && !machine.removed && !machine.leaving {
			found = append(found, machine)
		}
	}
	return found
}

// spareControllers is how many controllers there are beyond the seats.
func (c *Cluster) spareControllers() int {
	return len(c.controllers()) - max(3, 2*c.options.Site.MaxLosses+1)
}

// removeMachine takes a machine away for good, with none in its place.
func removeMachine(_ *Cluster, machine *Machine) func() {
	machine.losePower()
	machine.removed = true
	return nil
}
