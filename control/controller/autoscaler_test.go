package controller

import (
	"context"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/daemon"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/rollout"
	"onyxwell/control/transport"
)

func put[Value any](t *testing.T, updates *gossip.Store, key string, value Value) {
	t.Helper()
	body, err := transport.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	updates.Put(gossip.Item{Key: key, Version: 1, Body: body})
}

// TestListRunners_withoutVersionsThatGetNothing guards against plans that count runners of a
// reverted version, or of one that no order names, as capacity.
func TestListRunners_withoutVersionsThatGetNothing(t *testing.T) {
	fake, updates := clock.NewFake(), gossip.NewStore(func(gossip.Item) {})
	c := &Controller{
		clock: fake, settings: &settings.Settings{Zones: map[ids.Zone]ids.Region{"zone": "region"}},
		daemon: &daemon.Daemon{Updates: updates}, view: discovery.NewView(discovery.ViewOptions{Clock: fake}),
	}
	c.director = rollout.NewDirector(rollout.DirectorOptions{
		Clock: fake, Updates: updates, Runners: c.runnersForRollout, Held: func(clock.Instant) (int64, bool) { return 0, false },
	})
	var list discovery.List
	for _, version := range []string{"v1", "v2", "v3", "v4"} {
		list.Runners = append(list.Runners, discovery.Runner{ID: ids.RunnerID(version), Service: "s", Zone: "zone", Version: version})
	}
	c.view.SetLocal(list)
	put(t, updates, rollout.Key("s"), rollout.Record{Version: 1, Order: 2, Target: "v3", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}})
	put(t, updates, rollout.StableKey("s"), rollout.StableRecord{Version: 1, Order: 2, Target: "v3", Stable: "v1"})
	c.director.Step(context.Background())
	want := map[ids.RunnerID]bool{"v1": true, "v2": false, "v3": true, "v4": false}
	for _, runner := range c.listRunners() {
		if runner.Ready != want[runner.ID] {
			t.Errorf("runner of %s: ready %t, want %t", runner.Version, runner.Ready, want[runner.ID])
		}
	}
}
