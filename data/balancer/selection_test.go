package balancer

import (
	"fmt"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
)

// newCandidates returns idle candidates with ids i0, i1, ... and the given weights.
func newCandidates(weights ...float64) []candidate {
	var candidates []candidate
	for index, weight := range weights {
		runner := &snapshot.Runner{Runner: discovery.Runner{ID: ids.RunnerID(fmt.Sprint("i", index))}, Region: "north"}
		candidates = append(candidates, candidate{runner: runner, weight: weight})
	}
	return candidates
}

// pickForPart returns the candidate picked for a prompt whose prefix is not rare, by the
// given affinity key.
func pickForPart(candidates []candidate, key string) candidate {
	return pickByAffinity(&Admission{}, candidates, key)
}

func TestPickByAffinity_sharesFollowWeights(t *testing.T) {
	candidates := newCandidates(1, 2, 5)
	counts := map[ids.RunnerID]int{}
	for key := range 8000 {
		counts[pickForPart(candidates, fmt.Sprint("part", key)).runner.ID]++
	}
	for id, want := range map[ids.RunnerID]int{"i0": 1000, "i1": 2000, "i2": 5000} {
		if got := counts[id]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s got %d of 8000 keys, want about %d", id, got, want)
		}
	}
}

func TestPickByAffinity_stableWhenRunnerLeaves(t *testing.T) {
	before, after := newCandidates(1, 1, 1, 1), newCandidates(1, 1, 1)
	moved := 0
	for key := range 1000 {
		name := fmt.Sprint("part", key)
		first := pickForPart(before, name).runner.ID
		if first != "i3" && pickForPart(after, name).runner.ID != first {
			moved++
		}
	}
	if moved != 0 {
		t.Fatalf("%d keys moved although their runner stayed", moved)
	}
}

func TestPickByAffinity_skipsOverloadedRunner(t *testing.T) {
	candidates := newCandidates(1, 1, 1)
	home := pickForPart(candidates, "part")
	for index := range candidates {
		if candidates[index].runner.ID == home.runner.ID {
			candidates[index].load = 2
		}
	}
	if pickForPart(candidates, "part").runner.ID == home.runner.ID {
		t.Fatal("picked an overloaded runner")
	}
}

func TestAffinityKey_lastSharedPart(t *testing.T) {
	if key, ok := affinityKey([]string{"a", "b", "own"}); !ok || key != "b" {
		t.Fatalf("got key %q, %v; want \"b\", true", key, ok)
	}
	if _, ok := affinityKey([]string{"own"}); ok {
		t.Fatal("a prompt without shared parts has an affinity key")
	}
}

// TestFilterRegion_followsPlan checks that requests are distributed over regions by the
// flows of the plan, and stay in the router's own region without a plan.
func TestFilterRegion_followsPlan(t *testing.T) {
	candidates := newCandidates(1, 1)
	candidates[1].runner.Region = "south"
	admission := &Admission{service: "s", request: Request{Route: &config.Route{}}}
	count := func(snap *snapshot.Snapshot) int {
		north := 0
		for step := range 100 {
			b := New(Options{Region: "north", Random: func() float64 { return float64(step) / 100 }})
			if b.filterRegion(snap, admission, candidates)[0].runner.Region == "north" {
				north++
			}
		}
		return north
	}
	if got := count(&snapshot.Snapshot{}); got != 100 {
		t.Errorf("without a plan %d of 100 requests stay in the region, want all", got)
	}
	flows := []autoscaler.Flow{
		{Service: "s", Origin: "north", Target: "north", Share: 0.7}, {Service: "s", Origin: "north", Target: "south", Share: 0.3},
		{Service: "s", Origin: "south", Target: "south", Share: 1},
	}
	if got := count(&snapshot.Snapshot{Flows: flows}); got != 70 {
		t.Errorf("with a plan %d of 100 requests stay in the region, want 70", got)
	}
}

// TestWorthCrossRegion_bySharedTokens checks a prompt with many shared tokens per byte
// of its body, which is worth sending to another region, and one with few, which is not.
func TestWorthCrossRegion_bySharedTokens(t *testing.T) {
	var long, short Request
	long.ParsePromptParts("a:500,b:5000,own:6000")
	long.BodyBytes = 12000
	short.ParsePromptParts("a:300, b:200, own:1800")
	short.BodyBytes = 2400
	if long.SharedTokens != 5500 || long.PartTokens != 11500 || len(long.PromptParts) != 3 || !worthCrossRegion(long) {
		t.Errorf("%+v", long)
	}
	if short.SharedTokens != 500 || worthCrossRegion(short) {
		t.Errorf("%+v", short)
	}
}

// TestFilterTimely_excludesSlowQueues checks that a runner is excluded once requests of
// the same priority have waited there for too long, but not if only one request waits
// (i1) or if those that wait have another priority (i2).
func TestFilterTimely_excludesSlowQueues(t *testing.T) {
	clk, stats := clock.NewFake(), runnerstats.New()
	b := New(Options{Stats: stats})
	route := &config.Route{LatencyTargetMS: 1000, Priority: 1}
	candidates := newCandidates(1, 1, 1)
	send := func(id ids.RunnerID, number uint64, priority int) {
		stats.RequestSent(id, runnerstats.SentRequest{Number: number, Priority: priority}, clk.Now())
	}
	send("i0", 1, 1)
	send("i0", 2, 1)
	send("i1", 3, 1)
	send("i2", 4, 0)
	send("i2", 5, 0)
	if timely := b.filterTimely(&Request{Route: route}, candidates, clk.Now()); len(timely) != 3 {
		t.Fatalf("%d of 3 candidates are left before any request has waited", len(timely))
	}
	clk.Advance(700 * time.Millisecond)
	timely := b.filterTimely(&Request{Route: route}, candidates, clk.Now())
	if len(timely) != 2 || timely[0].runner.ID != "i1" || timely[1].runner.ID != "i2" {
		t.Fatalf("got %d candidates, want i1 and i2", len(timely))
	}
	if timely := b.filterTimely(&Request{Route: &config.Route{}}, candidates, clk.Now()); len(timely) != 3 {
		t.Fatal("candidates are excluded although the route has no latency target")
	}
}
