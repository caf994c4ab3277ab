package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// defect is how attempts at a bad version differ from those at a good one.
type defect struct {
	name string
	// failureRate is the fraction of attempts that fail, slowdown the factor by which all take
	// longer, onRoute selects the affected routes; nil selects all. The defect begins at from.
	failureRate float64
	slowdown    float64
	onRoute     func(route string) bool
	from        time.Duration
}

func (b defect) applies(route string, since time.Duration) bool {
	return since >= b.from && (b.onRoute == nil || b.onRoute(route))
}

// attemptGenerator generates the reports of routers for one tick.
type attemptGenerator struct {
	random *rand.Rand
	// baseFailureRate is the fraction of attempts that fail at either version.
	baseFailureRate float64
	defect          defect
}

func (g attemptGenerator) counts(route string, target bool, attempts int, since time.Duration) RouteCount {
	count := RouteCount{Route: route, Target: target}
	var firstByte, whole Histogram
	bad := target && g.defect.applies(route, since)
	for range attempts {
		count.Ended++
		fails := g.baseFailureRate
		if bad {
			fails += g.defect.failureRate
		}
		if g.random.Float64() < fails {
			count.Failed++
			continue
		}
		factor := 1.0
		if bad && g.defect.slowdown > 0 {
			factor = g.defect.slowdown
		}
		spread := 0.6 + 0.8*g.random.Float64() + 0.5*g.random.ExpFloat64()
		firstByte.Add(time.Duration(factor * spread * float64(80*time.Millisecond)))
		whole.Add(time.Duration(factor * spread * float64(400*time.Millisecond)))
	}
	count.FirstByte, count.Whole = firstByte.Buckets(), whole.Buckets()
	return count
}

// simulatedRoutes are the routes of simulateCanary, with their shares of the requests. Random
// numbers are drawn in the order of the routes.
var simulatedRoutes = []struct {
	name  string
	share float64
}{{"long", 0.16}, {"short", 0.84}}

// simulateCanary simulates a rollout's canary with perS requests per second on two routes, a
// share of which goes to the target version. It returns Bad and the time of that finding, or
// the finding at the end.
func simulateCanary(seed uint64, perS, share float64, generator attemptGenerator, duration time.Duration) (Finding, time.Duration) {
	const tick = 100 * time.Millisecond
	generator.random = rand.New(rand.NewPCG(seed, 1))
	judge := NewJudge()
	now := clock.Instant(time.Hour)
	attempts := func(rate float64) int {
		whole := int(rate * tick.Seconds())
		if generator.random.Float64() < rate*tick.Seconds()-float64(whole) {
			whole++
		}
		return whole
	}
	for since := -time.Second; since < duration; since += tick {
		now = now.Add(tick)
		if since == 0 {
			judge.BeginStage(Canary)
		}
		var counts []RouteCount
		for _, route := range simulatedRoutes {
			counts = append(counts, generator.counts(route.name, false, attempts(perS*route.share*(1-share)), since))
			if since >= 0 {
				counts = append(counts, generator.counts(route.name, true, attempts(perS*route.share*share), since))
			}
		}
		judge.Add(counts, now)
		if verdict := judge.Verdict(); verdict.Finding == Bad {
			return Bad, since
		}
	}
	return judge.Verdict().Finding, duration
}

// simulatedCanaryTime is the maximum duration of the canary in a term of 12 s
// (maxCanaryTimeFraction).
const simulatedCanaryTime = 6600 * time.Millisecond

// TestJudge_acceptsGoodVersions bounds how often a version that performs as the old one does is
// found bad, at various failure rates common to both versions, and at low rates how often there
// is no finding in time.
func TestJudge_acceptsGoodVersions(t *testing.T) {
	for _, baseFailureRate := range []float64{0, 0.01, 0.05, 0.2} {
		wrong, undecided := 0, 0
		const seeds = 1000
		for seed := range uint64(seeds) {
			finding, _ := simulateCanary(seed, 300, 0.12, attemptGenerator{baseFailureRate: baseFailureRate}, simulatedCanaryTime)
			switch finding {
			case Bad:
				wrong++
			case Undecided:
				undecided++
			}
		}
		if wrong > 1 {
			t.Errorf("base failure rate %.2f: %d of %d good versions are found bad", baseFailureRate, wrong, seeds)
		}
		if baseFailureRate <= 0.01 && undecided > seeds/100 {
			t.Errorf("base failure rate %.2f: %d of %d good versions have no finding after %v", baseFailureRate, undecided, seeds, simulatedCanaryTime)
		}
	}
}

