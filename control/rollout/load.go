package rollout

import (
	"fmt"
	"math"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// A runner is brought to targetSlotsFactor times its slots, or to peakFactor times the load of an old
	// one if that is more. The version was tried under load at leastSlots times the slots and
	// leastFactor times the load: more than what is left after the loss of a region, in a burst. One
	// runner that gets maxLoadedShare of all requests was tried with all that there is.
	targetSlotsFactor = 1.25
	targetLoadFactor  = 3
	minSlotsFactor    = 1
	minLoadFactor     = 2.4
	// loadTestBudgetFraction is the part of the exposure that the runner under load may take at most.
	loadTestBudgetFraction = 0.65
	// resumedBudgetFraction is canaryBudget after a takeover.
	resumedBudgetFraction = 1.1
	// maxLoadTestLocalShare bounds what each runner under load gets of its region's requests, where the
	// other regions send it none; maxLoadedShare is that of all requests.
	maxLoadTestLocalShare = 0.35
	maxLoadTestShare      = 0.9
	// loadTestHold is for how long the load stays once it is reached; loadAttemptsPart is the part
	// of the attempts of that time that are to be timed, minLoadAttempts how many at least.
	loadTestHold          = 300 * time.Millisecond
	loadTestTimedFraction = 0.7
	minLoadTestAttempts   = 16
	// maxLoadTestOverrun is for how long the load may stay until reports have come, in parts of the
	// time planned.
	maxLoadTestOverrun = 1.75
)

// MaxBaselineShare is up to which part of a router's requests the old runner of the pair under
// load gets as many as the new one.
const MaxBaselineShare = 0.4

// loadTestState is how far the pair of runners under load has come.
type loadTestState struct {
	// done says that the runner got what it may; passed that this was as much as a runner may
	// get, and that the version bore it.
	done, passed bool
	// started says that the runner gets its requests, or has had them.
	started bool
	// retried says that the version is tried again after the term, when exposure is not limited.
	retried bool
	// allocatedExposure is the exposure that the pace has planned for the runner so far, inheritedExposure what
	// former directors caused, as in trial.
	allocatedExposure, inheritedExposure time.Duration
}

// allocateLoadTest sets what the pair of runners under load gets, until the version was tried for long
// enough, and returns the exposure that is set aside for it.
func (d *Director) allocateLoadTest(t *trackedRollout, next *allocation, rate, budget float64, now clock.Instant) float64 {
	t.retryLoadTestAfterTerm(now)
	used := float64(t.loadTestExposure(rate))
	plan := d.planLoadTest(t, rate, budget)
	_, warm := t.analysis.canary.TimedSince()
	if t.loadTest.done || plan.share <= 0 || !warm {
		return max(used, plan.exposure)
	}
	if !t.loadTest.started && float64(t.usedExposure(rate))+plan.exposure > budget/usableExposure {
		// Former directors have left too little.
		t.loadTest.done = true
		return used
	}
	t.loadTest.started = true
	sustained := t.sustainedLoad(plan, rate, now)
	if sustained || t.isLoadTestExhausted(plan, rate, budget, now) {
		t.loadTest.done = true
		t.loadTest.passed = plan.isSufficient && sustained
		d.log(t, fmt.Sprintf("tried under load: %t, %d attempts at %.1f a second timed", t.loadTest.passed, t.analysis.loadTest.timedTotal(), plan.share*rate))
		return used
	}
	next.loadTestShare = plan.share
	if local := plan.share * plan.regions; local <= maxLoadTestLocalShare {
		next.loadTestLocal = local
	} else {
		next.loadTestLocal, next.loadTestRemote = plan.share, plan.share
	}
	return max(used, plan.exposure)
}

// retryLoadTestAfterTerm has a version that could not be brought under load in its term be tried
// again after it.
func (t *trackedRollout) retryLoadTestAfterTerm(now clock.Instant) {
	if !t.isPastTerm(now) || t.loadTest.retried || t.loadTest.passed {
		return
	}
	t.loadTest.retried, t.loadTest.done, t.loadTest.started = true, false, false
	t.analysis.loadTest.resetAcceptance()
}

