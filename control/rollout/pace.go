package rollout

import (
	"math"
	"time"

	"onyxwell/base/clock"
)

// allocation is how much of the traffic goes to the target version at present.
type allocation struct {
	// runnerFraction and loadFactor are as in stageShape; share is what comes of them, in parts of all requests.
	runnerFraction, loadFactor, share float64
	// loadTestLocal and loadTestRemote are the parts of a router's requests that go to each runner
	// of the pair under load, from its region and from the others; loadTestShare is what comes
	// of them for each runner, in parts of all requests.
	loadTestLocal, loadTestRemote, loadTestShare float64
}

const (
	// maxCanaryShare bounds the canary, in parts of all requests; overdueShare bounds it once
	// the term is over and exposure is not limited any more.
	maxCanaryShare = 0.5
	overdueShare   = 0.4
	// evenFraction is the part of what is left that is spread evenly; the rest is for routes that
	// lack evidence.
	evenFraction = 0.75
	// minAllocationPeriod is the least time over which what is left of the exposure is spread.
	minAllocationPeriod = time.Second
	// wantedAttempts is how many attempts at the target version a route is to have, those on
	// their way to the director included, wantedTimed how many of the canary's alone that were
	// timed; evidenceTime is the part of the stage's least time in
	// which they are to be made.
	wantedAttempts       = 14
	wantedTimed          = 6
	evidenceTimeFraction = 0.5
	minEvidenceTime      = 600 * time.Millisecond
	// maxOversampling bounds by how much routers prefer rare routes; evenCanaryPart is the part of
	// the runners from which on all routes get as many attempts.
	maxOversampling    = 4
	evenCanaryFraction = 0.2

	// canaryBudgetFraction is the part of the exposure that the canary and the runner under load may take
	// together.
	canaryBudgetFraction = 0.9
)

// OversamplingFactor returns by how much more of a route's requests go to the canary than of all
// requests, for a route with a part of them among so many routes: rare routes are to be in
// the sample, too. Over all routes it makes no more. Where the canary has a large part of the
// runners, requests are few, and each route gets as many attempts.
func OversamplingFactor(requestShare float64, routes int, canaryFraction float64) float64 {
	if requestShare <= 0 || routes == 0 {
		return 1
	}
	factor := 1 / (requestShare * float64(routes))
	if canaryFraction < evenCanaryFraction {
		factor = math.Sqrt(factor)
	}
	return min(maxOversampling, factor)
}

// updateAllocation divides the traffic anew: what the stage may still expose is spread over the time
// that it still has. The caller holds d.mu.
func (d *Director) updateAllocation(t *trackedRollout, now clock.Instant) {
	t.accountExposure(now)
	if t.stage() != Canary {
		t.allocation = allocation{runnerFraction: t.plan.RunnerFraction, loadFactor: t.plan.LoadFactor, share: d.meanShare(t, t.plan.RunnerFraction, t.plan.LoadFactor)}
		return
	}
	rate := t.analysis.requestsPerS(now)
	budget := d.budgetUntilTerm(t, now)
	next := allocation{runnerFraction: max(t.allocation.runnerFraction, minCanaryFraction)}
	loaded := d.allocateLoadTest(t, &next, rate, budget, now)
	left := max(0, canaryBudgetFraction*budget-loaded-float64(t.usedExposure(rate)-t.loadTestExposure(rate)))
	share := max(evenFraction*left/float64(t.allocationPeriod(now)), min(d.evidenceShare(t, rate), left/float64(minAllocationPeriod)))
	limit := maxCanaryShare
	if t.isPastTerm(now) {
		share, limit = overdueShare, overdueShare
	}
	d.allocateCanary(t, &next, max(0, min(share, limit, 1-2*next.loadTestShare)))
	t.allocation = next
}

// accountExposure adds what the present pace has exposed since it was accounted for last.
func (t *trackedRollout) accountExposure(now clock.Instant) {
	if t.accountedAt > 0 {
		elapsed := float64(now.Since(t.accountedAt))
		t.allocatedExposure += time.Duration((t.allocation.share + t.allocation.loadTestShare) * elapsed)
		t.loadTest.allocatedExposure += time.Duration(t.allocation.loadTestShare * elapsed)
	}
	t.accountedAt = now
}

// allocateCanary sets the canary's runners and their load for a share of all requests.
func (d *Director) allocateCanary(t *trackedRollout, next *allocation, share float64) {
	next.runnerFraction = min(max(next.runnerFraction, share/canaryLoad), maxCanaryFraction)
	fullShare := d.meanShare(t, next.runnerFraction, 1)
	if fullShare <= 0 {
		return
	}
	next.loadFactor = min(share/fullShare, 2*canaryLoad)
	next.share = next.loadFactor * fullShare
}

// allocationPeriod returns the time over which the canary's exposure is spread.
func (t *trackedRollout) allocationPeriod(now clock.Instant) time.Duration {
	if elapsed := now.Since(t.enteredAt); elapsed < t.plan.MinDuration {
		return max(minAllocationPeriod, t.plan.MinDuration-elapsed)
	}
	return max(minAllocationPeriod, (t.term()-now.Since(t.orderedAt))/2)
}

// evidenceShare returns the share of all requests that brings the attempts that the rarest
// route which matters still lacks.
func (d *Director) evidenceShare(t *trackedRollout, rate float64) float64 {
	canary := t.analysis.canary
	total := int64(0)
	for _, evidence := range canary.routes {
		total += evidence.oldEnded
	}
	wanted := 0.0
	for name, evidence := range canary.routes {
		share := ratio(evidence.oldEnded, total)
		attempts := evidence.ended + t.analysis.loadTest.routeOrEmpty(name).ended
		lacking := max(wantedAttempts-attempts, wantedTimed-evidence.timed)
		if share < minRouteShare || lacking <= 0 {
			continue
		}
		wanted = max(wanted, float64(lacking)/(share*OversamplingFactor(share, len(canary.routes), t.allocation.runnerFraction)))
	}
	inTime := max(minEvidenceTime, time.Duration(evidenceTimeFraction*float64(t.plan.MinDuration)))
	if rate <= 0 {
		return 0
	}
	return wanted / (rate * inTime.Seconds())
}

// usedExposure returns for how long the whole traffic would have had to go to the target version for
// what it got so far, or may have got; rate is that of all requests a second.
func (t *trackedRollout) usedExposure(rate float64) time.Duration {
	return t.inheritedExposure + max(t.allocatedExposure, timeForRequests(t.analysis.exposed, rate))
}

// loadTestExposure returns the part of used that the runner under load got.
func (t *trackedRollout) loadTestExposure(rate float64) time.Duration {
	return t.loadTest.inheritedExposure + max(t.loadTest.allocatedExposure, timeForRequests(t.analysis.loadTestExposed, rate))
}

// timeForRequests returns the time in which so many requests come, 0 where the rate is not known.
func timeForRequests(requests int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / rate * float64(time.Second))
}
