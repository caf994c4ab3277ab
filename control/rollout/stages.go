package rollout

import (
	"fmt"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// next returns the step of a rollout that is due now. The caller holds d.mu.
func (d *Director) next(t *trial, epoch int64, now clock.Instant) (Transition, bool) {
	if t.rejected != "" {
		return t.revert(t.rejected)
	}
	if t.stage() != Full && now.Since(t.orderedAt) >= t.term()-bounded(closingTime, t.term(), minClosing, t.term()) {
		return t.revert("no finding by the term: " + d.waitsFor(t, now))
	}
	if t.stage() != Waiting && t.epoch != epoch {
		return d.resume(t)
	}
	switch t.stage() {
	case Waiting:
		if d.targetStarted(t, now) {
			return d.begin(t, Canary, "runners of the target version have started")
		}
	case Canary:
		return d.nextOfCanary(t, now)
	case Partial:
		verdict := t.judge.Verdict()
		if verdict.Finding == Good && now.Since(t.enteredAt) >= t.shape.Least {
			return Transition{To: Serving, Stage: Full, Reason: verdict.Reason}, true
		}
		if now.Since(t.enteredAt) >= t.shape.Longest {
			return t.endPartial(verdict)
		}
	case Full:
		_, waits := d.unconfirmedZone(t, now)
		if now.Since(t.enteredAt) >= t.shape.Least && !t.judge.IsDoubtful() && !waits {
			return Transition{To: Finished, Stage: Full, Reason: "nothing runs at the old version any more"}, true
		}
	}
	return Transition{}, false
}

func (t *trial) revert(reason string) (Transition, bool) {
	return Transition{To: Reverted, Stage: t.stage(), Reason: reason}, true
}

// resume goes on with a stage that another director has begun: what it may have used counts
// as used, and the evidence is gone.
func (d *Director) resume(t *trial) (Transition, bool) {
	return d.begin(t, t.stage(), "another director goes on")
}

// begin returns the step into a stage, whose exposure is reserved, or back where too little
// exposure is left.
func (d *Director) begin(t *trial, stage Stage, reason string) (Transition, bool) {
	reserve := d.shape(t, stage).Exposure
	if stage != Full && time.Duration(t.record.ReservedMS)*time.Millisecond+reserve > d.budget(t) {
		return t.revert("too little exposure is left for stage " + stage.String())
	}
	return Transition{To: Serving, Stage: stage, ReserveMS: reserve.Milliseconds(), Reason: reason}, true
}

// budget returns the exposure that a rollout may cause. The caller holds d.mu.
func (d *Director) budget(t *trial) time.Duration {
	return d.options.Policy.Budget(t.term(), t.judge.RequestsPerS(d.options.Clock.Now()))
}

// nextOfCanary returns the step after the canary, once it has lasted long enough and the
// version is good. Where too little exposure is left for a larger part, all traffic follows
// at once.
func (d *Director) nextOfCanary(t *trial, now clock.Instant) (Transition, bool) {
	verdict := t.judge.Verdict()
	lasted := now.Since(t.enteredAt)
	if verdict.Finding != Good || lasted < t.shape.Least || !t.timedLongEnough(now) {
		if d.isSpent(t, now) {
			return t.revert("no finding in the time of the canary: " + d.waitsFor(t, now))
		}
		return Transition{}, false
	}
	if step, _ := d.begin(t, Partial, verdict.Reason); step.To == Serving {
		return step, true
	}
	return Transition{To: Serving, Stage: Full, Reason: verdict.Reason}, true
}

// endPartial returns the step after a larger part that brought too few attempts: the canary's
// finding stands where nothing speaks against it.
func (t *trial) endPartial(verdict Verdict) (Transition, bool) {
	if t.judge.IsDoubtful() {
		return t.revert("no finding in the time of the larger part: " + verdict.Reason)
	}
	return Transition{To: Serving, Stage: Full, Reason: "nothing speaks against it in the larger part"}, true
}

// isSpent reports whether a stage has lasted for as long, or exposed as much, as it may. What
// permits still allow, and what was not reported yet, counts as sent.
func (d *Director) isSpent(t *trial, now clock.Instant) bool {
	lasted := now.Since(t.enteredAt)
	part := t.judge.TargetPart()
	ahead := d.options.Policy.PermitTTL / 2
	return lasted >= t.shape.Longest || time.Duration(part*float64(lasted+ahead)) >= t.shape.Exposure
}

// timedLongEnough reports whether attempts at warm runners were timed for long enough.
func (t *trial) timedLongEnough(now clock.Instant) bool {
	since, ok := t.judge.TimedSince()
	return ok && now.Since(since) >= bounded(timedTime, t.term(), minTimedTime, maxTimedTime)
}

// targetStarted reports whether enough runners of the target version are listed.
func (d *Director) targetStarted(t *trial, now clock.Instant) bool {
	old, target := 0, 0
	for _, runner := range d.options.Runners(t.service) {
		if runner.Version == t.record.Target {
			target++
		} else {
			old++
		}
	}
	if target == 0 {
		return false
	}
	late := now.Since(t.orderedAt) >= time.Duration(startTime*float64(t.term()))
	return late || float64(target) >= startedPart*float64(old)
}

// shape returns the shape of a stage by the runners that are listed now.
func (d *Director) shape(t *trial, stage Stage) stageShape {
	return shapeOf(stage, t.term(), d.budget(t), func(part, load float64) float64 {
		return d.meanShare(t, part, load)
	})
}

func (d *Director) meanShare(t *trial, part, load float64) float64 {
	regions := map[ids.Region]bool{}
	for _, region := range d.options.Zones {
		regions[region] = true
	}
	return NewSpread(d.options.Runners(t.service), t.record.Target, t.record.Order, part, load, false).MeanShare(len(regions))
}

// unconfirmedZone returns a zone with routers that have not confirmed yet that they send
// nothing to old runners, and have nothing there; ok is false where there is none. A zone that
// has been silent for long has no permits, and is not waited for.
func (d *Director) unconfirmedZone(t *trial, now clock.Instant) (zone ids.Zone, ok bool) {
	for zone := range d.options.Zones {
		if d.options.HasRouters(zone) && !d.zoneConfirmed(t, zone, now) {
			return zone, true
		}
	}
	return "", false
}

func (d *Director) zoneConfirmed(t *trial, zone ids.Zone, now clock.Instant) bool {
	heardAt, fresh, confirmed := t.enteredAt, false, false
	for _, relay := range t.zones[zone] {
		heardAt = max(heardAt, relay.at)
		if now.Since(relay.at) <= freshExchanges*d.options.Policy.ExchangeInterval {
			fresh, confirmed = true, confirmed || relay.unconfirmed == 0
		}
	}
	if fresh {
		return confirmed
	}
	return now.Since(heardAt) > d.options.Policy.SilenceLimit
}

// waitsFor says what a rollout waits for.
func (d *Director) waitsFor(t *trial, now clock.Instant) string {
	switch t.stage() {
	case Waiting:
		return "runners of the target version"
	case Canary, Partial:
		if verdict := t.judge.Verdict(); verdict.Finding != Good {
			return verdict.Reason
		}
		return "the time of the stage"
	}
	if t.judge.IsDoubtful() {
		return "more attempts: something speaks against the version"
	}
	if zone, ok := d.unconfirmedZone(t, now); ok {
		return fmt.Sprintf("routers of %s to end what runs at the old version", zone)
	}
	return "the verdict to be stored"
}

// Condition returns what became of a service's newest rollout.
func (d *Director) Condition(service ids.Service) Condition {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trials[service]; t != nil {
		return Condition(t.record.Condition)
	}
	return Unordered
}

// Count returns how many services' newest rollouts have a condition.
func (d *Director) Count(condition Condition) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, t := range d.trials {
		if Condition(t.record.Condition) == condition {
			count++
		}
	}
	return count
}

