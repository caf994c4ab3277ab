package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// badness is how a version's attempts differ from a good one's.
type badness struct {
	name string
	// fails is the part of attempts that fail, slower by how much all take longer, on the
	// routes for which only is true; nil are all.
	fails  float64
	slower float64
	only   func(route string) bool
	from   time.Duration
}

func (b badness) applies(route string, since time.Duration) bool {
	return since >= b.from && (b.only == nil || b.only(route))
}

// evidence draws what routers report of one tick.
type evidence struct {
	random *rand.Rand
	// background is the part of attempts that fail at either version.
	background float64
	badness    badness
}

func (e evidence) counts(route string, target bool, attempts int, since time.Duration) RouteCount {
	count := RouteCount{Route: route, Target: target}
	var firstByte, whole Histogram
	bad := target && e.badness.applies(route, since)
	for range attempts {
		count.Ended++
		fails := e.background
		if bad {
			fails += e.badness.fails
		}
		if e.random.Float64() < fails {
			count.Failed++
			continue
		}
		factor := 1.0
		if bad && e.badness.slower > 0 {
			factor = e.badness.slower
		}
		spread := 0.6 + 0.8*e.random.Float64() + 0.5*e.random.ExpFloat64()
		firstByte.Add(time.Duration(factor * spread * float64(80*time.Millisecond)))
		whole.Add(time.Duration(factor * spread * float64(400*time.Millisecond)))
	}
	count.FirstByte, count.Whole = firstByte.Buckets(), whole.Buckets()
	return count
}

// judgedRoutes are the routes of judgeFor, with their parts of the requests. Their order is that
// in which random numbers are drawn.
var judgedRoutes = []struct {
	name string
	part float64
}{{"long", 0.16}, {"short", 0.84}}

// judgeFor plays a rollout's canary with so many requests a second on two routes, a share
// of which goes to the target version, and returns the first finding and when it was made.
func judgeFor(seed uint64, perS, share float64, drawn evidence, lasts time.Duration) (Finding, time.Duration) {
	const tick = 100 * time.Millisecond
	drawn.random = rand.New(rand.NewPCG(seed, 1))
	judge := NewJudge()
	now := clock.Instant(time.Hour)
	attempts := func(rate float64) int {
		whole := int(rate * tick.Seconds())
		if drawn.random.Float64() < rate*tick.Seconds()-float64(whole) {
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
		for _, route := range judgedRoutes {
			counts = append(counts, drawn.counts(route.name, false, attempts(perS*route.part*(1-share)), since))
			if since >= 0 {
				counts = append(counts, drawn.counts(route.name, true, attempts(perS*route.part*share), since))
			}
		}
		judge.Add(counts, now)
		if verdict := judge.Verdict(); verdict.Finding == Bad {
			return Bad, since
		}
	}
	return judge.Verdict().Finding, lasts
}

// canaryTimeOfTest is how long the canary of a term of 12 s may last (canaryLongest).
const canaryTimeOfTest = 6600 * time.Millisecond

// TestJudge_revertsNoGoodVersion bounds how often a version that does as the old one does
// is found bad, with what befalls all runners alike beside it.
func TestJudge_revertsNoGoodVersion(t *testing.T) {
	for _, background := range []float64{0, 0.01, 0.05, 0.2} {
		wrong, undecided := 0, 0
		const seeds = 1000
		for seed := range uint64(seeds) {
			finding, _ := judgeFor(seed, 300, 0.12, evidence{background: background}, canaryTimeOfTest)
			switch finding {
			case Bad:
				wrong++
			case Undecided:
				undecided++
			}
		}
		if wrong > 1 {
			t.Errorf("background %.2f: %d of %d good versions are found bad", background, wrong, seeds)
		}
		if background <= 0.01 && undecided > seeds/100 {
			t.Errorf("background %.2f: %d of %d good versions have no finding after %v", background, undecided, seeds, canaryTimeOfTest)
		}
	}
}

// TestJudge_findsBadVersions bounds the time in which each form of badness is found.
func TestJudge_findsBadVersions(t *testing.T) {
	long := func(route string) bool { return route == "long" }
	cases := []struct {
		badness
		perS   float64
		within time.Duration
	}{
		{badness{name: "half fail", fails: 0.5}, 1382, 500 * time.Millisecond},
		{badness{name: "half fail, few requests", fails: 0.5}, 100, 3500 * time.Millisecond},
		{badness{name: "three in ten fail", fails: 0.3}, 1382, time.Second},
		{badness{name: "eight times slower", slower: 8}, 1382, 500 * time.Millisecond},
		{badness{name: "five times slower", slower: 5}, 1382, 500 * time.Millisecond},
		{badness{name: "half fail on the rare route", fails: 0.5, only: long}, 1382, 2 * time.Second},
		{badness{name: "slow on the rare route", slower: 8, only: long}, 1382, 2 * time.Second},
		{badness{name: "half fail from 3.3 s on", fails: 0.5, from: 3300 * time.Millisecond}, 1382, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(200) {
				finding, at := judgeFor(seed, test.perS, 0.12, evidence{background: 0.01, badness: test.badness}, 8*time.Second)
				if finding != Bad || at > test.within {
					t.Fatalf("seed %d: finding %d after %v, not within %v", seed, finding, at, test.within)
				}
			}
		})
	}
}

// TestJudge_needsEvidence has no finding be made of too little.
func TestJudge_needsEvidence(t *testing.T) {
	if finding, _ := judgeFor(1, 300, 0.12, evidence{}, 300*time.Millisecond); finding != Undecided {
		t.Errorf("finding %d after 0.3 s", finding)
	}
	judge := NewJudge()
	judge.Add([]RouteCount{{Route: "short", Ended: 500}, {Route: "long", Ended: 100}, {Route: "short", Target: true, Ended: 200, FirstByte: []Bucket{{Index: 1, Count: 200}}}}, 1)
	if verdict := judge.Verdict(); verdict.Finding != Undecided {
		t.Errorf("a route without evidence: %+v", verdict)
	}
}

// TestJudge_aloneFindsOneRoute has a route that fails be found at once where the others at the
// same version do not.
func TestJudge_aloneFindsOneRoute(t *testing.T) {
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

// TestJudge_aloneBearsWhatBefallsAll has no version be found bad for what befalls all runners
// once there is no other to compare with.
func TestJudge_aloneBearsWhatBefallsAll(t *testing.T) {
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

// TestJudge_timesCountOnlyBesideControl has a Judge that knows nothing of the old version, as
// after a takeover, get attempts at a slow one: they do not speak for it.
func TestJudge_timesCountOnlyBesideControl(t *testing.T) {
	drawn := evidence{random: rand.New(rand.NewPCG(1, 1)), badness: badness{slower: 8}}
	judge, now := NewJudge(), clock.Instant(time.Hour)
	judge.BeginStage(Canary)
	judge.Add([]RouteCount{drawn.counts("short", true, 40, 0)}, now)
	if _, ok := judge.TimedSince(); ok || judge.timedTotal() > 0 {
		t.Errorf("%d attempts timed without a control", judge.timedTotal())
	}
	judge.Add([]RouteCount{drawn.counts("short", false, 40, 0), drawn.counts("short", true, 40, 0)}, now.Add(time.Second))
	if verdict := judge.Verdict(); verdict.Finding != Bad {
		t.Errorf("%+v beside a control, should be found bad", verdict)
	}
}
