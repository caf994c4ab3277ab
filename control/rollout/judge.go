package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

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

// The sequential tests are Wald's, as cumulative sums that restart at 0 (CUSUM): each
// attempt adds the logarithm of how much likelier it is at a bad version than at a good one.
const (
	// failureLimit and slowLimit are the sums at which a version is bad. At a good one, a sum
	// is passed with a probability of about its exponential, negated, for each restart.
	failureLimit = 9.0
	slowLimit    = 8.0
	// acceptSum is the sum over all routes at which failures speak for the version.
	acceptSum = -3.5
	// doubtPart is the part of a limit under which a sum must lie on every route for the
	// version to be good.
	doubtPart = 0.3
	// The part of attempts that fail at a good version is taken to be what the old one shows
	// twice over, and goodFailures; at a bad one it is badFailures higher.
	goodFailures = 0.03
	badFailures  = 0.17
	// Without a control, a good version may fail through what befalls all runners alike.
	goodFailuresAlone = 0.10
	badFailuresAlone  = 0.25
	// An attempt is slow where it takes slowFactor times as long as the middle one of the old
	// version, and slowMargin more.
	slowFactor = 2.5
	slowMargin = 20 * time.Millisecond
	// The part of slow attempts at a good and at a bad version.
	goodSlow = 0.25
	badSlow  = 0.70
	// maxGood bounds what is taken for good: a test needs some room above it.
	maxGood = 0.6
	maxBad  = 0.9
	// minControl is how many attempts of the old version a comparison needs.
	minControl = 20
	// controlWindow is for how long the old version's attempts count, once to twice.
	controlWindow = 2 * time.Second
	// relevantRoute is the part of the service's requests from which on a route must have
	// evidence of its own: a sum of failures as of ten attempts without one, and minTimed
	// that were timed at warm runners. Of ten attempts at a version that fails half of them,
	// all succeed once in a thousand times.
	relevantRoute  = 0.03
	routeAcceptSum = -1.9
	minTimed       = 3
)

// sequentialTest weighs attempts that have, or have not, what a bad version shows more
// often.
type sequentialTest struct {
	// sum is since the stage began; cusum restarts at 0.
	sum, cusum float64
}

// add takes attempts with and without the mark; good and bad are the parts of attempts with
// it at a good and at a bad version.
func (t *sequentialTest) add(with, without int64, good, bad float64) {
	change := float64(with)*math.Log(bad/good) + float64(without)*math.Log((1-bad)/(1-good))
	t.sum += change
	t.cusum = max(0, t.cusum+change)
}

// control is what a version showed of late on a route, in two windows.
type control struct {
	ended, failed    [2]int64
	firstByte, whole [2]Histogram
}

func (c *control) add(count RouteCount) {
	c.ended[0] += count.Ended
	c.failed[0] += count.Failed
	c.firstByte[0].Merge(count.FirstByte)
	c.whole[0].Merge(count.Whole)
}

// rotate begins a new window, unless the present one says too little.
func (c *control) rotate() {
	if c.ended[0] < minControl {
		return
	}
	c.ended[1], c.failed[1] = c.ended[0], c.failed[0]
	c.firstByte[1], c.whole[1] = c.firstByte[0], c.whole[0]
	c.ended[0], c.failed[0] = 0, 0
	c.firstByte[0], c.whole[0] = Histogram{}, Histogram{}
}

