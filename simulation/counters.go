package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// mergeTimeout is how long after the end of all trouble every controller must know
// every add that was acknowledged.
const mergeTimeout = 3 * time.Second

// counterNames are the counters that the applications add to.
var counterNames = []string{"labels", "prints"}

// controllerProcess identifies a process of a controller to the ledger of the counters.
type controllerProcess struct {
	machine *Machine
	number  int
}

// noteFaultBegin records that a fault begins.
func (c *Cluster) noteFaultBegin() { c.counters.FaultBegins(c.now()) }

// noteFaultEnd records that a fault has ended.
func (c *Cluster) noteFaultEnd() {
	c.counters.FaultEnds(c.now())
	c.noteRecovery()
}

// noteStart records that a process starts, which is trouble too: it has to catch up.
func (c *Cluster) noteStart() {
	c.counters.Disturbed(c.now())
	c.noteRecovery()
}

func (c *Cluster) noteRecovery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRecovery = c.now()
}

// requiredCopies is how many disks must hold an add before it is acknowledged, where
// so many are in reach.
func (c *Cluster) requiredCopies() int { return c.options.Site.MaxLosses + 1 }

// recoveryNoticeTime is how long a controller may take to notice that others are in
// reach again.
const recoveryNoticeTime = 2 * time.Second

// exposed reports whether fewer disks than required are in reach of a machine.
func (c *Cluster) exposed(machine *Machine) bool {
	copies := 1
	for _, other := range c.controllers() {
		if other != machine && c.reaches(machine, other) {
			copies++
		}
	}
	return copies < c.requiredCopies() || c.now()-c.lastRecovery < recoveryNoticeTime
}

// reaches reports whether a controller runs on the other machine with a sound disk, and
// can be called.
func (c *Cluster) reaches(machine *Machine, other *Machine) bool {
	return other.running() && !c.link(machine.name, other.name).cut && !c.link(other.name, machine.name).cut
}

// running reports whether the machine's controller runs and its disk works.
func (m *Machine) running() bool {
	return m.process != nil && m.process.controller != nil && !m.process.stopping && !m.frozen && m.diskFault.none()
}

// none reports whether nothing is wrong with the disk.
func (d *diskFault) none() bool { return !d.stalled && d.slowdown <= 1 && !d.refusesWrites && !d.full }

// readCounter reads a total at a controller and checks it: nothing that this process has
// acknowledged may be missing, after mergeTimeout without trouble nothing that any has,
// nor ever what all had before the last trouble, unless it could not catch up; and it may
// not be more than what was sent. It returns false if there was no answer.
func (c *Cluster) readCounter(from string, target *Machine, counter string) (total int64, ok bool) {
	if target.process == nil {
		return 0, false
	}
	process, calm := target.process.number, c.counters.Calm(c.now())
	low := c.counters.Least(counter, controllerProcess{target, process}, c.knownBefore(target, calm))
	status, body := c.callControl(from, target, http.MethodGet, "/tallies/"+counter, nil)
	c.count(fmt.Sprintf("totals %d", status))
	if status != http.StatusOK || target.process == nil || target.process.number != process {
		return 0, status == http.StatusOK
	}
	var answer struct{ Total *int64 }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Total == nil {
		c.reportViolation("%s answers a read of %s with %.100s", target.name, counter, body)
		return 0, true
	}
	if high := c.counters.Most(counter); *answer.Total < low || *answer.Total > high {
		c.traceCounters()
		c.reportViolation("%s reads %d for %s, not %d to %d (calm: %v)", target.name, *answer.Total, counter, low, high, calm)
	}
	return *answer.Total, true
}

// knownBefore returns the instant before which a controller must know all that was
// acknowledged.
func (c *Cluster) knownBefore(target *Machine, calm bool) time.Duration {
	switch {
	case calm:
		return c.now() - mergeTimeout
	case c.couldCatchUp(target):
		return c.counters.SettledBefore()
	}
	return 0
}

// traceCounters writes what each controller says of its counters to the trace.
func (c *Cluster) traceCounters() {
	for _, machine := range c.controllers() {
		if machine.process != nil && machine.process.controller != nil {
			c.trace("counters", machine, "status", machine.process.controller.Counters())
		}
	}
}

// couldCatchUp reports whether a controller has reached another since it started.
func (c *Cluster) couldCatchUp(target *Machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	started := target.process.startedAt
	return c.lastRecovery <= started && slices.ContainsFunc(c.machines, func(other *Machine) bool {
		return other != target && !other.isRouter && !other.removed && other.running() && other.process.startedAt < started &&
			!c.links[[2]string{target.name, other.name}].isCut() && !c.links[[2]string{other.name, target.name}].isCut()
	})
}

// callControl calls a controller from a host and waits attemptTimeout for the answer;
// status 0 says that there was none.
func (c *Cluster) callControl(from string, target *Machine, method string, path string, body []byte) (int, []byte) {
	resp, answer := c.call(context.Background(), from, method, "http://"+string(target.address(controlPort))+path, http.Header{}, body)
	if resp == nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// checkCounters checks, after all faults, that every controller answers with the same
// total, which has all that was acknowledged and no more than what was sent.
func (c *Cluster) checkCounters() {
	if c.counters.Empty() {
		return
	}
	c.runUntil(c.now() + mergeTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, counter := range counterNames {
			c.checkAgreement(counter)
		}
	}()
	c.runWhileOpen(done, clientTimeout, "the counters can't be read in calm")
}

// checkAgreement checks that all controllers read the same total.
func (c *Cluster) checkAgreement(counter string) {
	controllers := c.controllers()
	first := c.awaitTotal(controllers[0], counter)
	for _, target := range controllers[1:] {
		if total := c.awaitTotal(target, counter); total != first && !c.hasViolation() {
			c.traceCounters()
			c.reportViolation("%s reads %d for %s in calm, %s %d", target.name, total, counter, controllers[0].name, first)
		}
	}
}

// awaitTotal reads a total until there is an answer, for as long as a client would.
func (c *Cluster) awaitTotal(target *Machine, counter string) int64 {
	for start := c.now(); c.now()-start < readTimeout && !c.hasViolation(); c.sleep(maxRetryBackoff) {
		if total, ok := c.readCounter(clientHost, target, counter); ok {
			return total
		}
	}
	c.reportViolation("%s does not answer what %s is in calm", target.name, counter)
	return 0
}
