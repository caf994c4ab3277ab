package autoscaler

import (
	"testing"

	"onyxwell/base/ids"
)

// weightOf is what routers read out of the routing for a runner of a type.
func (r Routing) weightOf(id ids.RunnerID, kind Runner) (weight float64, resting bool) {
	for _, known := range r.Types {
		if known.Service == kind.Service && known.Version == kind.Version {
			weight = known.Weight
		}
	}
	for _, planned := range r.Runners {
		if planned.Runner == id {
			return planned.Weight, planned.Quarantined
		}
	}
	return weight, false
}

// TestRouting_similarRunnersShareOneWeight has runners that are alike but for noise: what
// routers are told does not grow with them, and is not told again.
func TestRouting_similarRunnersShareOneWeight(t *testing.T) {
	bench := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 9.8, "i3": 10.2}
	bench.run(30, rates, 15)
	bench.lastPlan(t)
	item, _ := bench.gossip.Get(RoutingKey)
	routing, err := ReadRouting(item.Body)
	if err != nil || len(routing.Types) != 1 || len(routing.Runners) != 0 {
		t.Fatalf("%+v %v", routing, err)
	}
	bench.run(20, rates, 15.3)
	if again, _ := bench.gossip.Get(RoutingKey); again.Version != item.Version {
		t.Fatal("a plan that says the same is told again")
	}
	bench = newHarness()
	bench.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 2, "i3": 10.2}, 15)
	bench.lastPlan(t)
	item, _ = bench.gossip.Get(RoutingKey)
	if routing, _ = ReadRouting(item.Body); len(routing.Runners) != 1 || routing.Runners[0].Runner != "i2" {
		t.Fatalf("a runner that is slow: %+v", routing)
	}
}
