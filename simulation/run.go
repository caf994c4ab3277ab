package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/random"
)

const (
	// workloadStart is when the clients start, faultStart when the first fault may
	// come: the controllers have elected voters and owners by then.
	workloadStart = 2 * time.Second
	faultStart    = 8 * time.Second
	// recoveryTimeout is how long the cluster may take to be fully replicated
	// after the last fault.
	recoveryTimeout = 25 * time.Second
	// recoveryPoll is how often it is looked at meanwhile.
	recoveryPoll = 100 * time.Millisecond
	// clientTimeout is how long the last commands may take in a cluster without
	// faults, drainTime how long the clients' open commands may.
	clientTimeout = 30 * time.Second
	drainTime     = 16 * time.Second
	// readTimeout is how long a client tries to read where it must succeed.
	readTimeout = 8 * time.Second
	// leftoverTime is longer than any timer of a process that was killed.
	leftoverTime = 120 * time.Second
)

// Run plays one run. It needs a test for the synctest bubble of simulated time;
// the simulate command makes one. Runs must not overlap, since the process has
// one source of randomness.
func Run(t *testing.T, options Options) Result {
	var cluster *Cluster
	synctest.Test(t, func(*testing.T) {
		cluster = newCluster(options)
		cluster.configDocument = limitedConfig
		random.SetSource(cluster.jitter)
		defer random.SetSource(nil)
		cluster.run()
	})
	cluster.checkHistory()
	cluster.checkQuota()
	return Result{
		Seed: options.Seed, Violations: cluster.violations, Counts: cluster.counts,
		RecoveryTimes: cluster.observed.recoveryTimes, AckLatencies: cluster.observed.ackLatencies, LongestAckGap: cluster.observed.longestAckGap,
		RedundancyTimes: cluster.drill.recoveryTimes, Availability: cluster.meter.Availability,
	}
}

// checkHistory checks, after the run, that what the clients were answered is
// linearizable.
func (c *Cluster) checkHistory() {
	violations, undecidedKeys := c.history.check()
	c.violations = append(c.violations, violations...)
	if undecidedKeys > 0 {
		c.counts["keys not decided by the checker"] += undecidedKeys
	}
	if len(violations) > 0 {
		for _, line := range c.history.describe() {
			c.trace(line, nil)
		}
	}
}

func (c *Cluster) run() {
	for _, machine := range c.machines {
		c.after(c.drawBetween("first start "+machine.name, 0, 300*time.Millisecond), func() { machine.start(true) })
	}
	c.runUntil(workloadStart)
	if c.options.scenario != nil {
		go c.options.scenario(c)
	} else {
		c.startWorkload()
	}
	c.runUntil(c.options.Duration)
	c.checkRecovery()
	c.stopping = true
	c.runUntil(c.now() + drainTime)
	c.stop()
}

// stop kills all machines and lets the timers that are left run out, so that no
// goroutine outlives the bubble. Nothing is checked any more.
func (c *Cluster) stop() {
	for _, machine := range c.machines {
		machine.removed = true
		machine.kill()
	}
	synctest.Wait()
	for c.step(c.now() + leftoverTime) {
	}
}

// startWorkload starts the clients and, later, what injects faults.
func (c *Cluster) startWorkload() {
	for number := range max(1, c.options.Clients) {
		go c.runClient(fmt.Sprint("operator ", number))
	}
	c.startApplications(c.options.Applications)
	c.runUntil(faultStart)
	go c.injectFaults()
	c.startDrill()
	c.startAvailabilityMeter()
}

// runUntil runs the events up to an instant and checks the invariants after each;
// a violation ends the run.
func (c *Cluster) runUntil(end time.Duration) {
	// An event at the end has time pass also where nothing else is due.
	c.after(end-c.now(), func() {})
	synctest.Wait()
	for !c.hasViolation() && c.step(end) {
		c.checkInvariants()
	}
}

// checkRecovery ends all faults. Within recoveryTimeout the cluster must be fully
// replicated; then a command must be acknowledged and every controller read.
func (c *Cluster) checkRecovery() {
	c.endFaults()
	start := c.now()
	c.waitFullyReplicated(start)
	c.runUntil(start + recoveryTimeout)
	if c.hasViolation() {
		return
	}
	c.checkCounters()
	c.checkFinalState()
}

func (c *Cluster) endFaults() {
	for _, link := range c.links {
		link.cut = false
	}
	for key := range c.links {
		c.healLink(key[0], key[1])
	}
	c.replyLossRate, c.highLoad = 0, false
	for _, machine := range c.machines {
		machine.diskFault.clear()
		machine.unfreeze()
		machine.unstallDisk()
		machine.powerOn()
	}
}

// waitFullyReplicated runs until every voter is there and holds all.
func (c *Cluster) waitFullyReplicated(start time.Duration) {
	replicated, missing := false, ""
	for c.now()-start < recoveryTimeout && !replicated && !c.hasViolation() {
		c.runUntil(c.now() + recoveryPoll)
		replicated, missing = c.fullyReplicated()
	}
	if c.hasViolation() {
		return
	}
	if !replicated {
		c.reportViolation("%s after all trouble ended, still: %s", recoveryTimeout, missing)
		return
	}
	c.observed.recoveryTimes = append(c.observed.recoveryTimes, c.now()-start)
}

// checkFinalState issues one more command and reads at every controller.
func (c *Cluster) checkFinalState() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		op, _ := c.execute(c.zoneCommand(c.options.Site.Locations[0].Zone, true))
		c.record(op)
		if op.outcome != accepted {
			c.reportViolation("an order in calm got no acknowledgement")
		}
		for range len(c.controllers()) {
			if _, ok := c.readConfig(readTimeout); !ok {
				c.reportViolation("GET /settings is not answered in calm")
			}
		}
	}()
	c.runWhileOpen(done, clientTimeout, "the last orders got no answer in calm")
}

// runWhileOpen runs until done is closed; it reports a violation where that takes longer
// than the timeout.
func (c *Cluster) runWhileOpen(done <-chan struct{}, timeout time.Duration, violation string) {
	deadline := c.now() + timeout
	for c.now() < deadline && !c.hasViolation() {
		c.runUntil(c.now() + recoveryPoll)
		select {
		case <-done:
			return
		default:
		}
	}
	if !c.hasViolation() {
		c.reportViolation("%s", violation)
	}
}
