package rollout

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// next returns the step of a rollout that is due now, because of a finding, the duration of its
// stage, or the end of the term. The caller holds d.mu.
func (d *Director) next(t *trackedRollout, epoch int64, now clock.Instant) (Transition, bool) {
	switch {
	case t.rejectionReason != "":
		return t.revert(t.rejectionReason)
	case t.stage() == Waiting:
		return d.nextOfWaiting(t, now)
	case t.epoch != epoch:
		return Transition{To: InProgress, Stage: t.stage(), Reason: "another director goes on"}, true
	case t.stage() == Full:
		return d.nextOfFull(t, now)
	case t.isInRollbackMargin(now) && t.analysis.isSuspect():
		return t.revert("something speaks against the version at the end of the term: " + t.analysis.verdict().Reason)
	case t.isOverdue(now):
		return t.revert("no finding long after the term: " + d.waitReason(t, now))
	case t.stage() == Canary:
		return d.nextOfCanary(t, now)
	}
	return d.nextOfPartial(t, now)
}

func (t *trackedRollout) revert(reason string) (Transition, bool) {
	return Transition{To: Reverted, Stage: t.stage(), Reason: reason}, true
}

// isInRollbackMargin reports whether the term has so little time left that a rollback to the
// old version has to start now to end within it.
func (t *trackedRollout) isInRollbackMargin(now clock.Instant) bool {
	return now.Since(t.orderedAt) >= t.term()-clampedFraction(rollbackMarginFraction, t.term(), minRollbackMargin, t.term())
}

func (t *trackedRollout) isOverdue(now clock.Instant) bool {
	return now.Since(t.orderedAt) >= max(overdueTerms*t.term(), t.term()+minOverdue)
}

func (d *Director) nextOfWaiting(t *trackedRollout, now clock.Instant) (Transition, bool) {
	if d.isTargetStable(t) {
		return d.beginStage(t, Full, "the target version is stable already"), true
	}
	if d.targetStarted(t, now) {
		return d.beginStage(t, Canary, "runners of the target version have started"), true
	}
	if t.isInRollbackMargin(now) {
		return t.revert("no runner of the target version by the term")
	}
	return Transition{}, false
}

// nextOfCanary returns the step after the canary, once the canary has lasted long enough, the
// version is good and it has passed the load test. A version that could not be load tested
// gets no more than the canary's exposure within the term, and is tested again after it. If too
// little exposure or time is left for the Partial stage, it is skipped.
func (d *Director) nextOfCanary(t *trackedRollout, now clock.Instant) (Transition, bool) {
	verdict := t.analysis.verdict()
	if verdict.Finding != Good || now.Since(t.enteredAt) < t.plan.MinDuration || !t.timedLongEnough(now) || !d.passedLoadTest(t, now) {
		return Transition{}, false
	}
	stage := Partial
	if !d.canAfford(t, Partial, now) {
		stage = Full
	}
	return d.beginStage(t, stage, verdict.Reason), true
}

// passedLoadTest reports whether the version has passed the load test. A version with too few
// runners for the test goes on without it once the term is over.
func (d *Director) passedLoadTest(t *trackedRollout, now clock.Instant) bool {
	if t.loadTest.passed {
		return true
	}
	_, ok := SelectLoadTestPair(d.groups(t), t.record.Order)
	return !ok && t.isPastTerm(now)
}

// nextOfPartial returns the step after the Partial stage. If that yielded too few attempts, the
// canary's finding stands unless there is evidence against the version.
func (d *Director) nextOfPartial(t *trackedRollout, now clock.Instant) (Transition, bool) {
	verdict, lasted := t.analysis.verdict(), now.Since(t.enteredAt)
	switch {
	case verdict.Finding == Good && lasted >= t.plan.MinDuration:
		return d.beginStage(t, Full, verdict.Reason), true
	case lasted < t.plan.MaxDuration:
		return Transition{}, false
	case !t.analysis.isSuspect():
		return d.beginStage(t, Full, "nothing speaks against it in the larger part"), true
	case !d.isWithinBudget(t, 0, now):
		return t.revert("something speaks against the version, and the exposure is used up: " + verdict.Reason)
	}
	return Transition{}, false
}

func (d *Director) nextOfFull(t *trackedRollout, now clock.Instant) (Transition, bool) {
	_, hasUnconfirmed := d.unconfirmedZone(t, now)
	if now.Since(t.enteredAt) >= t.plan.MinDuration && !t.analysis.isSuspect() && !hasUnconfirmed {
		return Transition{To: Finished, Stage: Full, Reason: "nothing runs at the old version any more"}, true
	}
	return Transition{}, false
}

// beginStage returns the step that enters a stage and reserves its exposure.
func (d *Director) beginStage(t *trackedRollout, stage Stage, reason string) Transition {
	reserve := d.planStage(t, stage).Exposure
	return Transition{To: InProgress, Stage: stage, ReserveMS: reserve.Milliseconds(), Reason: reason}
}