// AwaitsRunners reports whether a rollout waits for runners of its target version.
func (d *Director) AwaitsRunners() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.trials {
		if t.record.InProgress() && t.stage() == Waiting {
			return true
		}
	}
	return false
}

// Status is a rollout as operators see it.
type Status struct {
	Service    ids.Service `json:"service"`
	Target     string      `json:"target_version"`
	Condition  string      `json:"condition"`
	Stage      string      `json:"stage"`
	TermMS     int64       `json:"term_ms"`
	ElapsedMS  int64       `json:"elapsed_ms"`
	ReservedMS int64       `json:"exposure_reserved_ms"`
	Reason     string      `json:"reason,omitempty"`
	// WaitsFor and Routes are known at the director alone.
	WaitsFor string        `json:"waits_for,omitempty"`
	Routes   []RouteStatus `json:"routes,omitempty"`
}

// Statuses returns all rollouts that are known here.
func (d *Director) Statuses() []Status {
	now := d.options.Clock.Now()
	epoch, held := d.options.Held(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	var statuses []Status
	for _, t := range d.trials {
		status := Status{
			Service: t.service, Target: t.record.Target, Condition: Condition(t.record.Condition).String(), Stage: t.stage().String(),
			TermMS: t.record.TermMS, ElapsedMS: now.Since(t.orderedAt).Milliseconds(), ReservedMS: t.record.ReservedMS, Reason: t.record.Reason,
		}
		if held && t.epoch == epoch && t.record.InProgress() {
			status.WaitsFor, status.Routes = d.waitsFor(t, now), t.judge.Routes()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
