package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// defect is how a version's attempts differ from a good one's.
type defect struct {
	name string
	// failureRate is the part of attempts that fail, slower by how much all take longer, on the
	// routes for which only is true; nil are all.
	failureRate float64
	slowdown    float64
	onRoute     func(route string) bool
	from        time.Duration
}

func (b defect) applies(route string, since time.Duration) bool {
	return since >= b.from && (b.onRoute == nil || b.onRoute(route))
}

// attemptGenerator draws what routers report of one tick.
type attemptGenerator struct {
	random *rand.Rand
	// baseFailureRate is the part of attempts that fail at either version.
	baseFailureRate float64
	defect          defect
}

func (e attemptGenerator) counts(route string, target bool, attempts int, since time.Duration) RouteCount {
	count := RouteCount{Route: route, Target: target}
	var firstByte, whole Histogram
	bad := target && e.defect.applies(route, since)
	for range attempts {
		count.Ended++
		fails := e.baseFailureRate
		if bad {
			fails += e.defect.failureRate
		}
		if e.random.Float64() < fails {
			count.Failed++
			continue
		}
		factor := 1.0
		if bad && e.defect.slowdown > 0 {
			factor = e.defect.slowdown
		}
		spread := 0.6 + 0.8*e.random.Float64() + 0.5*e.random.ExpFloat64()
		firstByte.Add(time.Duration(factor * spread * float64(80*time.Millisecond)))
		whole.Add(time.Duration(factor * spread * float64(400*time.Millisecond)))
	}
	count.FirstByte, count.Whole = firstByte.Buckets(), whole.Buckets()
	return count
}

// simulatedRoutes are the routes of judgeFor, with their parts of the requests. Their order is that
// in which random numbers are drawn.
var simulatedRoutes = []struct {
	name  string
	share float64
}{{"long", 0.16}, {"short", 0.84}}

// simulateCanary plays a rollout's canary with so many requests a second on two routes, a share
// of which goes to the target version, and returns the first finding and when it was made.
func simulateCanary(seed uint64, perS, share float64, generator attemptGenerator, lasts time.Duration) (Finding, time.Duration) {
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
	for since := -time.Second; since < lasts; since += tick {
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
	return judge.Verdict().Finding, lasts
}

// simulatedCanaryTime is how long the canary of a term of 12 s may last (canaryLongest).
const simulatedCanaryTime = 6600 * time.Millisecond

// TestJudge_acceptsGoodVersions bounds how often a version that does as the old one does
// is found bad, with what befalls all runners alike beside it.
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
			t.Errorf("background %.2f: %d of %d good versions are found bad", baseFailureRate, wrong, seeds)
		}
		if baseFailureRate <= 0.01 && undecided > seeds/100 {
			t.Errorf("background %.2f: %d of %d good versions have no finding after %v", baseFailureRate, undecided, seeds, simulatedCanaryTime)
		}
	}
}

// TestJudge_findsBadVersions bounds the time in which each form of badness is found.
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

// TestJudge_needsEvidence has no finding be made of too little.
func TestJudge_needsEvidence(t *testing.T) {
	if finding, _ := simulateCanary(1, 300, 0.12, attemptGenerator{}, 300*time.Millisecond); finding != Undecided {
		t.Errorf("finding %d after 0.3 s", finding)
	}
	judge := NewJudge()
	judge.Add([]RouteCount{{Route: "short", Ended: 500}, {Route: "long", Ended: 100}, {Route: "short", Target: true, Ended: 200, FirstByte: []Bucket{{Index: 1, Count: 200}}}}, 1)
	if verdict := judge.Verdict(); verdict.Finding != Undecided {
		t.Errorf("a route without evidence: %+v", verdict)
	}
}

// TestJudge_withoutBaselineFindsFailingRoute has a route that fails be found at once where the others at the
// same version do not.
func TestJudge_withoutBaselineFindsFailingRoute(t *testing.T) {
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
			t.Fatalf("no doubt after %d attempts, half of which failed", 2*attempts)
		}
	}
}

// TestJudge_withoutBaselineToleratesCommonFailures has no version be found bad for what befalls all runners
// once there is no other to compare with.
func TestJudge_withoutBaselineToleratesCommonFailures(t *testing.T) {
	judge := NewJudge()
	judge.BeginStage(Full)
	now := clock.Instant(time.Hour)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 100, Failed: 18}}, now)
	}
	if verdict := judge.Verdict(); verdict.Finding == Bad {
		t.Errorf("%+v", verdict)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		judge.Add([]RouteCount{{Route: "short", Target: true, Ended: 100, Failed: 45}}, now)
	}
	if verdict := judge.Verdict(); verdict.Finding != Bad {
		t.Errorf("%+v", verdict)
	}
}

// TestJudge_timesCountOnlyWithBaseline has a Judge that knows nothing of the old version, as
// after a takeover, get attempts at a slow one: they do not speak for it.
func TestJudge_timesCountOnlyWithBaseline(t *testing.T) {
	generator := attemptGenerator{random: rand.New(rand.NewPCG(1, 1)), defect: defect{slowdown: 8}}
	judge, now := NewJudge(), clock.Instant(time.Hour)
	judge.BeginStage(Canary)
	judge.Add([]RouteCount{generator.counts("short", true, 40, 0)}, now)
	if _, ok := judge.TimedSince(); ok || judge.timedTotal() > 0 {
		t.Errorf("%d attempts timed without a control", judge.timedTotal())
	}
	judge.Add([]RouteCount{generator.counts("short", false, 40, 0), generator.counts("short", true, 40, 0)}, now.Add(time.Second))
	if verdict := judge.Verdict(); verdict.Finding != Bad {
		t.Errorf("%+v beside a control, should be found bad", verdict)
	}
}
