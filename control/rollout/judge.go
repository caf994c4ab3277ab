package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"onyxwell/base/clock"
)

// Finding is the result of judging a target version.
type Finding int

// The findings.
const (
	// Undecided: there is too little evidence.
	Undecided Finding = iota
	// Good: on each route that matters, the target version performs as the old one does.
	Good
	// Bad: on some route, or over all routes, it fails or is slow where the old version is not.
	Bad
)

// Verdict is a finding with its reason.
type Verdict struct {
	Finding Finding
	// Reason describes the decisive evidence, or what evidence is missing.
	Reason string
}

const (
	// acceptThreshold is the sum of the failure test over all routes at or below which the
	// failures indicate a good version.
	acceptThreshold = -3.5
	// minRouteShare is the share of the service's requests from which a route needs evidence
	// of its own: routeAcceptThreshold, which ten attempts without a failure reach, and
	// minTimedAttempts timed at warm runners. At a version that fails half of its attempts,
	// ten in a row succeed with a probability of one in a thousand.
	minRouteShare        = 0.03
	routeAcceptThreshold = -1.9
	minTimedAttempts     = 3
	// slowAcceptThreshold is the sum of the test of slow first bytes at or below which they
	// indicate a good version: three more attempts in time than late reach it.
	slowAcceptThreshold = -2.5
)

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	old recentOutcomes
	// target holds the recent outcomes at the target version.
	target recentOutcomes
	// ended, failed and timed count attempts at the target version since the stage began,
	// oldEnded those at the old version since the rollout began.
	ended, failed, timed int64
	oldEnded             int64
	failures             sequentialTest
	slowFirst, slowWhole sequentialTest
}

