package rollout

import (
	"context"
	"fmt"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// saveInterval is the time between two writes of the evidence. Each write includes the
	// exposure that may be used until maxSaveAge after it; no permits are granted after that,
	// except in the stage Full. What routers report later goes to the director that takes over.
	saveInterval = 500 * time.Millisecond
	maxSaveAge   = 2 * saveInterval
)

// savedEvidence is evidence that is to be stored.
type savedEvidence struct {
	service  ids.Service
	evidence Evidence
}

// updateAllocations updates the allocations that are due, and returns the evidence that is to
// be stored.
func (d *Director) updateAllocations(epoch int64, now clock.Instant) []savedEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []savedEvidence
	for service, tracked := range d.rollouts {
		if !tracked.record.InProgress() || tracked.stage() == Waiting || tracked.epoch != epoch {
			continue
		}
		if now.Since(tracked.allocatedAt) >= d.options.Policy.ExchangeInterval {
			tracked.allocatedAt = now
			d.updateAllocation(tracked, now)
			d.noteShortTerm(tracked, now)
		}
		if now.Since(tracked.savedAt) >= saveInterval {
			due = append(due, savedEvidence{service: service, evidence: d.evidence(tracked, now)})
		}
	}
	return due
}

// save stores evidence. If that fails, it is due again at the next step, and permits, except for
// the stage Full, stop once the last stored evidence is older than maxSaveAge.
func (d *Director) save(ctx context.Context, save savedEvidence) {
	startedAt := d.options.Clock.Now()
	if _, err := d.options.Update(ctx, evidenceKey(save.service), save.evidence.update()); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if tracked := d.rollouts[save.service]; tracked.record.Order == save.evidence.Order && tracked.epoch == save.evidence.Epoch {
		tracked.savedAt = max(tracked.savedAt, startedAt)
	}
}

// evidence returns the evidence on a rollout, including the exposure that may be used until
// permits are granted no longer. The caller holds d.mu.
func (d *Director) evidence(t *trackedRollout, now clock.Instant) Evidence {
	rate := t.analysis.requestsPerS(now)
	ahead := float64(maxSaveAge)
	if t.stage() == Full {
		ahead = 0
	}
	loadedAhead := time.Duration(t.allocation.loadTestShare * ahead)
	return Evidence{
		Order: t.record.Order, Epoch: t.epoch, Stage: t.record.Stage, LastedMS: now.Since(t.enteredAt).Milliseconds(),
		UsedMS:       (t.usedExposure(rate) + time.Duration(t.allocation.share*ahead) + loadedAhead).Milliseconds(),
		LoadedUsedMS: (t.loadTestExposure(rate) + loadedAhead).Milliseconds(),
		RequestsPerS: t.analysis.maxRequestsPerS(t.allocatedExposure, now), LoadTried: t.loadTest.done, LoadShown: t.loadTest.passed,
		Canary: t.analysis.canary.evidence(now), Loaded: t.analysis.loadTest.evidence(now),
	}
}

// recover returns the evidence that a former director stored, if the step resumes a
// rollout, and the zero Evidence otherwise.
func (d *Director) recover(ctx context.Context, step Transition) (Evidence, error) {
	d.mu.Lock()
	tracked := d.rollouts[step.Service]
	resumes := tracked.isResumedBy(step)
	d.mu.Unlock()
	if !resumes {
		return Evidence{}, nil
	}
	value, err := d.options.Update(ctx, evidenceKey(step.Service), func([]byte) ([]byte, error) { return nil, nil })
	if err != nil {
		return Evidence{}, err
	}
	stored, err := decodeEvidence(value)
	if err != nil || stored.Order != step.Order {
		// Directors of earlier builds store no evidence.
		return Evidence{}, nil
	}
	return stored, nil
}

// isResumedBy reports whether a step continues the current stage under another epoch.
func (t *trackedRollout) isResumedBy(step Transition) bool {
	return step.To == InProgress && t.stage() == step.Stage && t.epoch != step.Epoch
}

// resume restores the evidence of a former director. Without any, all of the reserved exposure
// counts as used.
func (t *trackedRollout) resume(known Evidence, now clock.Instant) {
	t.analysis = newAnalysis()
	t.analysis.settleTime = resumedSettleTime
	t.allocatedExposure, t.accountedAt, t.allocation, t.loadTest = 0, 0, allocation{}, loadTestState{}
	t.analysis.beginStage(t.stage())
	if known.Order == 0 {
		t.inheritedExposure = time.Duration(t.record.ReservedMS) * time.Millisecond
		return
	}
	t.inheritedExposure = time.Duration(known.UsedMS) * time.Millisecond
	t.analysis.rate = known.RequestsPerS
	t.loadTest = loadTestState{done: known.LoadTried, passed: known.LoadShown, inheritedExposure: time.Duration(known.LoadedUsedMS) * time.Millisecond}
	t.analysis.loadTest = restoreJudge(newLoadTestJudge(), known.Loaded, t.stage(), now)
	if !known.LoadShown {
		// The load ended with the former director's permits, so the version has to sustain it
		// again.
		t.analysis.loadTest.resetAcceptance()
	}
	if Stage(known.Stage) != t.stage() {
		return
	}
	t.enteredAt = now.Add(-time.Duration(known.LastedMS) * time.Millisecond)
	t.analysis.canary = restoreJudge(NewJudge(), known.Canary, t.stage(), now)
}

// noteShortTerm notes that a rollout can't finish in its term, as soon as that is known.
func (d *Director) noteShortTerm(t *trackedRollout, now clock.Instant) {
	rate := t.analysis.requestsPerS(now)
	if t.note != "" || rate <= 0 || t.stage() != Canary {
		return
	}
	evidenceTime := time.Duration(0)
	if limit := float64(d.budget(t)) * canaryBudgetFraction / float64(t.plan.MinDuration); limit > 0 {
		period := max(minEvidenceTime, time.Duration(evidenceTimeFraction*float64(t.plan.MinDuration)))
		evidenceTime = time.Duration(d.evidenceShare(t, rate) / min(limit, maxCanaryShare) * float64(period))
	}
	minTime := t.enteredAt.Since(t.orderedAt) + max(t.plan.MinDuration, evidenceTime) + minFullTime + d.drainTime(t)
	if minTime <= t.term() {
		return
	}
	t.note = fmt.Sprintf("term too short: at least %.1f s at %.0f requests a second", minTime.Seconds(), rate)
	d.log(t, t.note)
}