// canAfford reports whether enough exposure is left for a stage, and enough time for it and the
// stages that follow.
func (d *Director) canAfford(t *trackedRollout, stage Stage, now clock.Instant) bool {
	plan := d.planStage(t, stage)
	remaining := newStagePlan(Full, t.term(), 0, nil).MinDuration + d.drainTime(t)
	inTime := now.Since(t.orderedAt)+plan.MinDuration+remaining <= t.term() || t.isPastTerm(now)
	return inTime && d.isWithinBudget(t, plan.Exposure, now)
}

// isWithinBudget reports whether some more exposure is within the budget. There is no limit once
// the term is over.
func (d *Director) isWithinBudget(t *trackedRollout, more time.Duration, now clock.Instant) bool {
	if t.isPastTerm(now) {
		return true
	}
	return t.usedExposure(t.analysis.requestsPerS(now))+more <= d.budget(t)
}

// budget returns the exposure that a rollout may cause. The caller holds d.mu.
func (d *Director) budget(t *trackedRollout) time.Duration {
	return d.options.Policy.Budget(t.term(), t.analysis.maxRequestsPerS(t.allocatedExposure, d.options.Clock.Now()))
}

// drainQuantile is the fraction of the requests running at old runners that the planned
// drain time covers.
const drainQuantile = 0.99

// drainTime returns how long the last stage is planned to take beyond its minimum duration:
// the time for permits and confirmations to arrive, and for requests at old runners to end.
func (d *Director) drainTime(t *trackedRollout) time.Duration {
	return 4*d.options.Policy.ExchangeInterval + t.analysis.canary.oldDurationQuantile(drainQuantile)
}

// timedLongEnough reports whether attempts at warm runners have been timed for long enough.
func (t *trackedRollout) timedLongEnough(now clock.Instant) bool {
	since, ok := t.analysis.timedSince()
	return ok && now.Since(since) >= clampedFraction(timedTimeFraction, t.term(), minTimedTime, maxTimedTime)
}

// targetStarted reports whether enough runners of the target version are listed. After
// startTimeFraction of the term, one is enough.
func (d *Director) targetStarted(t *trackedRollout, now clock.Instant) bool {
	groups := d.groups(t)
	if len(groups.Target) == 0 {
		return false
	}
	late := now.Since(t.orderedAt) >= time.Duration(startTimeFraction*float64(t.term()))
	return late || float64(len(groups.Target)) >= startedFraction*float64(len(groups.Old))
}

// isTargetStable reports whether the order names the version that is stable. Routers go on
// sending to it, so that only the requests that run elsewhere have to end.
func (d *Director) isTargetStable(t *trackedRollout) bool {
	d.updateVersions(t, d.options.Runners(t.service))
	return t.versions.Stable() == t.record.Target
}

// groups returns the groups of the service's runners. The caller holds d.mu.
func (d *Director) groups(t *trackedRollout) Groups {
	runners := d.options.Runners(t.service)
	d.updateVersions(t, runners)
	return t.versions.Group(runners)
}

// updateVersions updates the roles of the versions of a rollout's service, given its runners.
// The caller holds d.mu.
func (d *Director) updateVersions(t *trackedRollout, runners []Runner) {
	t.versions = NewVersions(t.record, d.stable[t.service], ListedVersions(runners), t.versions)
}

// planStage returns the plan of a stage, based on the runners that are listed now.
func (d *Director) planStage(t *trackedRollout, stage Stage) stagePlan {
	return newStagePlan(stage, t.term(), d.budget(t), func(part, load float64) float64 {
		return d.meanShare(t, part, load)
	})
}

func (d *Director) meanShare(t *trackedRollout, part, load float64) float64 {
	regions := map[ids.Region]bool{}
	for _, region := range d.options.Zones {
		regions[region] = true
	}
	spec := SplitSpec{Order: t.record.Order, RunnerFraction: part, LoadFactor: load}
	return NewTrafficSplit(d.groups(t), spec).MeanShare(len(regions))
}

// unconfirmedZone returns a zone with routers that have not confirmed yet that they send
// nothing to old runners and have no requests running there; ok is false if there is none. A
// zone that has been silent for the policy's SilenceLimit has no permits and is not waited for.
func (d *Director) unconfirmedZone(t *trackedRollout, now clock.Instant) (zone ids.Zone, ok bool) {
	for zone := range d.options.Zones {
		if d.options.HasRouters(zone) && !d.zoneConfirmed(t, zone, now) {
			return zone, true
		}
	}
	return "", false
}

func (d *Director) zoneConfirmed(t *trackedRollout, zone ids.Zone, now clock.Instant) bool {
	heardAt, fresh, confirmed := t.enteredAt, false, false
	for _, relay := range t.zones[zone] {
		heardAt = max(heardAt, relay.at)
		if now.Since(relay.at) <= freshIntervals*d.options.Policy.ExchangeInterval {
			fresh, confirmed = true, confirmed || relay.unconfirmed == 0
		}
	}
	if fresh {
		return confirmed
	}
	return now.Since(heardAt) > d.options.Policy.SilenceLimit
}
