package snapshot

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/control/gossip"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

func TestEjected_expires(t *testing.T) {
	machine := clock.NewFake()
	frame := NewStore(Options{Clock: machine})
	body, _ := transport.Marshal(outlier.Ejections{Runners: []outlier.Ejection{{Runner: "i", LeftMS: 1000}}})
	frame.Apply(gossip.Item{Key: outlier.Key("z"), Version: 1, Body: body})
	if !frame.Current().Ejected("i", machine.Now()) || frame.Current().Ejected("j", machine.Now()) {
		t.Fatal("not the one that was told rests")
	}
	machine.Advance(1001 * clock.Millisecond)
	if frame.Current().Ejected("i", machine.Now()) {
		t.Fatal("a rest outlives its time though its relay is silent")
	}
	plan, _ := transport.Marshal(autoscaler.Routing{Runners: []autoscaler.RunnerWeight{{Runner: "k", Quarantined: true}}})
	frame.Apply(gossip.Item{Key: autoscaler.RoutingKey, Version: 1, Body: plan})
	if !frame.Current().Ejected("k", machine.Now()) {
		t.Fatal("the plan's rest does not count")
	}
	frame.Apply(gossip.Item{Key: outlier.Key("z"), Version: 2, Body: []byte("broken")})
	if !frame.Current().Ejected("k", machine.Now()) {
		t.Fatal("a broken item changed something")
	}
}
