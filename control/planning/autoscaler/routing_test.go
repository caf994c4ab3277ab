package autoscaler

import (
	"testing"

	"onyxwell/base/ids"
)

// of is what routers read out of the routing for a runner of a type.
func (r Routing) of(id ids.RunnerID, kind Listed) (weight float64, resting bool) {
	for _, known := range r.Types {
		if known.Service == kind.Service && known.Version == kind.Version {
			weight = known.Weight
		}
	}
	for _, planned := range r.Runners {
		if planned.Runner == id {
			return planned.Weight, planned.Resting
		}
	}
	return weight, false
}

// TestPlanOfAlikeRunnersIsOneWeight has runners that are alike but for noise: what
// routers are told does not grow with them, and is not told again.
func TestPlanOfAlikeRunnersIsOneWeight(t *testing.T) {
	bench := newBench()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 9.8, "i3": 10.2}
	bench.pass(30, rates, 15)
	bench.plan(t)
	item, _ := bench.news.Get(Key)
	routing, err := ReadRouting(item.Body)
	if err != nil || len(routing.Types) != 1 || len(routing.Runners) != 0 {
		t.Fatalf("%+v %v", routing, err)
	}
	bench.pass(20, rates, 15.3)
	if again, _ := bench.news.Get(Key); again.Version != item.Version {
		t.Fatal("a plan that says the same is told again")
	}
	bench = newBench()
	bench.pass(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 2, "i3": 10.2}, 15)
	bench.plan(t)
	item, _ = bench.news.Get(Key)
	if routing, _ = ReadRouting(item.Body); len(routing.Runners) != 1 || routing.Runners[0].Runner != "i2" {
		t.Fatalf("a runner that is slow: %+v", routing)
	}
}
