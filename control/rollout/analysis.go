package rollout

import (
	"math"
	"strings"
	"time"

	"onyxwell/base/clock"
)

// loadTestSuffix marks the route of a count that comes from the pair of runners under load.
// Relays of earlier builds keep such counts apart as those of another route.
const loadTestSuffix = "\x00loaded"

// LoadTestRoute returns the route under which attempts at the pair of runners under load are
// reported.
func LoadTestRoute(route string) string { return route + loadTestSuffix }

// analysis is the evidence on a rollout: from the canary, and from a pair of runners, one of
// either version, that get as much load as a runner may.
type analysis struct {
	canary, loadTest *Judge
	stage            Stage
	// ended counts all attempts since countedFrom: the first reports have what was made before.
	ended       int64
	settleTime  time.Duration
	countedFrom clock.Instant
	// rate is the highest rate of requests a second so far.
	rate float64
	// exposed and loadTestExposed count attempts at the target version, the second those of the
	// runner under load alone.
	exposed, loadTestExposed int64
}

func newAnalysis() *analysis {
	return &analysis{canary: NewJudge(), loadTest: newLoadTestJudge(), settleTime: settleTime}
}

// newLoadTestJudge returns a Judge of the pair under load. Only its failures are judged: under
// load, a runner whose prompt cache is cold takes longer than one whose cache is warm.
func newLoadTestJudge() *Judge {
	judge := NewJudge()
	judge.failuresOnly = true
	return judge
}

// add takes a report in.
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

// beginStage has the version be found good by what comes from now on alone.
func (a *analysis) beginStage(stage Stage) {
	a.stage = stage
	a.canary.BeginStage(stage)
}

// verdict returns what all evidence says now. In the canary's stage, attempts under load speak
// for the version, too.
func (a *analysis) verdict() Verdict {
	if reason := a.loadTest.rejectionReason(); reason != "" {
		return Verdict{Finding: Bad, Reason: "under load: " + reason}
	}
	if a.stage == Canary {
		return a.canary.verdictWith(a.loadTest)
	}
	return a.canary.Verdict()
}

// isSuspect reports whether something speaks against the version.
func (a *analysis) isSuspect() bool { return a.canary.IsSuspect() || a.loadTest.IsSuspect() }

const (
	// settleTime is for how long the first reports have attempts from before; those of routers
	// that a former director did not answer have more.
	settleTime        = 250 * time.Millisecond
	resumedSettleTime = time.Second
)

// minRateTime is for how long attempts must be counted for their rate to be known.
const minRateTime = time.Second

// requestsPerS returns how many attempts a second ended where that was most, 0 where it is not
// known yet. Attempts at a slow version end late: the present rate may be too low.
func (a *analysis) requestsPerS(now clock.Instant) float64 {
	if elapsed := now.Since(a.countedFrom); a.countedFrom > 0 && elapsed >= minRateTime {
		a.rate = max(a.rate, float64(a.ended)/elapsed.Seconds())
	}
	return a.rate
}

// rateDeviations is by how many standard deviations of a count the rate may be higher than it
// was counted.
const rateDeviations = 2

// maxRequestsPerS is requestsPerS as it may be, where attempts at the target version were sent
// for as long as paced is of the whole traffic: few attempts say little of their rate, and those
// at a slow version have not ended.
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

// timedSince returns since when attempts at warm runners of the target version are timed; ok
// is false where none was.
func (a *analysis) timedSince() (since clock.Instant, ok bool) {
	since, ok = a.canary.TimedSince()
	if loadedSince, loadedOK := a.loadTest.TimedSince(); loadedOK && (!ok || loadedSince < since) {
		return loadedSince, true
	}
	return since, ok
}
