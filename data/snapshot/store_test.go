package snapshot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

func TestMain(m *testing.M) { proptest.Run(m) }

// TestStore_versionsNeverDecrease applies items in random order and checks that the
// versions of the configuration and of a zone's evacuation never decrease, and that
// earlier snapshots are not modified.
func TestStore_versionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(Options{Clock: clock.NewFake()})
		updates := gossip.NewStore(store.Apply)
		configVersion, zoneVersion := ids.Version(0), ids.Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "items") {
			before := store.Current()
			copied := *before
			version := ids.Version(rapid.IntRange(1, 30).Draw(t, "version"))
			if rapid.Bool().Draw(t, "config") {
				updates.Put(gossip.Item{Key: "spec", Version: version, Body: []byte(fmt.Sprintf(`{"config_version":%d}`, version))})
				configVersion = max(configVersion, version)
			} else {
				body, _ := transport.Marshal(evacuation.State{Version: version, Drained: version%2 == 1})
				updates.Put(gossip.Item{Key: evacuation.Key("hall"), Version: version, Body: body})
				zoneVersion = max(zoneVersion, version)
			}
			if before.Config != copied.Config || before.Evacuated["hall"] != copied.Evacuated["hall"] {
				t.Fatal("an update modified an earlier snapshot")
			}
			current := store.Current()
			if configVersion > 0 && current.Config.Version != configVersion {
				t.Fatalf("the configuration has version %d, want %d", current.Config.Version, configVersion)
			}
			if current.Evacuated["hall"] != (zoneVersion%2 == 1) {
				t.Fatalf("the evacuation state of the zone is not that of version %d", zoneVersion)
			}
		}
	})
}

func TestReady_needsConfigAndRunners(t *testing.T) {
	store := NewStore(Options{Clock: clock.NewFake()})
	ready := func() bool {
		select {
		case <-store.Ready():
			return true
		default:
			return false
		}
	}
	store.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(`{"config_version":1}`)})
	if ready() {
		t.Fatal("ready without a list of runners")
	}
	store.ApplyRunners(discovery.List{})
	if !ready() {
		t.Fatal("not ready with a configuration and a list of runners")
	}
}

// TestApply_keepsRunnersOfOtherZones checks that an update of one zone's part of the
// list replaces the runners of that zone and reuses the Runner values of the others.
func TestApply_keepsRunnersOfOtherZones(t *testing.T) {
	store := NewStore(Options{Clock: clock.NewFake()})
	publish := func(zone ids.Zone, version ids.Version, names ...ids.RunnerID) {
		var list discovery.List
		for _, name := range names {
			list.Runners = append(list.Runners, discovery.Runner{ID: name, Service: "s", Zone: zone})
		}
		body, _ := transport.Marshal(list)
		store.Apply(gossip.Item{Key: discovery.ZoneKey(zone), Version: version, Body: body})
	}
	publish("a", 1, "i", "j")
	publish("b", 1, "k")
	kept := store.Current().Find("i")
	publish("b", 2, "l")
	if kept == nil || store.Current().Find("i") != kept || store.Current().Find("k") != nil || store.Current().Find("l") == nil {
		t.Fatalf("unexpected runners %+v", store.Current().Runners)
	}
}