// Judge decides from the outcomes that routers report whether the target version of a
// rollout is good or bad. It is not safe for concurrent use.
type Judge struct {
	routes    map[string]*routeEvidence
	pooled    sequentialTest
	rotatedAt clock.Instant
	// timedSince is when the first attempt at a warm runner of the target version was timed,
	// 0 if none was.
	timedSince clock.Instant
	// oldHasNoTraffic is set in the stage Full, when no new requests go to the old version.
	oldHasNoTraffic bool
	// failuresOnly disables the comparison of durations.
	failuresOnly bool
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge { return &Judge{routes: map[string]*routeEvidence{}} }

// BeginStage restarts the evidence in favor of the version: only attempts from now on count
// for it. Evidence against the version is kept.
func (j *Judge) BeginStage(stage Stage) {
	j.oldHasNoTraffic = stage == Full
	j.pooled.sum = 0
	for _, evidence := range j.routes {
		evidence.ended, evidence.failed, evidence.timed = 0, 0, 0
		evidence.failures.sum, evidence.slowFirst.sum, evidence.slowWhole.sum = 0, 0, 0
	}
}

// resetAcceptance discards the evidence in favor of the version within the canary's stage.
// TimedSince starts over with the next attempt that is timed.
func (j *Judge) resetAcceptance() {
	j.BeginStage(Canary)
	j.timedSince = 0
}

// Add adds the counts of a report.
func (j *Judge) Add(counts []RouteCount, now clock.Instant) {
	for _, count := range counts {
		if !count.Target {
			evidence := j.route(count.Route)
			evidence.old.add(count)
			evidence.oldEnded += count.Ended
		}
	}
	for _, count := range counts {
		if count.Target {
			j.addTarget(count, now)
		}
	}
	if now.Since(j.rotatedAt) >= baselineWindow {
		j.rotatedAt = now
		for _, evidence := range j.routes {
			evidence.old.rotate()
			evidence.target.rotate()
		}
	}
}

func (j *Judge) route(name string) *routeEvidence {
	evidence := j.routes[name]
	if evidence == nil {
		evidence = &routeEvidence{}
		j.routes[name] = evidence
	}
	return evidence
}

func (j *Judge) routeNames() []string { return slices.Sorted(maps.Keys(j.routes)) }

func (j *Judge) addTarget(count RouteCount, now clock.Instant) {
	evidence := j.route(count.Route)
	evidence.ended += count.Ended
	evidence.failed += count.Failed
	good, bad := j.expectedFailureRates(evidence)
	evidence.target.add(RouteCount{Ended: count.Ended, Failed: count.Failed})
	evidence.failures.add(count.Failed, count.Ended-count.Failed, good, bad)
	j.pooled.add(count.Failed, count.Ended-count.Failed, good, bad)
	var firstByte, whole Histogram
	firstByte.Merge(count.FirstByte)
	whole.Merge(count.Whole)
	compared := true
	if !j.failuresOnly {
		compared = addSlowAttempts(&evidence.slowFirst, &evidence.old.firstByte, &firstByte)
		addSlowAttempts(&evidence.slowWhole, &evidence.old.whole, &whole)
	}
	if total := firstByte.Total(); total > 0 && (compared || j.oldHasNoTraffic) {
		evidence.timed += total
		j.timedSince = cmp.Or(j.timedSince, now)
	}
}

// Verdict returns the finding from the evidence so far.
func (j *Judge) Verdict() Verdict { return j.verdictWith(nil) }

// verdictWith is Verdict with another Judge's evidence in favor of the version counted too;
// other may be nil.
func (j *Judge) verdictWith(other *Judge) Verdict {
	if reason := j.rejectionReason(); reason != "" {
		return Verdict{Finding: Bad, Reason: reason}
	}
	if missing := j.missingEvidence(other); missing != "" {
		return Verdict{Finding: Undecided, Reason: missing}
	}
	return Verdict{Finding: Good, Reason: "does as the old version on every route"}
}

// rejectionReason returns why the version is bad, empty if it isn't known to be.
func (j *Judge) rejectionReason() string {
	for _, name := range j.routeNames() {
		if reason := j.routes[name].rejectionReason(); reason != "" {
			return "route " + name + ": " + reason
		}
	}
	if j.pooled.cusum >= failureRejectThreshold {
		return "failed attempts over all routes"
	}
	return ""
}

// rejectionReason returns why the version is bad on this route, empty if it isn't known to
// be.
func (e *routeEvidence) rejectionReason() string {
	switch {
	case e.failures.cusum >= failureRejectThreshold:
		ended, failed := e.old.totals()
		return fmt.Sprintf("%d of %d attempts failed, %d of %d at the old version", e.failed, e.ended, failed, ended)
	case e.slowFirst.cusum >= slowRejectThreshold:
		return fmt.Sprintf("first bytes come late, in the middle %v at the old version", median(&e.old.firstByte))
	case e.slowWhole.cusum >= slowRejectThreshold:
		return fmt.Sprintf("responses take long, in the middle %v at the old version", median(&e.old.whole))
	}
	return ""
}

// missingEvidence returns what is missing for the version to be good, counting what another
// Judge saw; empty if nothing is.
func (j *Judge) missingEvidence(other *Judge) string {
	if j.pooled.sum+other.pooledSum() > acceptThreshold {
		return "too few attempts at the target version"
	}
	total := int64(0)
	for _, evidence := range j.routes {
		total += evidence.oldEnded
	}
	for _, name := range j.routeNames() {
		evidence := j.routes[name]
		relevant := ratio(evidence.oldEnded, total) >= minRouteShare
		if evidence.isSuspect() || (relevant && evidence.needsMoreAttempts(other.routeOrEmpty(name))) {
			return "route " + name + ": more attempts are needed"
		}
	}
	return ""
}

// needsMoreAttempts reports whether the evidence on a route, together with the failures that
// another Judge saw there, is too little for the version to be good. The other Judge's times
// are not used, because times under load are not compared.
func (e *routeEvidence) needsMoreAttempts(other *routeEvidence) bool {
	return e.failures.sum+other.failures.sum > routeAcceptThreshold || e.timed < minTimedAttempts || e.slowFirst.sum > slowAcceptThreshold
}

func (j *Judge) pooledSum() float64 {
	if j == nil {
		return 0
	}
	return j.pooled.sum
}

// routeOrEmpty returns the evidence on a route, empty if there is none; j may be nil.
func (j *Judge) routeOrEmpty(name string) *routeEvidence {
	if j != nil && j.routes[name] != nil {
		return j.routes[name]
	}
	return &routeEvidence{}
}

// isSuspect reports whether there is evidence against the version on this route, even if too
// little to reject it.
func (e *routeEvidence) isSuspect() bool {
	return e.failures.cusum > suspectFraction*failureRejectThreshold || e.slowFirst.cusum > suspectFraction*slowRejectThreshold || e.slowWhole.cusum > suspectFraction*slowRejectThreshold
}

// IsSuspect reports whether there is evidence against the version on some route, even if too
// little to reject it.
func (j *Judge) IsSuspect() bool {
	for _, evidence := range j.routes {
		if evidence.isSuspect() {
			return true
		}
	}
	return false
}

// TimedSince returns when the first attempt at a warm runner of the target version was timed;
// ok is false if none was.
func (j *Judge) TimedSince() (since clock.Instant, ok bool) { return j.timedSince, j.timedSince > 0 }

// RouteStatus is the evidence on one route, for operators.
type RouteStatus struct {
	Route string `json:"route"`
	// Ended and Failed count attempts at the target version since the stage began, OldEnded
	// and OldFailed recent attempts at the old version.
	Ended     int64 `json:"ended"`
	Failed    int64 `json:"failed"`
	OldEnded  int64 `json:"old_ended"`
	OldFailed int64 `json:"old_failed"`
	// OldFirstByteMS is the median time to the first byte at the old version.
	OldFirstByteMS int64 `json:"old_first_byte_ms"`
	// The cumulative sums of the tests, as fractions of the threshold at which a version is
	// bad.
	Failures  float64 `json:"failures"`
	SlowFirst float64 `json:"slow_first_bytes"`
	SlowWhole float64 `json:"slow_responses"`
}

// Routes returns the evidence by route, sorted by the routes' names.
func (j *Judge) Routes() []RouteStatus {
	var statuses []RouteStatus
	for _, name := range j.routeNames() {
		evidence := j.routes[name]
		status := RouteStatus{
			Route: name, Ended: evidence.ended, Failed: evidence.failed,
			OldFirstByteMS: median(&evidence.old.firstByte).Milliseconds(),
			Failures:       evidence.failures.cusum / failureRejectThreshold,
			SlowFirst:      evidence.slowFirst.cusum / slowRejectThreshold, SlowWhole: evidence.slowWhole.cusum / slowRejectThreshold,
		}
		status.OldEnded, status.OldFailed = evidence.old.totals()
		statuses = append(statuses, status)
	}
	return statuses
}