func (c *control) totals() (ended, failed int64) {
	return c.ended[0] + c.ended[1], c.failed[0] + c.failed[1]
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	old control
	// target is what the target version showed of late.
	target control
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
	// stageTarget and stageOld count the attempts at either version since the stage began.
	stageTarget, stageOld int64
	// ended counts all attempts since firstAt.
	ended   int64
	firstAt clock.Instant
	// alone says that the old version gets nothing any more.
	alone bool
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge { return &Judge{routes: map[string]*routeEvidence{}} }

// BeginStage has the version be found good by what comes from now on alone. What speaks
// against it stays.
func (j *Judge) BeginStage(stage Stage) {
	j.alone = stage == Full
	j.pooled.sum = 0
	j.stageTarget, j.stageOld = 0, 0
	for _, evidence := range j.routes {
		evidence.ended, evidence.failed, evidence.timed = 0, 0, 0
		evidence.failures.sum = 0
	}
}

// Add takes a report in.
func (j *Judge) Add(counts []RouteCount, now clock.Instant) {
	if j.firstAt == 0 {
		j.firstAt = now
	}
	for _, count := range counts {
		j.ended += count.Ended
	}
	for _, count := range counts {
		if !count.Target {
			evidence := j.route(count.Route)
			evidence.old.add(count)
			evidence.oldEnded += count.Ended
			j.stageOld += count.Ended
		}
	}
	for _, count := range counts {
		if count.Target {
			j.addTarget(count, now)
		}
	}
	if now.Since(j.rotatedAt) >= controlWindow {
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

func (j *Judge) addTarget(count RouteCount, now clock.Instant) {
	evidence := j.route(count.Route)
	j.stageTarget += count.Ended
	evidence.ended += count.Ended
	evidence.failed += count.Failed
	good, bad := j.failureParts(evidence)
	evidence.target.add(RouteCount{Ended: count.Ended, Failed: count.Failed})
	evidence.failures.add(count.Failed, count.Ended-count.Failed, good, bad)
	j.pooled.add(count.Failed, count.Ended-count.Failed, good, bad)
	var firstByte, whole Histogram
	firstByte.Merge(count.FirstByte)
	whole.Merge(count.Whole)
	evidence.timed += firstByte.Total()
	if firstByte.Total() > 0 && j.timedSince == 0 {
		j.timedSince = now
	}
	addSlow(&evidence.slowFirst, &evidence.old.firstByte, &firstByte)
	addSlow(&evidence.slowWhole, &evidence.old.whole, &whole)
}

// failureParts returns the parts of failed attempts that a good and a bad version show on a
// route: what befalls the control at the time is no fault of the new version.
func (j *Judge) failureParts(evidence *routeEvidence) (good, bad float64) {
	least, step := goodFailures, badFailures
	part, known := j.controlPart(evidence)
	if !known {
		least, step = goodFailuresAlone, badFailuresAlone
	}
	good = min(max(least, 2*part+goodFailures/2), maxGood)
	return good, min(good+step, maxBad)
}

// controlPart returns the part of attempts that fail at the control: the old version, or,
// where that gets nothing any more, the other routes at the target version; known is false
// where that has none.
func (j *Judge) controlPart(evidence *routeEvidence) (part float64, known bool) {
	ended, failed := int64(0), int64(0)
	for _, other := range j.routes {
		routeEnded, routeFailed := other.old.totals()
		if j.alone {
			routeEnded, routeFailed = other.target.totals()
			if other == evidence {
				continue
			}
		}
		ended, failed = ended+routeEnded, failed+routeFailed
	}
	part = partOf(failed, ended)
	if j.alone {
		return part, ended >= minControl
	}
	if routeEnded, routeFailed := evidence.old.totals(); routeEnded >= minControl {
		part = max(part, partOf(routeFailed, routeEnded))
	}
	return part, true
}

// addSlow weighs how long attempts at the target version took against the old one's.
func addSlow(test *sequentialTest, old *[2]Histogram, target *Histogram) {
	reference := old[0]
	reference.Merge(old[1].Buckets())
	if reference.Total() < minControl || target.Total() == 0 {
		return
	}
	limit := time.Duration(slowFactor*float64(reference.Quantile(0.5))) + slowMargin
	good := min(max(goodSlow, 2*partOf(reference.Above(limit), reference.Total())), maxGood)
	slow := target.Above(limit)
	test.add(slow, target.Total()-slow, good, min(max(badSlow, good+badFailures), maxBad))
}

func partOf(some, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(some) / float64(all)
}

// Verdict returns what the evidence says now.
func (j *Judge) Verdict() Verdict {
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		if reason := j.routes[name].against(); reason != "" {
			return Verdict{Finding: Bad, Reason: "route " + name + ": " + reason}
		}
	}
	if j.pooled.cusum >= failureLimit {
		return Verdict{Finding: Bad, Reason: "failed attempts over all routes"}
	}
	if lacking := j.lacking(); lacking != "" {
		return Verdict{Finding: Undecided, Reason: lacking}
	}
	return Verdict{Finding: Good, Reason: "does as the old version on every route"}
}

// against returns what speaks against the version on a route, empty if nothing decides.
func (e *routeEvidence) against() string {
	switch {
	case e.failures.cusum >= failureLimit:
		ended, failed := e.old.totals()
		return fmt.Sprintf("%d of %d attempts failed, %d of %d at the old version", e.failed, e.ended, failed, ended)
	case e.slowFirst.cusum >= slowLimit:
		return fmt.Sprintf("first bytes come late, in the middle %v at the old version", e.oldMedian(&e.old.firstByte))
	case e.slowWhole.cusum >= slowLimit:
		return fmt.Sprintf("responses take long, in the middle %v at the old version", e.oldMedian(&e.old.whole))
	}
	return ""
}

func (e *routeEvidence) oldMedian(old *[2]Histogram) time.Duration {
	reference := old[0]
	reference.Merge(old[1].Buckets())
	return reference.Quantile(0.5)
}

// lacking returns what is missing for the version to be good, empty if nothing is.
func (j *Judge) lacking() string {
	if j.pooled.sum > acceptSum {
		return "too few attempts at the target version"
	}
	all := int64(0)
	for _, evidence := range j.routes {
		all += evidence.oldEnded
	}
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		evidence := j.routes[name]
		relevant := partOf(evidence.oldEnded, all) >= relevantRoute
		if evidence.isDoubtful() || (relevant && (evidence.failures.sum > routeAcceptSum || evidence.timed < minTimed)) {
			return "route " + name + ": more attempts are needed"
		}
	}
	return ""
}

// isDoubtful reports whether something speaks against the version, though not enough.
func (e *routeEvidence) isDoubtful() bool {
	return e.failures.cusum > doubtPart*failureLimit || e.slowFirst.cusum > doubtPart*slowLimit || e.slowWhole.cusum > doubtPart*slowLimit
}

// IsDoubtful reports whether something speaks against the version on some route.
func (j *Judge) IsDoubtful() bool {
	for _, evidence := range j.routes {
		if evidence.isDoubtful() {
			return true
		}
	}
	return false
}

// TargetPart returns the part of all attempts since the stage began that went to the target
// version.
func (j *Judge) TargetPart() float64 { return partOf(j.stageTarget, j.stageTarget+j.stageOld) }

// minRateTime is for how long attempts must be counted for their rate to be known.
const minRateTime = time.Second

// RequestsPerS returns how many attempts a second ended, 0 where that is not known yet.
func (j *Judge) RequestsPerS(now clock.Instant) float64 {
	if elapsed := now.Since(j.firstAt); j.firstAt > 0 && elapsed >= minRateTime {
		return float64(j.ended) / elapsed.Seconds()
	}
	return 0
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
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		evidence := j.routes[name]
		status := RouteStatus{
			Route: name, Ended: evidence.ended, Failed: evidence.failed,
			OldFirstByteMS: evidence.oldMedian(&evidence.old.firstByte).Milliseconds(),
			Failures:       evidence.failures.cusum / failureLimit,
			SlowFirst:      evidence.slowFirst.cusum / slowLimit, SlowWhole: evidence.slowWhole.cusum / slowLimit,
		}
		status.OldEnded, status.OldFailed = evidence.old.totals()
		statuses = append(statuses, status)
	}
	return statuses
}
