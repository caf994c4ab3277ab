package autoscaler

import (
	"testing"

	"onyxwell/base/ids"
)

// weightOf returns the weight and the quarantine of a runner, as routers derive them from
// the routing.
func (r Routing) weightOf(id ids.RunnerID, runner Runner) (weight float64, quarantined bool) {
	for _, typeWeight := range r.Types {
		if typeWeight.Service == runner.Service && typeWeight.Version == runner.Version {
			weight = typeWeight.Weight
		}
	}
	for _, own := range r.Runners {
		if own.Runner == id {
			return own.Weight, own.Quarantined
		}
	}
	return weight, false
}

// TestRouting_similarRunnersShareOneWeight checks that runners which differ only by noise
// share the weight of their type without the routing being published again, and that a
// slow runner has a weight of its own.
func TestRouting_similarRunnersShareOneWeight(t *testing.T) {
	h := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 9.8, "i3": 10.2}
	h.run(30, rates, 15)
	h.lastPlan(t)
	item, _ := h.gossip.Get(RoutingKey)
	routing, err := ReadRouting(item.Body)
	if err != nil || len(routing.Types) != 1 || len(routing.Runners) != 0 {
		t.Fatalf("routing %+v, error %v", routing, err)
	}
	h.run(20, rates, 15.3)
	if again, _ := h.gossip.Get(RoutingKey); again.Version != item.Version {
		t.Fatal("an unchanged routing was published again")
	}
	h = newHarness()
	h.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10.4, "i2": 2, "i3": 10.2}, 15)
	h.lastPlan(t)
	item, _ = h.gossip.Get(RoutingKey)
	if routing, _ = ReadRouting(item.Body); len(routing.Runners) != 1 || routing.Runners[0].Runner != "i2" {
		t.Fatalf("a slow runner has no weight of its own: %+v", routing)
	}
}
