package rollout

import (
	"fmt"
	"math"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// A runner is brought to peakSlots times its slots, or to peakFactor times the load of an old
	// one if that is more. The version was tried under load at leastSlots times the slots and
	// leastFactor times the load: more than what is left after the loss of a region, in a burst. One
	// runner that gets maxLoadedShare of all requests was tried with all that there is.
	peakSlots   = 1.25
	peakFactor  = 3
	leastSlots  = 1
	leastFactor = 2.4
	// loadBudget is the part of the exposure that the runner under load may take at most.
	loadBudget = 0.65
	// resumedBudget is canaryBudget after a takeover.
	resumedBudget = 1.1
	// maxLocalShare bounds what each runner under load gets of its region's requests, where the
	// other regions send it none; maxLoadedShare is that of all requests.
	maxLocalShare  = 0.35
	maxLoadedShare = 0.9
	// loadHold is for how long the load stays once it is reached; loadAttemptsPart is the part
	// of the attempts of that time that are to be timed, minLoadAttempts how many at least.
	loadHold         = 300 * time.Millisecond
	loadAttemptsPart = 0.7
	minLoadAttempts  = 16
	// longestLoad is for how long the load may stay until reports have come, in parts of the
	// time planned.
	longestLoad = 1.75
)

// MaxBaselineShare is up to which part of a router's requests the old runner of the pair under
// load gets as many as the new one.
const MaxBaselineShare = 0.4

// loadTrial is how far the pair of runners under load has come.
type loadTrial struct {
	// tried says that the runner got what it may; shown that this was as much as a runner may
	// get, and that the version bore it.
	tried, shown bool
	// begun says that the runner gets its requests, or has had them.
	begun bool
	// overdue says that the version is tried again after the term, when exposure is not limited.
	overdue bool
	// paced is the exposure that the pace has planned for the runner so far, usedBefore what
	// former directors caused, as in trial.
	paced, usedBefore time.Duration
}

// setLoad sets what the pair of runners under load gets, until the version was tried for long
// enough, and returns the exposure that is set aside for it.
func (d *Director) setLoad(t *trial, next *pace, rate, budget float64, now clock.Instant) float64 {
	t.retryLoadAfterTerm(now)
	used := float64(t.loadedUsed(rate))
	plan := d.planLoad(t, rate, budget)
	_, warm := t.analysis.canary.TimedSince()
	if t.load.tried || plan.share <= 0 || !warm {
		return max(used, plan.exposure)
	}
	if !t.load.begun && float64(t.used(rate))+plan.exposure > budget/usableExposure {
		// Former directors have left too little.
		t.load.tried = true
		return used
	}
	t.load.begun = true
	borne := t.hasBorne(plan, rate, now)
	if borne || t.isLoadSpent(plan, rate, budget, now) {
		t.load.tried = true
		t.load.shown = plan.isEnough && borne
		d.log(t, fmt.Sprintf("tried under load: %t, %d attempts at %.1f a second timed", t.load.shown, t.analysis.loaded.timedTotal(), plan.share*rate))
		return used
	}
	next.loadedShare = plan.share
	if local := plan.share * plan.regions; local <= maxLocalShare {
		next.loadedLocal = local
	} else {
		next.loadedLocal, next.loadedRemote = plan.share, plan.share
	}
	return max(used, plan.exposure)
}

// retryLoadAfterTerm has a version that could not be brought under load in its term be tried
// again after it.
func (t *trial) retryLoadAfterTerm(now clock.Instant) {
	if !t.isPastTerm(now) || t.load.overdue || t.load.shown {
		return
	}
	t.load.overdue, t.load.tried, t.load.begun = true, false, false
	t.analysis.loaded.forgetAcceptance()
}

// isLoadSpent reports whether the runner under load has had what it may get.
func (t *trial) isLoadSpent(plan loadPlan, rate, budget float64, now clock.Instant) bool {
	if t.isPastTerm(now) {
		return false
	}
	used := float64(t.loadedUsed(rate))
	overBudget := used >= loadBudget*budget && float64(t.used(rate)) >= t.mostUsed()*budget
	return used >= longestLoad*plan.exposure || overBudget || now.Since(t.enteredAt) >= t.shape.Longest
}

// mostUsed returns the part of the exposure up to which a runner is kept under load. What a
// former director had written as used ahead was used in part.
func (t *trial) mostUsed() float64 {
	if t.usedBefore > 0 {
		return resumedBudget
	}
	return canaryBudget
}

// loadPlan is how a runner is brought under load.
type loadPlan struct {
	// share is what it gets, in parts of all requests, hold for how long its attempts are timed
	// at least, exposure how long the whole traffic would have to go to it for as many.
	share    float64
	hold     time.Duration
	exposure float64
	regions  float64
	// isEnough says that the version is tried under load then.
	isEnough bool
}

// planLoad plans how a runner is brought under load. The share is 0 where there is none to
// spare, and while too little is known.
func (d *Director) planLoad(t *trial, rate, budget float64) loadPlan {
	runners := d.options.Runners(t.service)
	pair, ok := SelectLoadTestPair(runners, t.record.Target, t.record.Order)
	whole := t.analysis.canary.meanOldWhole()
	if !ok || rate <= 0 || whole <= 0 {
		return loadPlan{}
	}
	regions, old := map[ids.Region]bool{}, 0
	for _, runner := range runners {
		regions[runner.Region] = true
		if runner.Version != t.record.Target {
			old++
		}
	}
	usual := rate * whole.Seconds() / float64(max(1, old))
	underLoad := max(whole, t.analysis.loaded.meanOldWhole())
	ramp := 2*d.options.Policy.ExchangeInterval + underLoad
	plan := loadPlan{hold: loadHold + underLoad, regions: float64(len(regions))}
	lasts := float64(ramp + plan.hold)
	// What few attempts under load took says too little to plan with fewer requests.
	slots, all := float64(pair.Target.Slots), whole.Seconds()*rate
	plan.share = min(max(peakFactor*usual, peakSlots*slots)/all, maxLoadedShare, loadBudget*budget/lasts)
	plan.exposure = plan.share * lasts
	plan.isEnough = plan.share >= maxLoadedShare || plan.share*all >= max(leastFactor*usual, leastSlots*slots)
	return plan
}

// hasBorne reports whether the version has borne the planned load for long enough.
func (t *trial) hasBorne(plan loadPlan, rate float64, now clock.Instant) bool {
	loaded := t.analysis.loaded
	since, ok := loaded.TimedSince()
	if !ok || loaded.IsSuspect() || now.Since(since) < plan.hold {
		return false
	}
	attempts := loadAttemptsPart * plan.share * rate * plan.hold.Seconds()
	least := float64(minLoadAttempts)
	if plan.share >= maxLoadedShare {
		// Nearly all requests are no more than a few at a time: fewer of them meet the load.
		least *= 2
	}
	return float64(loaded.timedTotal()) >= max(attempts, least)
}

// pacedBudget returns the exposure that a rollout may cause until its term, without bound once
// that is over.
func (d *Director) pacedBudget(t *trial, now clock.Instant) float64 {
	if t.isPastTerm(now) {
		return math.Inf(1)
	}
	return float64(d.budget(t))
}
