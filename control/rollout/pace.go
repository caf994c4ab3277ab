package rollout

import (
	"math"
	"time"

	"onyxwell/base/clock"
)

// pace is how much of the traffic goes to the target version at present.
type pace struct {
	// part and load are as in stageShape; share is what comes of them, in parts of all requests.
	part, load, share float64
	// loadedLocal and loadedRemote are the parts of a router's requests that go to each runner
	// of the pair under load, from its region and from the others; loadedShare is what comes
	// of them for each runner, in parts of all requests.
	loadedLocal, loadedRemote, loadedShare float64
}

const (
	// maxCanaryShare bounds the canary, in parts of all requests; overdueShare bounds it once
	// the term is over and exposure is not limited any more.
	maxCanaryShare = 0.5
	overdueShare   = 0.4
	// evenPart is the part of what is left that is spread evenly; the rest is for routes that
	// lack evidence.
	evenPart = 0.75
	// minPaceTime is the least time over which what is left of the exposure is spread.
	minPaceTime = time.Second
	// wantedAttempts is how many attempts at the target version a route is to have, those on
	// their way to the director included, wantedTimed how many of the canary's alone that were
	// timed; evidenceTime is the part of the stage's least time in
	// which they are to be made.
	wantedAttempts  = 14
	wantedTimed     = 6
	evidenceTime    = 0.5
	minEvidenceTime = 600 * time.Millisecond
	// maxEmphasis bounds by how much routers prefer rare routes; evenCanaryPart is the part of
	// the runners from which on all routes get as many attempts.
	maxEmphasis    = 4
	evenCanaryPart = 0.2

	// canaryBudget is the part of the exposure that the canary and the runner under load may take
	// together.
	canaryBudget = 0.9
)

// OversamplingFactor returns by how much more of a route's requests go to the canary than of all
// requests, for a route with a part of them among so many routes: rare routes are to be in
// the sample, too. Over all routes it makes no more. Where the canary has a large part of the
// runners, requests are few, and each route gets as many attempts.
func OversamplingFactor(part float64, routes int, canaryPart float64) float64 {
	if part <= 0 || routes == 0 {
		return 1
	}
	even := 1 / (part * float64(routes))
	if canaryPart < evenCanaryPart {
		even = math.Sqrt(even)
	}
	return min(maxEmphasis, even)
}

// setPace divides the traffic anew: what the stage may still expose is spread over the time
// that it still has. The caller holds d.mu.
func (d *Director) setPace(t *trial, now clock.Instant) {
	t.account(now)
	if t.stage() != Canary {
		t.pace = pace{part: t.shape.Part, load: t.shape.Load, share: d.meanShare(t, t.shape.Part, t.shape.Load)}
		return
	}
	rate := t.analysis.requestsPerS(now)
	budget := d.pacedBudget(t, now)
	next := pace{part: max(t.pace.part, minCanaryPart)}
	loaded := d.setLoad(t, &next, rate, budget, now)
	left := max(0, canaryBudget*budget-loaded-float64(t.used(rate)-t.loadedUsed(rate)))
	share := max(evenPart*left/float64(t.paceTime(now)), min(d.evidenceShare(t, rate), left/float64(minPaceTime)))
	limit := maxCanaryShare
	if t.isPastTerm(now) {
		share, limit = overdueShare, overdueShare
	}
	d.divide(t, &next, max(0, min(share, limit, 1-2*next.loadedShare)))
	t.pace = next
}

// account adds what the present pace has exposed since it was accounted for last.
func (t *trial) account(now clock.Instant) {
	if t.accountedAt > 0 {
		elapsed := float64(now.Since(t.accountedAt))
		t.paced += time.Duration((t.pace.share + t.pace.loadedShare) * elapsed)
		t.load.paced += time.Duration(t.pace.loadedShare * elapsed)
	}
	t.accountedAt = now
}

// divide sets the canary's runners and their load for a share of all requests.
func (d *Director) divide(t *trial, next *pace, share float64) {
	next.part = min(max(next.part, share/canaryLoad), maxCanaryPart)
	whole := d.meanShare(t, next.part, 1)
	if whole <= 0 {
		return
	}
	next.load = min(share/whole, 2*canaryLoad)
	next.share = next.load * whole
}

// paceTime returns the time over which the canary's exposure is spread.
func (t *trial) paceTime(now clock.Instant) time.Duration {
	if lasted := now.Since(t.enteredAt); lasted < t.shape.Least {
		return max(minPaceTime, t.shape.Least-lasted)
	}
	return max(minPaceTime, (t.term()-now.Since(t.orderedAt))/2)
}

// evidenceShare returns the share of all requests that brings the attempts that the rarest
// route which matters still lacks.
func (d *Director) evidenceShare(t *trial, rate float64) float64 {
	canary := t.analysis.canary
	all := int64(0)
	for _, evidence := range canary.routes {
		all += evidence.oldEnded
	}
	wanted := 0.0
	for name, evidence := range canary.routes {
		part := partOf(evidence.oldEnded, all)
		attempts := evidence.ended + t.analysis.loaded.routeOrEmpty(name).ended
		lacking := max(wantedAttempts-attempts, wantedTimed-evidence.timed)
		if part < relevantRoute || lacking <= 0 {
			continue
		}
		wanted = max(wanted, float64(lacking)/(part*OversamplingFactor(part, len(canary.routes), t.pace.part)))
	}
	inTime := max(minEvidenceTime, time.Duration(evidenceTime*float64(t.shape.Least)))
	if rate <= 0 {
		return 0
	}
	return wanted / (rate * inTime.Seconds())
}

// used returns for how long the whole traffic would have had to go to the target version for
// what it got so far, or may have got; rate is that of all requests a second.
func (t *trial) used(rate float64) time.Duration {
	return t.usedBefore + max(t.paced, timeOf(t.analysis.exposed, rate))
}

// loadedUsed returns the part of used that the runner under load got.
func (t *trial) loadedUsed(rate float64) time.Duration {
	return t.load.usedBefore + max(t.load.paced, timeOf(t.analysis.loadedExposed, rate))
}

// timeOf returns the time in which so many requests come, 0 where the rate is not known.
func timeOf(requests int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / rate * float64(time.Second))
}
