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
		t.Fatal("want the ejected runner avoided, and only that one")
	}
	fakeClock.Advance(1001 * time.Millisecond)
	if store.Current().Avoided("i", fakeClock.Now()) {
		t.Fatal("an ejection does not expire without an update from the relay")
	}
	plan, _ := transport.Marshal(autoscaler.Routing{Runners: []autoscaler.RunnerWeight{{Runner: "k", Quarantined: true}}})
	store.Apply(gossip.Item{Key: autoscaler.RoutingKey, Version: 1, Body: plan})
	if !store.Current().Avoided("k", fakeClock.Now()) {
		t.Fatal("a runner that the plan quarantines is not avoided")
	}
	store.Apply(gossip.Item{Key: outlier.Key("z"), Version: 2, Body: []byte("broken")})
	if !store.Current().Avoided("k", fakeClock.Now()) {
		t.Fatal("an item that cannot be decoded ended a quarantine")
	}
}
