package simulation

import (
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

// counterAdd is an add of an application to a counter, under an ID by which it
// counts once, with all the attempts to have it counted.
type counterAdd struct {
	counter string
	id      string
	amount  int64
	// open counts the attempts that were not refused with the promise that nothing was
	// done: with none, the add must not count.
	open int
	acks []counterAck
	// excused says that the disks that held it may all be lost: too few were in reach.
	excused bool
}

// counterAck is an acknowledgement of an add.
type counterAck struct {
	at      time.Duration
	machine *Machine
	// process is the number of the machine's process that acknowledged.
	process int
	// exposed says that fewer disks were in reach than must hold the add.
	exposed bool
}

// ackedBy reports whether a process of a machine has acknowledged the add.
func (a *counterAdd) ackedBy(machine *Machine, process int) bool {
	return slices.ContainsFunc(a.acks, func(ack counterAck) bool { return ack.machine == machine && ack.process == process })
}

// ackedBefore reports whether the add was acknowledged before an instant.
func (a *counterAdd) ackedBefore(at time.Duration) bool {
	return slices.ContainsFunc(a.acks, func(ack counterAck) bool { return ack.at < at })
}

// counterLog is what the applications know of the counters, and what the checks need
// of the faults.
type counterLog struct {
	adds []*counterAdd
	// activeFaults counts the faults that are in force; lastTrouble is when one last
	// began or ended, lastRecovery when one last ended or a process started.
	activeFaults int
	lastTrouble  time.Duration
	lastRecovery time.Duration
	// settledAt is an instant at which every add of mergeTimeout before is known to all.
	settledAt time.Duration
}

// noteFaultBegin records that a fault begins.
func (c *Cluster) noteFaultBegin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calmLocked() {
		c.counters.settledAt = c.now()
	}
	c.counters.activeFaults++
	c.counters.lastTrouble = c.now()
}

// noteFaultEnd records that a fault has ended.
func (c *Cluster) noteFaultEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.activeFaults--
	c.counters.lastTrouble, c.counters.lastRecovery = c.now(), c.now()
}

// noteStart records that a process starts, which is trouble too: it has to catch up.
func (c *Cluster) noteStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.lastTrouble, c.counters.lastRecovery = c.now(), c.now()
}

// calmLocked reports whether there was no trouble for mergeTimeout. The caller holds mu.
func (c *Cluster) calmLocked() bool {
	return c.counters.activeFaults == 0 && c.now()-c.counters.lastTrouble >= mergeTimeout
}

func (c *Cluster) calm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calmLocked()
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
	return copies < c.requiredCopies() || c.now()-c.counters.lastRecovery < recoveryNoticeTime
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

// excuseExposedAdds is called when a disk is lost: what was acknowledged while too few
// disks were in reach, and is not known to be everywhere since, may be gone.
func (c *Cluster) excuseExposedAdds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, add := range c.counters.adds {
		safe := slices.ContainsFunc(add.acks, func(ack counterAck) bool {
			return !ack.exposed || ack.at < c.counters.settledAt-mergeTimeout
		})
		add.excused = add.excused || !safe
	}
}

// counterBounds are the least and the most that a total may be.
type counterBounds struct{ low, high int64 }

// boundsOf returns the bounds of a total: known selects the adds that it must have.
func (c *Cluster) boundsOf(counter string, known func(*counterAdd) bool) counterBounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	var bounds counterBounds
	for _, add := range c.counters.adds {
		if add.counter != counter {
			continue
		}
		if add.open > 0 {
			bounds.high += add.amount
		}
		if !add.excused && known(add) {
			bounds.low += add.amount
		}
	}
	return bounds
}

// readCounter reads a total at a controller and checks it: nothing that this process has
// acknowledged may be missing, after mergeTimeout without trouble nothing that any has,
// nor ever what all had before the last trouble, unless it could not catch up; and it may
// not be more than what was sent. It reports whether there was an answer.
func (c *Cluster) readCounter(from string, target *Machine, counter string) bool {
	if target.process == nil {
		return false
	}
	start, process, calm := c.now(), target.process.number, c.calm()
	known := map[*counterAdd]bool{}
	c.mu.Lock()
	settled := c.counters.settledAt - mergeTimeout
	if !c.couldCatchUpLocked(target) {
		settled = 0
	}
	for _, add := range c.counters.adds {
		known[add] = add.ackedBy(target, process) || add.ackedBefore(settled) || (calm && add.ackedBefore(start-mergeTimeout))
	}
	c.mu.Unlock()
	status, body := c.callControl(from, target, http.MethodGet, "/tallies/"+counter, nil)
	c.count(fmt.Sprintf("totals %d", status))
	if status != http.StatusOK || target.process == nil || target.process.number != process {
		return status == http.StatusOK
	}
	var answer struct{ Total *int64 }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Total == nil {
		c.reportViolation("%s answers a read of %s with %.100s", target.name, counter, body)
		return true
	}
	bounds := c.boundsOf(counter, func(add *counterAdd) bool { return known[add] })
	if *answer.Total < bounds.low || *answer.Total > bounds.high {
		c.traceCounters()
		c.reportViolation("%s reads %d for %s, not %d to %d (calm: %v)", target.name, *answer.Total, counter, bounds.low, bounds.high, calm)
	}
	return true
}

// traceCounters writes what each controller says of its counters to the trace.
func (c *Cluster) traceCounters() {
	for _, machine := range c.controllers() {
		if machine.process != nil && machine.process.controller != nil {
			c.trace("counters", machine, "status", machine.process.controller.Counters())
		}
	}
}

// couldCatchUpLocked reports whether a controller has reached another since it started.
// The caller holds mu.
func (c *Cluster) couldCatchUpLocked(target *Machine) bool {
	started := target.process.startedAt
	return c.counters.lastRecovery <= started && slices.ContainsFunc(c.machines, func(other *Machine) bool {
		return other != target && !other.isRouter && !other.removed && other.running() && other.process.startedAt < started &&
			!c.links[[2]string{target.name, other.name}].isCut() && !c.links[[2]string{other.name, target.name}].isCut()
	})
}

// callControl calls a controller from a host and waits attemptTimeout for the answer;
// status 0 says that there was none.
func (c *Cluster) callControl(from string, target *Machine, method string, path string, body []byte) (int, []byte) {
	return c.callFrom(from, "http://"+string(target.address(controlPort))+path, method, body)
}

// checkCounters checks, after all faults, that every controller answers with the same
// total, which has all that was acknowledged and no more than what was sent.
func (c *Cluster) checkCounters() {
	if len(c.counters.adds) == 0 {
		return
	}
	c.runUntil(c.now() + mergeTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, target := range c.controllers() {
			for _, counter := range counterNames {
				c.awaitTotal(target, counter)
			}
		}
	}()
	c.runWhileOpen(done, clientTimeout, "the counters can't be read in calm")
}

// awaitTotal reads a total until there is an answer, for as long as a client would.
func (c *Cluster) awaitTotal(target *Machine, counter string) {
	for start := c.now(); c.now()-start < readTimeout && !c.hasViolation(); c.sleep(maxRetryBackoff) {
		if c.readCounter(clientHost, target, counter) {
			return
		}
	}
	c.reportViolation("%s does not answer what %s is in calm", target.name, counter)
}