// TestJudge_findsBadVersions bounds the time in which each kind of defect is found.
func TestJudge_findsBadVersions(t *testing.T) {
	long := func(route string) bool { return route == "long" }
	cases := []struct {
		defect
		perS   float64
		within time.Duration
	}{
		{defect{name: "half fail", failureRate: 0.5}, 1382, 500 * time.Millisecond},
		{defect{name: "half fail, few requests", failureRate: 0.5}, 100, 3500 * time.Millisecond},
		{defect{name: "three in ten fail", failureRate: 0.3}, 1382, time.Second},
		{defect{name: "eight times slower", slowdown: 8}, 1382, 500 * time.Millisecond},
		{defect{name: "five times slower", slowdown: 5}, 1382, 500 * time.Millisecond},
		{defect{name: "half fail on the rare route", failureRate: 0.5, onRoute: long}, 1382, 2 * time.Second},
		{defect{name: "slow on the rare route", slowdown: 8, onRoute: long}, 1382, 2 * time.Second},
		{defect{name: "half fail from 3.3 s on", failureRate: 0.5, from: 3300 * time.Millisecond}, 1382, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(200) {
				finding, at := simulateCanary(seed, test.perS, 0.12, attemptGenerator{baseFailureRate: 0.01, defect: test.defect}, 8*time.Second)
				if finding != Bad || at > test.within {
					t.Fatalf("seed %d: finding %d after %v, not within %v", seed, finding, at, test.within)
				}
			}
		})
	}
}

// TestJudge_needsEvidence checks that too little evidence leads to no finding.
func TestJudge_needsEvidence(t *testing.T) {
	if finding, _ := simulateCanary(1, 300, 0.12, attemptGenerator{}, 300*time.Millisecond); finding != Undecided {
		t.Errorf("finding %d after 0.3 s, want Undecided", finding)
	}
	judge := NewJudge()
	judge.Add([]RouteCount{{Route: "short", Ended: 500}, {Route: "long", Ended: 100}, {Route: "short", Target: true, Ended: 200, FirstByte: []Bucket{{Index: 1, Count: 200}}}}, 1)
	if verdict := judge.Verdict(); verdict.Finding != Undecided {
		t.Errorf("a route has no evidence: got %+v, want Undecided", verdict)
	}
}

// TestJudge_withoutOldTrafficFindsFailingRoute checks that, once the old version gets no traffic,
// a route that fails is found soon if other routes at the target version don't fail.
func TestJudge_withoutOldTrafficFindsFailingRoute(t *testing.T) {
	judge := NewJudge()
	judge.BeginStage(Full)
	now := clock.Instant(time.Hour)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 30}, {Route: "long", Target: true, Ended: 1}}, now)
	}
	for attempts := 1; ; attempts++ {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 30}, {Route: "long", Target: true, Ended: 2, Failed: 1}}, now)
		if judge.Verdict().Finding == Bad {
			if attempts > 8 {
				t.Errorf("found after %d attempts, half of which failed", 2*attempts)
			}
			return
		}
		if !judge.IsSuspect() && attempts > 3 {
			t.Fatalf("not suspect after %d attempts, half of which failed", 2*attempts)
		}
	}
}

// TestJudge_withoutBaselineToleratesCommonFailures checks that a moderate failure rate does not
// reject a version once there is no baseline to compare it with; a high rate does.
func TestJudge_withoutBaselineToleratesCommonFailures(t *testing.T) {
	judge := NewJudge()
	judge.BeginStage(Full)
	now := clock.Instant(time.Hour)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 100, Failed: 18}}, now)
	}
	if verdict := judge.Verdict(); verdict.Finding == Bad {
		t.Errorf("18%% of attempts fail: got %+v, want no rejection", verdict)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 100, Failed: 45}}, now)
	}
	if verdict := judge.Verdict(); verdict.Finding != Bad {
		t.Errorf("45%% of attempts fail: got %+v, want Bad", verdict)
	}
}

// TestJudge_timesCountOnlyWithBaseline guards against a slow version being accepted after a
// takeover: a Judge that has no attempts at the old version yet must not count the target's
// times in favor of the version.
func TestJudge_timesCountOnlyWithBaseline(t *testing.T) {
	generator := attemptGenerator{random: rand.New(rand.NewPCG(1, 1)), defect: defect{slowdown: 8}}
	judge, now := NewJudge(), clock.Instant(time.Hour)
	judge.BeginStage(Canary)
	judge.Add([]RouteCount{generator.counts("short", true, 40, 0)}, now)
	if _, ok := judge.TimedSince(); ok || judge.timedTotal() > 0 {
		t.Errorf("%d attempts timed without a baseline, want 0", judge.timedTotal())
	}
	judge.Add([]RouteCount{generator.counts("short", false, 40, 0), generator.counts("short", true, 40, 0)}, now.Add(time.Second))
	if verdict := judge.Verdict(); verdict.Finding != Bad {
		t.Errorf("got %+v with a baseline, want Bad", verdict)
	}
}
