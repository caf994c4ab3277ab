package simulation

import (
	"fmt"
	"slices"
	"time"
)

// drillCatalogue holds the kinds of loss that a run may play again and again. Its
// steps are names of faults, or stepRemove; each follows the one before as soon
// as the catch-up time allows, whether or not redundancy is restored by then.
var drillCatalogue = []struct {
	name  string
	steps []string
	// losses is how many voters are lost at a time.
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
	{"gone", []string{stepRemove}, 1},
	{"replace, replace", []string{"replace", "replace"}, 1},
	{"wipe, replace", []string{"wipe", "replace"}, 1},
	{"two: kill", []string{"kill"}, 2},
	{"two: cut", []string{"cut"}, 2},
	{"two: wipe", []string{"wipe"}, 2},
	{"two: replace", []string{"replace"}, 2},
}

// stepRemove is the step of a drill that removes a machine for good.
const stepRemove = "gone"

// timedFromLoss holds the steps whose recovery is timed from the loss: nothing
// comes back, or the successor is there beforehand.
var timedFromLoss = map[string]bool{"planned": true, stepRemove: true}

// Drills returns the names of the drills in the order of their table.
func Drills() []string {
	var names []string
	for _, drill := range drillCatalogue {
		names = append(names, drill.name)
	}
	return names
}

// drillInterval is how often a drill looks at the cluster.
const drillInterval = 10 * time.Millisecond

// drill is the state of the run's drill, and what it measured.
type drill struct {
	steps  []string
	losses int
	// recoveries are losses after which redundancy is not restored yet.
	recoveries []pendingRecovery
	// nextStep is due at nextDue; len(steps) once the round is complete.
	nextStep int
	nextDue  time.Duration
	// down counts the machines that are lost and not back.
	down          int
	recoveryTimes map[string][]time.Duration
}

// pendingRecovery is a loss that is timed from an instant on.
type pendingRecovery struct {
	label string
	since time.Duration
}

// startDrill starts the drill of a run that has one which the site tolerates.
func (c *Cluster) startDrill() {
	for _, entry := range drillCatalogue {
		if entry.name == c.options.Drill && entry.losses <= c.options.Site.MaxLosses {
			c.drill = drill{steps: entry.steps, losses: entry.losses, recoveryTimes: map[string][]time.Duration{}}
			c.after(0, c.tickDrill)
		}
	}
}

// tickDrill notes whether redundancy is restored, and starts the next loss when
// it is due.
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
		drill.nextDue = max(drill.nextDue, c.now()+c.drawBetween("calm", 0, time.Second))
	}
	if drill.nextStep < len(drill.steps) && c.now() >= drill.nextDue {
		c.injectDrillFault(drill.steps[drill.nextStep])
	}
}

// completeRecoveries records how long the pending recoveries took once redundancy
// is restored. One that takes longer than recoveryTimeout is a violation, and is
// recorded with the time until then.
func (c *Cluster) completeRecoveries() {
	drill := &c.drill
	restored, missing := c.redundancyRestored()
	first := drill.recoveries[0]
	timedOut := c.now()-first.since > recoveryTimeout
	if !restored && !timedOut {
		return
	}
	for _, recovery := range drill.recoveries {
		took := c.now() - recovery.since
		drill.recoveryTimes[recovery.label] = append(drill.recoveryTimes[recovery.label], took)
		c.trace("recovery measured", nil, "drill", recovery.label, "duration_s", took.Seconds(), "restored", restored)
	}
	drill.recoveries = nil
	if !restored {
		c.reportViolation("%s after %s still: %s", recoveryTimeout, first.label, missing)
	}
}

// redundancyRestored reports whether the cluster is fully replicated on machines
// that stay; the reason says what is missing.
func (c *Cluster) redundancyRestored() (restored bool, missing string) {
	restored, missing = c.fullyReplicated()
	for _, member := range c.newestVoters().Members {
		machine := c.machinesByIP[hostOf(member.Address)]
		if restored && (machine == nil || machine.leaving || machine.removed) {
			restored, missing = false, fmt.Sprintf("%s has a seat and leaves", member.Address)
		}
	}
	return restored, missing
}

// injectDrillFault has some of the voters lost by a step of the drill.
func (c *Cluster) injectDrillFault(step string) {
	drill, injected := &c.drill, faultCatalogue[step]
	if step == stepRemove {
		injected = fault{inject: removeMachine}
	}
	targets := c.votingMachines()
	if len(targets) < drill.losses || c.now()+injected.maxDuration > c.options.Duration || (step == stepRemove && c.spareControllers() < 1) {
		return
	}
	label := c.options.Drill
	if len(drill.steps) > 1 {
		label = fmt.Sprintf("%s (%d)", label, drill.nextStep+1)
	}
	drill.nextStep++
	for number := range drill.losses {
		index := c.drawBelow(fmt.Sprint("victim ", number), len(targets))
		target := targets[index]
		targets = slices.Delete(targets, index, index+1)
		drill.down++
		c.count("trouble " + step)
		c.trace("fault injected", target, "fault", step)
		if timedFromLoss[step] {
			drill.recoveries = append(drill.recoveries, pendingRecovery{label: label, since: c.now()})
		}
		end := injected.inject(c, target)
		c.after(c.drawBetween(fmt.Sprint("span ", step, number), injected.minDuration, injected.maxDuration), func() {
			c.trace("fault ended", target, "fault", step)
			if end != nil {
				end()
			}
			drill.down--
			drill.nextDue = c.now() + c.catchUpTime()
			// Where several are lost, time counts from the return of the last.
			if !timedFromLoss[step] && drill.down == 0 {
				drill.recoveries = append(drill.recoveries, pendingRecovery{label: label, since: c.now()})
			}
		})
	}
}

// votingMachines returns the machines of the voter set that run and stay.
func (c *Cluster) votingMachines() []*Machine {
	var voting []*Machine
	for _, member := range c.newestVoters().Members {
		machine := c.machinesByIP[hostOf(member.Address)]
		if machine != nil && machine.process != nil && machine.process.controller != nil && !machine.removed && !machine.leaving {
			voting = append(voting, machine)
		}
	}
	return voting
}

// spareControllers is how many controllers there are beyond the voters.
func (c *Cluster) spareControllers() int { return len(c.controllers()) - c.voterCount() }

// voterCount is how many voters the site is to have.
func (c *Cluster) voterCount() int { return max(3, 2*c.options.Site.MaxLosses+1) }
