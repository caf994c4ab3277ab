package rollout

import (
	"math"
	"strings"
	"time"

	"onyxwell/base/clock"
)

// loadTestSuffix marks the route of a count from the load test pair. Relays of earlier builds
// treat such counts as those of another route.
const loadTestSuffix = "\x00loaded"

// LoadTestRoute returns the route under which attempts at the load test pair are reported.
func LoadTestRoute(route string) string { return route + loadTestSuffix }

// analysis is the evidence on a rollout: from the canary, and from the load test pair, one
// runner of either version that gets as much load as a runner may.
type analysis struct {
	canary, loadTest *Judge
	stage            Stage
	// ended counts all attempts since countedFrom. Earlier reports are not counted, since they
	// include attempts from before the first report.
	ended       int64
	settleTime  time.Duration
	countedFrom clock.Instant
	// rate is the highest rate so far, in requests per second.
	rate float64
	// exposed counts attempts at the target version, loadTestExposed those of them at the
	// runner under load.
	exposed, loadTestExposed int64
}

func newAnalysis() *analysis {
	return &analysis{canary: NewJudge(), loadTest: newLoadTestJudge(), settleTime: settleTime}
}

// newLoadTestJudge returns a Judge for the load test pair. It judges failures only: under
// load, a runner whose prompt cache is cold takes longer than one whose cache is warm.
func newLoadTestJudge() *Judge {
	judge := NewJudge()
	judge.failuresOnly = true
	return judge
}

// add adds the counts of a report.
func (a *analysis) add(counts []RouteCount, now clock.Instant) {
	if a.countedFrom == 0 {
		a.countedFrom = now.Add(a.settleTime)
	}
	var canary, loadTest []RouteCount
	for _, count := range counts {
		if now >= a.countedFrom {
			a.ended += count.Ended
		}
		route, isLoadTest := strings.CutSuffix(count.Route, loadTestSuffix)
		if count.Target {
			a.exposed += count.Ended
		}
		if !isLoadTest {
			canary = append(canary, count)
			continue
		}
		if count.Target {
			a.loadTestExposed += count.Ended
		}
		count.Route = route
		loadTest = append(loadTest, count)
	}
	a.canary.Add(canary, now)
	a.loadTest.Add(loadTest, now)
}

// beginStage starts a stage: only attempts from now on count in favor of the version.
func (a *analysis) beginStage(stage Stage) {
	a.stage = stage
	a.canary.BeginStage(stage)
}

// verdict returns the finding from all evidence. In the canary's stage, attempts under load
// count in favor of the version too.
func (a *analysis) verdict() Verdict {
	if reason := a.loadTest.rejectionReason(); reason != "" {
		return Verdict{Finding: Bad, Reason: "under load: " + reason}
	}
	if a.stage == Canary {
		return a.canary.verdictWith(a.loadTest)
	}
	return a.canary.Verdict()
}

// isSuspect reports whether there is evidence against the version, even if too little to
// reject it.
func (a *analysis) isSuspect() bool { return a.canary.IsSuspect() || a.loadTest.IsSuspect() }

const (
	// settleTime is how long reports may include attempts from before the first report;
	// resumedSettleTime is used after a takeover, when routers that the former director did
	// not answer report more of them.
	settleTime        = 250 * time.Millisecond
	resumedSettleTime = time.Second
)

// minRateTime is how long attempts must be counted before their rate is known.
const minRateTime = time.Second

// requestsPerS returns the highest rate, per second, at which attempts have ended, 0 if it is
// not known yet. Attempts at a slow version end late, so the current rate may be too low.
func (a *analysis) requestsPerS(now clock.Instant) float64 {
	if elapsed := now.Since(a.countedFrom); a.countedFrom > 0 && elapsed >= minRateTime {
		a.rate = max(a.rate, float64(a.ended)/elapsed.Seconds())
	}
	return a.rate
}

// rateDeviations is how many standard deviations maxRequestsPerS adds to the number of counted
// attempts.
const rateDeviations = 2

// maxRequestsPerS returns an upper estimate of requestsPerS. allocated is the exposure that
// was allocated to the target version. Few attempts say little about their rate, and those at
// a slow version may not have ended.
func (a *analysis) maxRequestsPerS(allocated time.Duration, now clock.Instant) float64 {
	rate := a.requestsPerS(now)
	elapsed := now.Since(a.countedFrom)
	if rate <= 0 || elapsed < minRateTime {
		return rate
	}
	running := max(0, rate*allocated.Seconds()-float64(a.exposed))
	counted := float64(a.ended)
	return max(rate, (counted+running+rateDeviations*math.Sqrt(counted))/elapsed.Seconds())
}

// timedSince returns when the first attempt at a warm runner of the target version was timed,
// by the canary or the load test; ok is false if none was.
func (a *analysis) timedSince() (since clock.Instant, ok bool) {
	since, ok = a.canary.TimedSince()
	if loadedSince, loadedOK := a.loadTest.TimedSince(); loadedOK && (!ok || loadedSince < since) {
		return loadedSince, true
	}
	return since, ok
}
