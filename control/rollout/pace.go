package rollout

import (
	"math"
	"time"

	"onyxwell/base/clock"
)

// allocation is how much of the traffic currently goes to the target version.
type allocation struct {
	// runnerFraction and loadFactor are as in stagePlan; share is the resulting share of all
	// requests.
	runnerFraction, loadFactor, share float64
	// loadTestLocal and loadTestRemote are the shares of a router's requests that go to each
	// runner of the load test pair, from its own region and from the others; loadTestShare is
	// the resulting share of all requests for each runner.
	loadTestLocal, loadTestRemote, loadTestShare float64
}

const (
	// maxCanaryShare bounds the canary's share of all requests; overdueShare bounds it once the
	// term is over and exposure is no longer limited.
	maxCanaryShare = 0.5
	overdueShare   = 0.4
	// evenFraction is the fraction of the remaining exposure that is spread evenly over time;
	// the rest is for routes that need more evidence.
	evenFraction = 0.75
	// minAllocationPeriod is the shortest time over which the remaining exposure is spread.
	minAllocationPeriod = time.Second
	// wantedAttempts is how many attempts at the target version a route should have, including
	// those not reported to the director yet; wantedTimed is how many timed attempts of the
	// canary alone. They should be made within evidenceTimeFraction of the stage's minimum
	// duration, but within no less than minEvidenceTime.
	wantedAttempts       = 14
	wantedTimed          = 6
	evidenceTimeFraction = 0.5
	minEvidenceTime      = 600 * time.Millisecond
	// maxOversampling bounds the OversamplingFactor of rare routes. From evenCanaryFraction of
	// the runners on, all routes get equally many attempts.
	maxOversampling    = 4
	evenCanaryFraction = 0.2

	// canaryBudgetFraction is the fraction of the exposure budget that the canary and the runner
	// under load may use together.
	canaryBudgetFraction = 0.9
)

// OversamplingFactor returns the ratio of a route's chance to be sent to the canary to that of
// an average request, so that rare routes are sampled too. requestShare is the route's share
// of all requests, routes the number of routes. The factors don't increase the canary's total.
// If the canary has a large fraction of the runners, there are few requests, and all routes
// get equally many attempts.
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

// updateAllocation recomputes the allocation: the exposure left to the stage is spread over the
// time left to it. The caller holds d.mu.
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

// accountExposure adds the exposure allocated since the last call.
func (t *trackedRollout) accountExposure(now clock.Instant) {
	if t.accountedAt > 0 {
		elapsed := float64(now.Since(t.accountedAt))
		t.allocatedExposure += time.Duration((t.allocation.share + t.allocation.loadTestShare) * elapsed)
		t.loadTest.allocatedExposure += time.Duration(t.allocation.loadTestShare * elapsed)
	}
	t.accountedAt = now
}

// allocateCanary sets the canary's fraction of the runners and their load for a share of all
// requests.
func (d *Director) allocateCanary(t *trackedRollout, next *allocation, share float64) {
	next.runnerFraction = min(max(next.runnerFraction, share/canaryLoad), maxCanaryFraction)
	fullShare := d.meanShare(t, next.runnerFraction, 1)
	if fullShare <= 0 {
		return
	}
	next.loadFactor = min(share/fullShare, 2*canaryLoad)
	next.share = next.loadFactor * fullShare
}

// allocationPeriod returns the time over which the canary's remaining exposure is spread.
func (t *trackedRollout) allocationPeriod(now clock.Instant) time.Duration {
	if elapsed := now.Since(t.enteredAt); elapsed < t.plan.MinDuration {
		return max(minAllocationPeriod, t.plan.MinDuration-elapsed)
	}
	return max(minAllocationPeriod, (t.term()-now.Since(t.orderedAt))/2)
}

// evidenceShare returns the share of all requests that yields, in time, the attempts that each
// relevant route still needs.
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
	period := max(minEvidenceTime, time.Duration(evidenceTimeFraction*float64(t.plan.MinDuration)))
	if rate <= 0 {
		return 0
	}
	return wanted / (rate * period.Seconds())
}

// usedExposure returns the exposure so far, as the time for which all traffic would have had to
// go to the target version: the larger of what was allocated and what was reported. rate is
// that of all requests per second.
func (t *trackedRollout) usedExposure(rate float64) time.Duration {
	return t.inheritedExposure + max(t.allocatedExposure, timeForRequests(t.analysis.exposed, rate))
}

// loadTestExposure returns the part of usedExposure caused by the runner under load.
func (t *trackedRollout) loadTestExposure(rate float64) time.Duration {
	return t.loadTest.inheritedExposure + max(t.loadTest.allocatedExposure, timeForRequests(t.analysis.loadTestExposed, rate))
}

// timeForRequests returns the time in which a number of requests arrive, 0 if the rate is
// unknown.
func timeForRequests(requests int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / rate * float64(time.Second))
}
