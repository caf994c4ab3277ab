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

func some(weights ...float64) []candidate {
	var found []candidate
	for index, weight := range weights {
		runner := &snapshot.Runner{Runner: discovery.Runner{ID: ids.RunnerID(fmt.Sprint("i", index))}, Region: "north"}
		found = append(found, candidate{runner: runner, weight: weight})
	}
	return found
}

// pick is the runner for a prompt of one shared part.
func pick(found []candidate, key string) candidate { return keyed(&Decision{}, found, key) }

func TestSharesFollowTheWeights(t *testing.T) {
	found := some(1, 2, 5)
	counts := map[ids.RunnerID]int{}
	for key := range 8000 {
		counts[pick(found, fmt.Sprint("part", key)).runner.ID]++
	}
	for id, want := range map[ids.RunnerID]int{"i0": 1000, "i1": 2000, "i2": 5000} {
		if got := counts[id]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s has %d, not about %d", id, got, want)
		}
	}
}

func TestPartsStayWhereTheyWereRead(t *testing.T) {
	before, after := some(1, 1, 1, 1), some(1, 1, 1)
	moved := 0
	for key := range 1000 {
		name := fmt.Sprint("part", key)
		first := pick(before, name).runner.ID
		if first != "i3" && pick(after, name).runner.ID != first {
			moved++
		}
	}
	if moved != 0 {
		t.Fatalf("%d parts moved though their runner stayed", moved)
	}
}

func TestFullRunnerIsPassedOver(t *testing.T) {
	found := some(1, 1, 1)
	home := pick(found, "part")
	for index := range found {
		if found[index].runner.ID == home.runner.ID {
			found[index].load = 2
		}
	}
	if pick(found, "part").runner.ID == home.runner.ID {
		t.Fatal("a full runner still gets the request")
	}
}

func TestAffinityIsOfTheLastSharedPart(t *testing.T) {
	if key, keyed := affinity([]string{"a", "b", "own"}); !keyed || key != "b" {
		t.Fatalf("%q %v", key, keyed)
	}
	if _, keyed := affinity([]string{"own"}); keyed {
		t.Fatal("a prompt that shares nothing has an affinity")
	}
}

// TestPlanDecidesTheRegion has the plan's flows pick the region, and without
// any flow the own region.
func TestPlanDecidesTheRegion(t *testing.T) {
	found := some(1, 1)
	found[1].runner.Region = "south"
	decision := &Decision{service: "s", asking: Asking{Route: &config.Route{}}}
	count := func(seen *snapshot.Snapshot) int {
		north := 0
		for step := range 100 {
			gate := NewGate(Options{Region: "north", Chance: func() float64 { return float64(step) / 100 }})
			if gate.region(seen, decision, found)[0].runner.Region == "north" {
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

// TestPromptsThatShareMuchTravel has a prompt of many shared tokens in a short
// body go to where its parts were read, and one that shares little stay.
func TestPromptsThatShareMuchTravel(t *testing.T) {
	var long, short Asking
	long.Prompt("a:500,b:5000,own:6000")
	long.Bytes = 12000
	short.Prompt("a:300, b:200, own:1800")
	short.Bytes = 2400
	if long.Shared != 5500 || long.Tokens != 11500 || len(long.Parts) != 3 || !travels(long) {
		t.Errorf("%+v", long)
	}
	if short.Shared != 500 || travels(short) {
		t.Errorf("%+v", short)
	}
}

// TestNobodyIsLetInToBeLate has requests wait at runners for ever longer: those
// where the next would be late are left out, one that waits alone is no sign.
func TestNobodyIsLetInToBeLate(t *testing.T) {
	machine, board := clock.NewFake(), runnerstats.NewBoard()
	gate := NewGate(Options{Board: board})
	route := &config.Route{LatencyTargetMS: 1000, Priority: 1}
	found := some(1, 1, 1)
	send := func(id ids.RunnerID, number uint64, urgency int) {
		board.Sent(id, runnerstats.Sending{Number: number, Urgency: urgency}, machine.Now())
	}
	send("i0", 1, 1)
	send("i0", 2, 1)
	send("i1", 3, 1)
	send("i2", 4, 0)
	send("i2", 5, 0)
	if kept := gate.timely(route, found, machine.Now()); len(kept) != 3 {
		t.Fatalf("%d of 3 before anybody waited", len(kept))
	}
	machine.Advance(700 * clock.Millisecond)
	kept := gate.timely(route, found, machine.Now())
	if len(kept) != 2 || kept[0].runner.ID != "i1" || kept[1].runner.ID != "i2" {
		t.Fatalf("%d kept", len(kept))
	}
	if kept := gate.timely(&config.Route{}, found, machine.Now()); len(kept) != 3 {
		t.Fatal("a route without a goal is held to one")
	}
}
