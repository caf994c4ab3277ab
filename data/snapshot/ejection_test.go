package snapshot

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/gossip"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

func TestAvoided_ejectionExpires(t *testing.T) {
	fakeClock := clock.NewFake()
	store := NewStore(Options{Clock: fakeClock})
	body, _ := transport.Marshal(outlier.Ejections{Runners: []outlier.Ejection{{Runner: "i", LeftMS: 1000}}})
	store.Apply(gossip.Item{Key: outlier.Key("z"), Version: 1, Body: body})
	if !store.Current().Avoided("i", fakeClock.Now()) || store.Current().Avoided("j", fakeClock.Now()) {
		t.Fatal("not the runner that was reported is ejected")
	}
	fakeClock.Advance(1001 * time.Millisecond)
	if store.Current().Avoided("i", fakeClock.Now()) {
		t.Fatal("an ejection outlives its time while its relay is silent")
	}
	plan, _ := transport.Marshal(autoscaler.Routing{Runners: []autoscaler.RunnerWeight{{Runner: "k", Quarantined: true}}})
	store.Apply(gossip.Item{Key: autoscaler.RoutingKey, Version: 1, Body: plan})
	if !store.Current().Avoided("k", fakeClock.Now()) {
		t.Fatal("the plan's quarantine does not count")
	}
	store.Apply(gossip.Item{Key: outlier.Key("z"), Version: 2, Body: []byte("broken")})
	if !store.Current().Avoided("k", fakeClock.Now()) {
		t.Fatal("a broken item changed something")
	}
}
