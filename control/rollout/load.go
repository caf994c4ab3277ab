package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// The load test aims at targetSlotsFactor times the runner's slots, or at targetLoadFactor
	// times the load of an old runner if that is more. It is sufficient at minSlotsFactor times
	// the slots and minLoadFactor times the load, which is more than a runner gets in a burst
	// after the loss of a region. A runner that gets maxLoadTestShare of all requests was tested
	// with all the load there is.
	targetSlotsFactor = 1.25
	targetLoadFactor  = 3
	minSlotsFactor    = 1
	minLoadFactor     = 2.4
	// loadTestBudgetFraction is the fraction of the exposure budget that the runner under load
	// may use.
	loadTestBudgetFraction = 0.65
	// resumedBudgetFraction replaces canaryBudgetFraction in loadTestUsageLimit after a takeover.
	resumedBudgetFraction = 1.1
	// maxLoadTestLocalShare bounds the share of its region's requests that each runner under
	// load gets if the other regions send it none; maxLoadTestShare bounds its share of all
	// requests.
	maxLoadTestLocalShare = 0.35
	maxLoadTestShare      = 0.9
	// loadTestHold is how long the load is kept once it is reached. loadTestTimedFraction is the
	// fraction of the attempts in that time that must have been timed, minLoadTestAttempts the
	// least number of them.
	loadTestHold          = 300 * time.Millisecond
	loadTestTimedFraction = 0.7
	minLoadTestAttempts   = 16
	// maxLoadTestOverrun is how many times the planned exposure the load test may use while the
	// reports are still to come.
	maxLoadTestOverrun = 1.75
)

// MaxBaselineShare is the largest share of a router's requests at which the old runner of the
// load test pair gets as many requests as the new one. Above it, the old runner has no part in
// the test.
const MaxBaselineShare = 0.4

// loadTestState is the progress of the load test.
type loadTestState struct {
	// done is set once the test has ended, or was not affordable; passed if the load was
	// sufficient and the version sustained it.
	done, passed bool
	// started is set once load has been allocated to the runner.
	started bool
	// retried is set once the test was allowed again after the term, when exposure is not
	// limited.
	retried bool
	// allocatedExposure is the exposure allocated to the runner so far, inheritedExposure the
	// exposure caused under former directors, as in trackedRollout.
	allocatedExposure, inheritedExposure time.Duration
}

