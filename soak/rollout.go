package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/rollout"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
	"onyxwell/soak/localcluster"
)

const (
	rolloutsPath = "/rollouts"
	// rolledService changes its version in each run, calmService once all faults are over.
	rolledService = "shop"
	calmService   = "desk"
	oldVersion    = "v1"
	newVersion    = "v2"
	// rolloutTerm is the time that is ordered, rolloutDelay when in the run.
	rolloutTerm  = 8 * time.Second
	rolloutDelay = 500 * time.Millisecond
	// rolloutPoll is the time between two reads of what became of it.
	rolloutPoll = 200 * time.Millisecond
	// drainAfterRevert is how long after a reversal the new runners go on.
	drainAfterRevert = 2 * time.Second
	// badPart is the part of requests that a bad version fails.
	badPart = 0.5
	// rolloutClients send requests while the checks wait for a verdict.
	rolloutClients = 4
)

// rolloutRecord is what is known of the run's rollout. It is safe for concurrent use.
type rolloutRecord struct {
	service string
	mu      sync.Mutex
	// bad says that the new version fails, calm that there are no faults beside.
	bad, calm bool
	// orderedAt is when the order was acknowledged; 0 is not yet.
	orderedAt clock.Instant
	// newRunners are those of the new version; oldStopped and newStopped say that the
	// runners of a version have ended.
	newRunners             []*zoneRunner
	oldStopped, newStopped bool
	// conditions are the different ones that were read, in their order.
	conditions []string
	verdictAt  clock.Instant
	// ranOld and ranNew count the requests that ran at either version until the term.
	ranOld, ranNew int64
}

// countRun counts a request that ran at a runner of the service.
func (r *rolloutRecord) countRun(version string, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orderedAt == 0 || now.Since(r.orderedAt) > rolloutTerm {
		return
	}
	if version == newVersion {
		r.ranNew++
	} else {
		r.ranOld++
	}
}

// verdict returns what the rollout came to, "" while it is in progress.
func (r *rolloutRecord) verdict() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdictAt == 0 {
		return ""
	}
	return r.conditions[len(r.conditions)-1]
}

// observe notes a condition that was read.
func (r *rolloutRecord) observe(condition string, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conditions) == 0 || r.conditions[len(r.conditions)-1] != condition {
		r.conditions = append(r.conditions, condition)
	}
	if r.verdictAt == 0 && condition != rollout.InProgress.String() {
		r.verdictAt = now
	}
}

// listed returns the new runners that are up, and whether the old ones are.
func (r *rolloutRecord) listed() (added []*zoneRunner, withOld bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.newStopped {
		added = r.newRunners
	}
	return added, !r.oldStopped
}

// runRollout orders a rollout and does what the platform and the operator do in it, until
// ctx ends or there is a verdict.
func (c *cluster) runRollout(ctx context.Context, record *rolloutRecord) {
	op := newOperator(c, c.random(streamRollout))
	body, err := json.Marshal(map[string]any{"service": record.service, "target_version": newVersion, "over_s": rolloutTerm.Seconds()})
	if err != nil {
		c.addFinding("SOAK", "order of a rollout: %v", err)
		return
	}
	for record.ordered() == 0 && c.wait(ctx, rolloutPoll) {
		resp := op.do(ctx, http.MethodPost, rolloutsPath, noVersion, body)
		c.logEvent("order of a rollout: %d", resp.status)
		switch {
		case resp.status == http.StatusOK:
			c.startNewVersion(ctx, record)
		case resp.rejected():
			c.addFinding("ACKS", "the order of a rollout gets %d: %s", resp.status, resp.body)
			return
		}
	}
	for c.wait(ctx, rolloutPoll) {
		c.readRollout(ctx, op, record)
		if record.verdict() != "" {
			c.endVersion(ctx, record)
			return
		}
	}
}

func (r *rolloutRecord) ordered() clock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderedAt
}

