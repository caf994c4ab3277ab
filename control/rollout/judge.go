package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"onyxwell/base/clock"
)

// Finding is what the evidence says of a target version.
type Finding int

// The findings.
const (
	// Undecided: there is too little evidence.
	Undecided Finding = iota
	// Good: on each route that matters, the target version does as the old one does.
	Good
	// Bad: on some route it fails, or is slow, where the old one isn't.
	Bad
)

// Verdict is a finding with its reason.
type Verdict struct {
	Finding Finding
	// Reason says which evidence decided, or what is lacking.
	Reason string
}

const (
	// acceptThreshold is the sum over all routes at which failures speak for the version.
	acceptThreshold = -3.5
	// minRouteShare is the part of the service's requests from which on a route must have
	// evidence of its own: a sum of failures as of ten attempts without one, and minTimed
	// that were timed at warm runners. Of ten attempts at a version that fails half of them,
	// all succeed once in a thousand times.
	minRouteShare        = 0.03
	routeAcceptThreshold = -1.9
	minTimedAttempts     = 3
	// slowAcceptThreshold is the sum of late first bytes at which they speak for the version: as of
	// three attempts more that were in time than late.
	slowAcceptThreshold = -2.5
)

// routeEvidence is what is known of one route.
type routeEvidence struct {
	old recentOutcomes
	// target is what the target version showed of late.
	target recentOutcomes
	// ended, failed and timed count attempts at the target version since the stage began,
	// oldEnded those at the old one since the rollout did.
	ended, failed, timed int64
	oldEnded             int64
	failures             sequentialTest
	slowFirst, slowWhole sequentialTest
}

// Judge weighs what routers saw of a rollout. It is not safe for concurrent use.
type Judge struct {
	routes    map[string]*routeEvidence
	pooled    sequentialTest
	rotatedAt clock.Instant
	// timedSince is when the first attempt at a warm runner of the target version was timed;
	// 0 is never.
	timedSince clock.Instant
	// withoutBaseline says that the old version gets nothing any more.
	withoutBaseline bool
	// failuresOnly has times not be compared.
	failuresOnly bool
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge { return &Judge{routes: map[string]*routeEvidence{}} }

// BeginStage has the version be found good by what comes from now on alone. What speaks
// against it stays.
func (j *Judge) BeginStage(stage Stage) {
	j.withoutBaseline = stage == Full
	j.pooled.sum = 0
	for _, evidence := range j.routes {
		evidence.ended, evidence.failed, evidence.timed = 0, 0, 0
		evidence.failures.sum, evidence.slowFirst.sum, evidence.slowWhole.sum = 0, 0, 0
	}
}

// resetAcceptance is BeginStage within a stage: times count from the next attempt on, too.
func (j *Judge) resetAcceptance() {
	j.BeginStage(Canary)
	j.timedSince = 0
}

// Add takes a report in.
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
	if total := firstByte.Total(); total > 0 && (compared || j.withoutBaseline) {
		evidence.timed += total
		j.timedSince = cmp.Or(j.timedSince, now)
	}
}

// Verdict returns what the evidence says now.
func (j *Judge) Verdict() Verdict { return j.verdictWith(nil) }

// verdictWith is Verdict where another Judge's evidence speaks for the version, too; nil is
// none.
func (j *Judge) verdictWith(other *Judge) Verdict {
	if reason := j.rejectionReason(); reason != "" {
		return Verdict{Finding: Bad, Reason: reason}
	}
	if missing := j.missingEvidence(other); missing != "" {
		return Verdict{Finding: Undecided, Reason: missing}
	}
	return Verdict{Finding: Good, Reason: "does as the old version on every route"}
}

// rejectionReason returns what makes the version bad, empty if nothing does.
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

// rejectionReason returns what speaks rejectionReason the version on a route, empty if nothing decides.
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

// missingEvidence returns what is missing for the version to be good, with what another Judge saw;
// empty if nothing is.
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

// needsMoreAttempts reports whether the evidence of a route, and the failures that another Judge saw
// there, are too little for the version to be good. Times under load are not compared.
func (e *routeEvidence) needsMoreAttempts(other *routeEvidence) bool {
	return e.failures.sum+other.failures.sum > routeAcceptThreshold || e.timed < minTimedAttempts || e.slowFirst.sum > slowAcceptThreshold
}

func (j *Judge) pooledSum() float64 {
	if j == nil {
		return 0
	}
	return j.pooled.sum
}

// routeOrEmpty returns the evidence of a route, or none; j may be nil.
func (j *Judge) routeOrEmpty(name string) *routeEvidence {
	if j != nil && j.routes[name] != nil {
		return j.routes[name]
	}
	return &routeEvidence{}
}

// isSuspect reports whether something speaks against the version, though not enough.
func (e *routeEvidence) isSuspect() bool {
	return e.failures.cusum > suspectFraction*failureRejectThreshold || e.slowFirst.cusum > suspectFraction*slowRejectThreshold || e.slowWhole.cusum > suspectFraction*slowRejectThreshold
}

// IsSuspect reports whether something speaks against the version on some route.
func (j *Judge) IsSuspect() bool {
	for _, evidence := range j.routes {
		if evidence.isSuspect() {
			return true
		}
	}
	return false
}

// TimedSince returns since when attempts at warm runners of the target version are timed;
// ok is false where none was.
func (j *Judge) TimedSince() (since clock.Instant, ok bool) { return j.timedSince, j.timedSince > 0 }

// RouteStatus is the evidence of one route, for operators.
type RouteStatus struct {
	Route string `json:"route"`
	// Ended and Failed count attempts at the target version since the stage began, the Old
	// ones those at the old version of late.
	Ended     int64 `json:"ended"`
	Failed    int64 `json:"failed"`
	OldEnded  int64 `json:"old_ended"`
	OldFailed int64 `json:"old_failed"`
	// OldFirstByteMS is the middle time to the first byte at the old version.
	OldFirstByteMS int64 `json:"old_first_byte_ms"`
	// The sums of the tests, in parts of what makes a version bad.
	Failures  float64 `json:"failures"`
	SlowFirst float64 `json:"slow_first_bytes"`
	SlowWhole float64 `json:"slow_responses"`
}

// Routes returns the evidence by route, in the order of their names.
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