// allocateLoadTest allocates the load test's share of the traffic until the test has ended. It
// returns the exposure set aside for the test.
func (d *Director) allocateLoadTest(t *trackedRollout, next *allocation, rate, budget float64, now clock.Instant) float64 {
	t.retryLoadTestAfterTerm(now)
	used := float64(t.loadTestExposure(rate))
	plan := d.planLoadTest(t, rate, budget)
	_, warm := t.analysis.canary.TimedSince()
	if t.loadTest.done || plan.share <= 0 || !warm {
		return max(used, plan.exposure)
	}
	if !t.loadTest.started && float64(t.usedExposure(rate))+plan.exposure > budget/usableExposure {
		// Former directors have left too little exposure.
		t.loadTest.done = true
		return used
	}
	t.loadTest.started = true
	sustained := t.sustainedLoad(plan, rate, now)
	if sustained || t.isLoadTestExhausted(plan, rate, budget, now) {
		t.loadTest.done = true
		t.loadTest.passed = plan.isSufficient && sustained
		d.log(t, fmt.Sprintf("load test: passed %t, %d attempts timed at %.1f requests a second", t.loadTest.passed, t.analysis.loadTest.timedTotal(), plan.share*rate))
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

// retryLoadTestAfterTerm allows another load test after the term for a version that did not
// pass one within it.
func (t *trackedRollout) retryLoadTestAfterTerm(now clock.Instant) {
	if !t.isPastTerm(now) || t.loadTest.retried || t.loadTest.passed {
		return
	}
	t.loadTest.retried, t.loadTest.done, t.loadTest.started = true, false, false
	t.analysis.loadTest.resetAcceptance()
}

// isLoadTestExhausted reports whether the load test has used up its exposure or time. After
// the term it has no limit.
func (t *trackedRollout) isLoadTestExhausted(plan loadTestPlan, rate, budget float64, now clock.Instant) bool {
	if t.isPastTerm(now) {
		return false
	}
	used := float64(t.loadTestExposure(rate))
	overBudget := used >= loadTestBudgetFraction*budget && float64(t.usedExposure(rate)) >= t.loadTestUsageLimit()*budget
	return used >= maxLoadTestOverrun*plan.exposure || overBudget || now.Since(t.enteredAt) >= t.plan.MaxDuration
}

// loadTestUsageLimit returns the fraction of the budget that may be used before the load test
// stops. It is larger after a takeover, because the stored exposure includes exposure reserved
// ahead, of which only a part was used.
func (t *trackedRollout) loadTestUsageLimit() float64 {
	if t.inheritedExposure > 0 {
		return resumedBudgetFraction
	}
	return canaryBudgetFraction
}

// loadTestPlan is how a runner is brought under load.
type loadTestPlan struct {
	// share is the runner's share of all requests, hold how long its attempts are timed at
	// least, exposure the exposure caused, in nanoseconds, and regions the number of regions
	// that have runners.
	share    float64
	hold     time.Duration
	exposure float64
	regions  float64
	// isSufficient is set if the planned load is enough to pass the test.
	isSufficient bool
}

// planLoadTest plans how a runner is brought under load. The share is 0 if no runner can be
// spared, and while too little is known.
func (d *Director) planLoadTest(t *trackedRollout, rate, budget float64) loadTestPlan {
	groups := d.groups(t)
	pair, ok := SelectLoadTestPair(groups, t.record.Order)
	duration := t.analysis.canary.meanOldDuration()
	if !ok || rate <= 0 || duration <= 0 {
		return loadTestPlan{}
	}
	regions := map[ids.Region]bool{}
	for _, runner := range slices.Concat(groups.Old, groups.Target) {
		regions[runner.Region] = true
	}
	usualLoad := rate * duration.Seconds() / float64(max(1, len(groups.Old)))
	loadedDuration := max(duration, t.analysis.loadTest.meanOldDuration())
	ramp := 2*d.options.Policy.ExchangeInterval + loadedDuration
	plan := loadTestPlan{hold: loadTestHold + loadedDuration, regions: float64(len(regions))}
	testDuration := float64(ramp + plan.hold)
	// The durations of the few attempts under load are too uncertain to plan fewer requests from.
	slots, totalLoad := float64(pair.Target.Slots), duration.Seconds()*rate
	plan.share = min(max(targetLoadFactor*usualLoad, targetSlotsFactor*slots)/totalLoad, maxLoadTestShare, loadTestBudgetFraction*budget/testDuration)
	plan.exposure = plan.share * testDuration
	plan.isSufficient = plan.share >= maxLoadTestShare || plan.share*totalLoad >= max(minLoadFactor*usualLoad, minSlotsFactor*slots)
	return plan
}

// sustainedLoad reports whether the version has sustained the planned load for long enough.
func (t *trackedRollout) sustainedLoad(plan loadTestPlan, rate float64, now clock.Instant) bool {
	loadTest := t.analysis.loadTest
	since, ok := loadTest.TimedSince()
	if !ok || loadTest.IsSuspect() || now.Since(since) < plan.hold {
		return false
	}
	attempts := loadTestTimedFraction * plan.share * rate * plan.hold.Seconds()
	minAttempts := float64(minLoadTestAttempts)
	if plan.share >= maxLoadTestShare {
		// If the runner gets nearly all requests, only a few run at a time, and fewer of them
		// run under the full load.
		minAttempts *= 2
	}
	return float64(loadTest.timedTotal()) >= max(attempts, minAttempts)
}

// budgetUntilTerm returns the exposure that a rollout may cause until its term, infinity once
// the term is over.
func (d *Director) budgetUntilTerm(t *trackedRollout, now clock.Instant) float64 {
	if t.isPastTerm(now) {
		return math.Inf(1)
	}
	return float64(d.budget(t))
}