// isLoadTestExhausted reports whether the runner under load has had what it may get.
func (t *trackedRollout) isLoadTestExhausted(plan loadTestPlan, rate, budget float64, now clock.Instant) bool {
	if t.isPastTerm(now) {
		return false
	}
	used := float64(t.loadTestExposure(rate))
	overBudget := used >= loadTestBudgetFraction*budget && float64(t.usedExposure(rate)) >= t.loadTestUsageLimit()*budget
	return used >= maxLoadTestOverrun*plan.exposure || overBudget || now.Since(t.enteredAt) >= t.plan.MaxDuration
}

// loadTestUsageLimit returns the part of the exposure up to which a runner is kept under load. What a
// former director had written as used ahead was used in part.
func (t *trackedRollout) loadTestUsageLimit() float64 {
	if t.inheritedExposure > 0 {
		return resumedBudgetFraction
	}
	return canaryBudgetFraction
}

// loadTestPlan is how a runner is brought under load.
type loadTestPlan struct {
	// share is what it gets, in parts of all requests, hold for how long its attempts are timed
	// at least, exposure how long the whole traffic would have to go to it for as many.
	share    float64
	hold     time.Duration
	exposure float64
	regions  float64
	// isSufficient says that the version is tried under load then.
	isSufficient bool
}

// planLoadTest plans how a runner is brought under load. The share is 0 where there is none to
// spare, and while too little is known.
func (d *Director) planLoadTest(t *trackedRollout, rate, budget float64) loadTestPlan {
	runners := d.options.Runners(t.service)
	pair, ok := SelectLoadTestPair(runners, t.record.Target, t.record.Order)
	duration := t.analysis.canary.meanOldDuration()
	if !ok || rate <= 0 || duration <= 0 {
		return loadTestPlan{}
	}
	regions, old := map[ids.Region]bool{}, 0
	for _, runner := range runners {
		regions[runner.Region] = true
		if runner.Version != t.record.Target {
			old++
		}
	}
	usualLoad := rate * duration.Seconds() / float64(max(1, old))
	loadedDuration := max(duration, t.analysis.loadTest.meanOldDuration())
	ramp := 2*d.options.Policy.ExchangeInterval + loadedDuration
	plan := loadTestPlan{hold: loadTestHold + loadedDuration, regions: float64(len(regions))}
	testDuration := float64(ramp + plan.hold)
	// What few attempts under load took says too little to plan with fewer requests.
	slots, totalLoad := float64(pair.Target.Slots), duration.Seconds()*rate
	plan.share = min(max(targetLoadFactor*usualLoad, targetSlotsFactor*slots)/totalLoad, maxLoadTestShare, loadTestBudgetFraction*budget/testDuration)
	plan.exposure = plan.share * testDuration
	plan.isSufficient = plan.share >= maxLoadTestShare || plan.share*totalLoad >= max(minLoadFactor*usualLoad, minSlotsFactor*slots)
	return plan
}

// sustainedLoad reports whether the version has borne the planned load for long enough.
func (t *trackedRollout) sustainedLoad(plan loadTestPlan, rate float64, now clock.Instant) bool {
	loadTest := t.analysis.loadTest
	since, ok := loadTest.TimedSince()
	if !ok || loadTest.IsSuspect() || now.Since(since) < plan.hold {
		return false
	}
	attempts := loadTestTimedFraction * plan.share * rate * plan.hold.Seconds()
	minAttempts := float64(minLoadTestAttempts)
	if plan.share >= maxLoadTestShare {
		// Nearly all requests are no more than a few at a time: fewer of them meet the load.
		minAttempts *= 2
	}
	return float64(loadTest.timedTotal()) >= max(attempts, minAttempts)
}

// budgetUntilTerm returns the exposure that a rollout may cause until its term, without bound once
// that is over.
func (d *Director) budgetUntilTerm(t *trackedRollout, now clock.Instant) float64 {
	if t.isPastTerm(now) {
		return math.Inf(1)
	}
	return float64(d.budget(t))
}
