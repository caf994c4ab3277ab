package snapshot

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/control/gossip"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

func TestRestsEndByThemselves(t *testing.T) {
	machine := clock.NewFake()
	frame := NewFrame(Options{Clock: machine})
	body, _ := transport.Marshal(outlier.Ejections{Runners: []outlier.Ejection{{Runner: "i", LeftMS: 1000}}})
	frame.Absorb(gossip.Item{Key: outlier.Key("z"), Version: 1, Body: body})
	if !frame.Now().Rests("i", machine.Now()) || frame.Now().Rests("j", machine.Now()) {
		t.Fatal("not the one that was told rests")
	}
	machine.Advance(1001 * clock.Millisecond)
	if frame.Now().Rests("i", machine.Now()) {
		t.Fatal("a rest outlives its time though its relay is silent")
	}
	plan, _ := transport.Marshal(autoscaler.Routing{Runners: []autoscaler.RunnerWeight{{Runner: "k", Quarantined: true}}})
	frame.Absorb(gossip.Item{Key: autoscaler.RoutingKey, Version: 1, Body: plan})
	if !frame.Now().Rests("k", machine.Now()) {
		t.Fatal("the plan's rest does not count")
	}
	frame.Absorb(gossip.Item{Key: outlier.Key("z"), Version: 2, Body: []byte("broken")})
	if !frame.Now().Rests("k", machine.Now()) {
		t.Fatal("a broken item changed something")
	}
}
