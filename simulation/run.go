package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/random"
)

// recoveryTimeout is how long a run goes on after all trouble has ended.
const recoveryTimeout = 25 * clock.Second

// Run plays one run. It needs a test for the bubble of simulated time in which
// everything goes on; the command makes one.
func Run(t *testing.T, options Options) Result {
	var world *Cluster
	synctest.Test(t, func(*testing.T) {
		world = newCluster(options)
		random.SetSource(world.jitter)
		defer random.SetSource(nil)
		world.run()
	})
	wrong, unknown := world.history.check()
	world.violations = append(world.violations, wrong...)
	if unknown > 0 {
		world.counts["keys not decided by the checker"] += unknown
	}
	if len(wrong) > 0 {
		for _, line := range world.history.describe() {
			world.trace(line, nil)
		}
	}
	return Result{
		Seed: options.Seed, Broken: world.violations, Counts: world.counts, Whole: world.observed.recoveryTimes, Acks: world.observed.ackLatencies, Gap: world.observed.longestAckGap,
		Redundancy: world.drill.recoveryTimes, Service: world.meter.Availability,
	}
}

func (c *Cluster) run() {
	for _, machine := range c.machines {
		c.after(c.drawBetween("first start "+machine.name, 0, 300*clock.Millisecond), func() { machine.start(true) })
	}
	c.runUntil(2 * clock.Second)
	if c.options.scenario != nil {
		go c.options.scenario(c)
	} else {
		c.startWorkload()
	}
	c.runUntil(c.options.Duration)
	c.checkRecovery()
	c.stopping = true
	c.runUntil(c.now() + 16*clock.Second)
	for _, machine := range c.machines {
		machine.removed = true
		machine.kill()
	}
	synctest.Wait()
	// All that still waits for some time runs out; nothing is checked any more.
	for c.step(c.now() + 120*clock.Second) {
	}
}

// startWorkload sets the operators and, later, the troubles going.
func (c *Cluster) startWorkload() {
	for number := range max(1, c.options.Clients) {
		go c.runClient(fmt.Sprint("operator ", number))
	}
	c.runUntil(8 * clock.Second)
	go c.injectFaults()
	c.startDrill()
	c.startAvailabilityMeter()
}

// runUntil goes on to an instant, and checks after each step; a broken promise
// ends the run.
func (c *Cluster) runUntil(end clock.Span) {
	// Time passes also where nothing waits for it.
	c.after(end-c.now(), func() {})
	synctest.Wait()
	for !c.hasViolation() && c.step(end) {
		c.checkInvariants()
	}
}

// checkRecovery ends all trouble; within the time to catch up everything must be whole
// again, an order be acknowledged, and all read the same.
func (c *Cluster) checkRecovery() {
	for _, one := range c.links {
		one.cut = false
	}
	for key := range c.links {
		c.healLink(key[0], key[1])
	}
	c.replyLossRate, c.highLoad = 0, false
	for _, machine := range c.machines {
		machine.diskFault.stalled, machine.diskFault.slow, machine.diskFault.refuses, machine.diskFault.full = false, 0, false, false
		if machine.frozen {
			machine.frozen = false
			machine.resume()
		}
		machine.unstallDisk()
		machine.powerOn()
	}
	begin := c.now()
	c.waitFullyReplicated(begin)
	c.runUntil(begin + recoveryTimeout)
	if c.hasViolation() {
		return
	}
	c.checkFinalState()
}

// waitFullyReplicated goes on until all seats are filled and every voter holds all.
func (c *Cluster) waitFullyReplicated(begin clock.Span) {
	whole, missing := false, ""
	for c.now()-begin < recoveryTimeout && !whole && !c.hasViolation() {
		c.runUntil(c.now() + 100*clock.Millisecond)
		whole, missing = c.fullyReplicated()
	}
	if c.hasViolation() {
		return
	}
	if !whole {
		c.reportViolation("%s after all trouble ended, still: %s", recoveryTimeout, missing)
		return
	}
	c.observed.recoveryTimes = append(c.observed.recoveryTimes, c.now()-begin)
}

// checkFinalState reads at every controller and gives one more order.
func (c *Cluster) checkFinalState() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		did, _ := c.execute(c.zoneCommand(c.options.Site.Locations[0].Zone, true))
		c.record(did)
		if did.outcome != accepted {
			c.reportViolation("an order in calm got no acknowledgement")
		}
		for range len(c.controllers()) {
			if _, found := c.readConfig(8 * clock.Second); !found {
				c.reportViolation("GET /settings is not answered in calm")
			}
		}
	}()
	limit := c.now() + 30*clock.Second
	for c.now() < limit && !c.hasViolation() {
		c.runUntil(c.now() + 100*clock.Millisecond)
		select {
		case <-done:
			return
		default:
		}
	}
	if !c.hasViolation() {
		c.reportViolation("the last orders got no answer in calm")
	}
}
