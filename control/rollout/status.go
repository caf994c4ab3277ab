package rollout

import (
	"fmt"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// waitReason returns what a rollout is waiting for.
func (d *Director) waitReason(t *trackedRollout, now clock.Instant) string {
	switch t.stage() {
	case Waiting:
		return "runners of the target version"
	case Canary, Partial:
		if verdict := t.analysis.verdict(); verdict.Finding != Good {
			return verdict.Reason
		}
		if t.stage() == Canary && !d.passedLoadTest(t, now) {
			return t.loadTestWaitReason()
		}
		return "the time of the stage"
	}
	if t.analysis.isSuspect() {
		return "more attempts: something speaks against the version"
	}
	if zone, ok := d.unconfirmedZone(t, now); ok {
		return fmt.Sprintf("routers of %s to end what runs at the old version", zone)
	}
	return "the verdict to be stored"
}

// loadTestWaitReason returns what a version that has not passed the load test is waiting for.
func (t *trackedRollout) loadTestWaitReason() string {
	if t.loadTest.done {
		return "the end of the term: too few requests, or too little exposure, to bring a runner under load"
	}
	return "attempts under load"
}

// Condition returns the condition of a service's newest rollout.
func (d *Director) Condition(service ids.Service) Condition {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.rollouts[service]; t != nil {
		return Condition(t.record.Condition)
	}
	return NoRollout
}

// Count returns the number of services whose newest rollout has the given condition.
func (d *Director) Count(condition Condition) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, t := range d.rollouts {
		if Condition(t.record.Condition) == condition {
			count++
		}
	}
	return count
}

// Excluded returns the listed versions of a service that get no requests, as
// Versions.Excluded does. It returns nil for a service without a rollout.
func (d *Director) Excluded(service ids.Service) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	tracked := d.rollouts[service]
	if tracked == nil {
		return nil
	}
	runners := d.options.Runners(service)
	d.updateVersions(tracked, runners)
	return tracked.versions.Excluded(ListedVersions(runners))
}

// AwaitsRunners reports whether a rollout is waiting for runners of its target version.
func (d *Director) AwaitsRunners() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.rollouts {
		if t.record.InProgress() && t.stage() == Waiting {
			return true
		}
	}
	return false
}

// Status is the state of a rollout, for operators.
type Status struct {
	Service    ids.Service `json:"service"`
	Target     string      `json:"target_version"`
	Condition  string      `json:"condition"`
	Stage      string      `json:"stage"`
	TermMS     int64       `json:"term_ms"`
	ElapsedMS  int64       `json:"elapsed_ms"`
	ReservedMS int64       `json:"exposure_reserved_ms"`
	Reason     string      `json:"reason,omitempty"`
	// WaitsFor, Note and Routes are known only at the director. Note is set if the term is too
	// short.
	WaitsFor string        `json:"waits_for,omitempty"`
	Note     string        `json:"note,omitempty"`
	Routes   []RouteStatus `json:"routes,omitempty"`
}

// Statuses returns the state of all known rollouts.
func (d *Director) Statuses() []Status {
	now := d.options.Clock.Now()
	epoch, held := d.options.Held(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	var statuses []Status
	for _, t := range d.rollouts {
		status := Status{
			Service: t.service, Target: t.record.Target, Condition: Condition(t.record.Condition).String(), Stage: t.stage().String(),
			TermMS: t.record.TermMS, ElapsedMS: now.Since(t.orderedAt).Milliseconds(), ReservedMS: t.record.ReservedMS, Reason: t.record.Reason,
		}
		if held && t.epoch == epoch && t.record.InProgress() {
			status.WaitsFor, status.Routes = d.waitReason(t, now), t.analysis.canary.Routes()
			status.Note = t.note
		}
		statuses = append(statuses, status)
	}
	return statuses
}
