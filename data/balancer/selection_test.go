package balancer

import (
	"fmt"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
)

func newCandidates(weights ...float64) []candidate {
	var found []candidate
	for index, weight := range weights {
		runner := &snapshot.Runner{Runner: discovery.Runner{ID: ids.RunnerID(fmt.Sprint("i", index))}, Region: "north"}
		found = append(found, candidate{runner: runner, weight: weight})
	}
	return found
}

// pickForPart is the runner for a prompt of one shared part.
func pickForPart(found []candidate, key string) candidate {
	return pickByAffinity(&Admission{}, found, key)
}

func TestPickByAffinity_sharesFollowWeights(t *testing.T) {
	found := newCandidates(1, 2, 5)
	counts := map[ids.RunnerID]int{}
	for key := range 8000 {
		counts[pickForPart(found, fmt.Sprint("part", key)).runner.ID]++
	}
	for id, want := range map[ids.RunnerID]int{"i0": 1000, "i1": 2000, "i2": 5000} {
		if got := counts[id]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s has %d, not about %d", id, got, want)
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
		t.Fatalf("%d parts moved though their runner stayed", moved)
	}
}

func TestPickByAffinity_skipsOverloadedRunner(t *testing.T) {
	found := newCandidates(1, 1, 1)
	home := pickForPart(found, "part")
	for index := range found {
		if found[index].runner.ID == home.runner.ID {
			found[index].load = 2
		}
	}
	if pickForPart(found, "part").runner.ID == home.runner.ID {
		t.Fatal("a full runner still gets the request")
	}
}

func TestAffinityKey_lastSharedPart(t *testing.T) {
	if key, keyed := affinityKey([]string{"a", "b", "own"}); !keyed || key != "b" {
		t.Fatalf("%q %v", key, keyed)
	}
	if _, keyed := affinityKey([]string{"own"}); keyed {
		t.Fatal("a prompt that shares nothing has an affinity")
	}
}

// TestFilterRegion_followsPlan has the plan's flows pick the region, and without
// any flow the own region.
func TestFilterRegion_followsPlan(t *testing.T) {
	found := newCandidates(1, 1)
	found[1].runner.Region = "south"
	decision := &Admission{service: "s", request: Request{Route: &config.Route{}}}
	count := func(seen *snapshot.Snapshot) int {
		north := 0
		for step := range 100 {
			gate := New(Options{Region: "north", Random: func() float64 { return float64(step) / 100 }})
			if gate.filterRegion(seen, decision, found)[0].runner.Region == "north" {
				north++
			}
		}
		return north
	}
	if got := count(&snapshot.Snapshot{}); got != 100 {
		t.Errorf("without a plan %d of 100 stay", got)
	}
	flows := []autoscaler.Flow{
		{Service: "s", Origin: "north", Target: "north", Share: 0.7}, {Service: "s", Origin: "north", Target: "south", Share: 0.3},
		{Service: "s", Origin: "south", Target: "south", Share: 1},
	}
	if got := count(&snapshot.Snapshot{Flows: flows}); got != 70 {
		t.Errorf("with a plan %d of 100 stay, not 70", got)
	}
}

// TestWorthCrossRegion_bySharedTokens has a prompt of many shared tokens in a short
// body go to where its parts were read, and one that shares little stay.
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

// TestFilterTimely_excludesSlowQueues has requests wait at runners for ever longer: those
// where the next would be late are left out, one that waits alone is no sign.
func TestFilterTimely_excludesSlowQueues(t *testing.T) {
	machine, board := clock.NewFake(), runnerstats.New()
	gate := New(Options{Stats: board})
	route := &config.Route{LatencyTargetMS: 1000, Priority: 1}
	found := newCandidates(1, 1, 1)
	send := func(id ids.RunnerID, number uint64, urgency int) {
		board.RequestSent(id, runnerstats.SentRequest{Number: number, Urgency: urgency}, machine.Now())
	}
	send("i0", 1, 1)
	send("i0", 2, 1)
	send("i1", 3, 1)
	send("i2", 4, 0)
	send("i2", 5, 0)
	if kept := gate.filterTimely(route, found, machine.Now()); len(kept) != 3 {
		t.Fatalf("%d of 3 before anybody waited", len(kept))
	}
	machine.Advance(700 * clock.Millisecond)
	kept := gate.filterTimely(route, found, machine.Now())
	if len(kept) != 2 || kept[0].runner.ID != "i1" || kept[1].runner.ID != "i2" {
		t.Fatalf("%d kept", len(kept))
	}
	if kept := gate.filterTimely(&config.Route{}, found, machine.Now()); len(kept) != 3 {
		t.Fatal("a route without a goal is held to one")
	}
}