// startNewVersion starts a runner of the new version beside each old one. They outlive the
// workload, with which ctx ends: a runner whose context has ended answers nothing.
func (c *cluster) startNewVersion(ctx context.Context, record *rolloutRecord) {
	ctx = context.WithoutCancel(ctx)
	var started []*zoneRunner
	for index, old := range c.runners {
		if old.service != record.service {
			continue
		}
		faults := runner.FaultRates{}
		if record.bad {
			faults[runner.OwnFailure] = badPart
		}
		added, err := c.startRunner(ctx, record.service, fmt.Sprintf("i-new-%d", index+1), old.zone, newVersion, faults)
		if err != nil {
			c.addFinding("SOAK", "runner of the new version: %v", err)
			continue
		}
		started = append(started, added)
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	record.newRunners, record.orderedAt = started, c.clock.Now()
}

// rolloutDocument is the response to a read.
type rolloutDocument struct {
	Condition string `json:"condition"`
	Target    string `json:"target_version"`
}

func (c *cluster) readRollout(ctx context.Context, op *operator, record *rolloutRecord) {
	resp := op.do(ctx, http.MethodGet, rolloutsPath+"/"+record.service, noVersion, nil)
	if resp.status == 0 {
		return
	}
	var doc rolloutDocument
	if resp.status != http.StatusOK || json.Unmarshal(resp.body, &doc) != nil || doc.Target != newVersion {
		c.addFinding("LOST", "a rollout that was acknowledged is read as %d: %s", resp.status, resp.body)
		return
	}
	record.observe(doc.Condition, c.clock.Now())
}

// endVersion stops the old runners at once after a rollout that has finished, and the new
// ones some time after a reversal.
func (c *cluster) endVersion(ctx context.Context, record *rolloutRecord) {
	finished := record.verdict() == rollout.Finished.String()
	c.logEvent("verdict on the rollout: %s", record.verdict())
	if !finished && !c.wait(ctx, drainAfterRevert) {
		return
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	record.oldStopped, record.newStopped = finished, !finished
	if !finished {
		for _, zr := range record.newRunners {
			zr.Close()
		}
		return
	}
	for _, zr := range c.runners {
		if zr.service == record.service {
			zr.Close()
		}
	}
}

// checkRollout checks that there is a verdict once all faults are over, that it stays, and
// that a bad version was reverted within the exposure that is allowed.
func (c *cluster) checkRollout(ctx context.Context, record *rolloutRecord) {
	working, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for range rolloutClients {
		workers.Go(func() { c.runClient(working) })
	}
	if record.verdict() == "" {
		workers.Go(func() { c.runRollout(working, record) })
	}
	err := c.eventually(ctx, localcluster.RecoverWithin+2*rolloutTerm, func() error {
		if record.verdict() == "" {
			return errors.New("no verdict on the rollout")
		}
		return nil
	})
	c.wait(ctx, drainAfterRevert+settleTime)
	stop()
	workers.Wait()
	if err != nil {
		c.addFinding("ROLLOUT", "%s: %v", record.service, err)
		return
	}
	c.readRollout(ctx, newOperator(c, c.random(streamRollout+1)), record)
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, broken := range record.broken() {
		c.addFinding("ROLLOUT", "%s: %s", record.service, broken)
	}
}

// broken returns what is wrong with a rollout that has come to its end. The caller holds
// r.mu.
func (r *rolloutRecord) broken() []string {
	var broken []string
	serving, verdicts := rollout.InProgress.String(), 0
	for index, condition := range r.conditions {
		if condition != serving {
			verdicts++
		}
		if condition == serving && index > 0 {
			broken = append(broken, fmt.Sprintf("serving again after a verdict: %v", r.conditions))
		}
	}
	if verdicts > 1 {
		broken = append(broken, fmt.Sprintf("more than one verdict: %v", r.conditions))
	}
	if r.calm && (len(r.conditions) == 0 || r.conditions[len(r.conditions)-1] != rollout.Finished.String()) {
		broken = append(broken, fmt.Sprintf("a good version does not finish in calm: %v", r.conditions))
	}
	if !r.bad {
		return broken
	}
	if len(r.conditions) > 0 && r.conditions[len(r.conditions)-1] == rollout.Finished.String() {
		broken = append(broken, "a bad version has finished")
	}
	if allowed := localcluster.BadShare*float64(r.ranOld+r.ranNew) + localcluster.BadSlack; float64(r.ranNew) > allowed {
		broken = append(broken, fmt.Sprintf("%d of %d requests ran at a bad version, %.0f may", r.ranNew, r.ranOld+r.ranNew, allowed))
	}
	return broken
}

// String tells what the rollout came to.
func (r *rolloutRecord) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := "of a good version"
	if r.bad {
		version = "of a bad version"
	}
	if r.verdictAt == 0 {
		return version + " without a verdict"
	}
	return fmt.Sprintf("%s %s after %.1f s, %d of %d requests at it in the term", version, r.conditions[len(r.conditions)-1],
		r.verdictAt.Since(r.orderedAt).Seconds(), r.ranNew, r.ranOld+r.ranNew)
}

// rollouts returns the run's rollouts: that beside the faults, and that after them.
func (c *cluster) rollouts() []*rolloutRecord { return []*rolloutRecord{&c.rollout, &c.calmRollout} }

// countVersion counts a run for the rollout.
func (c *cluster) countVersion(zr *zoneRunner, run oracle.Run) {
	for _, record := range c.rollouts() {
		if zr.service == record.service && !run.Rejected {
			record.countRun(zr.version, c.clock.Now())
		}
	}
}
