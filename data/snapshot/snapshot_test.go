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

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestStore_neverGoesBack brings items in any order, as a torn network would:
// the spec's serial and each zone's only rise, and snapshots taken before stay
// what they were.
func TestStore_neverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := NewStore(Options{Clock: clock.NewFake()})
		news := gossip.NewStore(frame.Apply)
		newest, zone := ids.Serial(0), ids.Serial(0)
		for range rapid.IntRange(1, 40).Draw(t, "items") {
			before := frame.Current()
			held := *before
			serial := ids.Serial(rapid.IntRange(1, 30).Draw(t, "serial"))
			if rapid.Bool().Draw(t, "spec") {
				news.Put(gossip.Item{Key: "spec", Version: serial, Body: []byte(fmt.Sprintf(`{"config_version":%d}`, serial))})
				newest = max(newest, serial)
			} else {
				body, _ := transport.Marshal(evacuation.State{Version: serial, Drained: serial%2 == 1})
				news.Put(gossip.Item{Key: evacuation.Key("hall"), Version: serial, Body: body})
				zone = max(zone, serial)
			}
			if before.Config != held.Config || before.Evacuated["hall"] != held.Evacuated["hall"] {
				t.Fatal("a snapshot was changed after it was taken")
			}
			seen := frame.Current()
			if newest > 0 && seen.Config.Version != newest {
				t.Fatalf("the spec is at %d, not %d", seen.Config.Version, newest)
			}
			if seen.Evacuated["hall"] != (zone%2 == 1) {
				t.Fatalf("the zone is not as change %d left it", zone)
			}
		}
	})
}

func TestReady_needsConfigAndRunners(t *testing.T) {
	frame := NewStore(Options{Clock: clock.NewFake()})
	ready := func() bool {
		select {
		case <-frame.Ready():
			return true
		default:
			return false
		}
	}
	frame.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(`{"config_version":1}`)})
	if ready() {
		t.Fatal("ready without a list of runners")
	}
	frame.ApplyRunners(discovery.List{})
	if !ready() {
		t.Fatal("not ready with both")
	}
}

// TestApply_keepsRunnersOfOtherZones has one zone's part change: the runners of the
// others stay the same ones.
func TestApply_keepsRunnersOfOtherZones(t *testing.T) {
	frame := NewStore(Options{Clock: clock.NewFake()})
	tell := func(zone string, serial ids.Serial, names ...ids.RunnerID) {
		var list discovery.List
		for _, name := range names {
			list.Runners = append(list.Runners, discovery.Runner{ID: name, Service: "s", Zone: ids.Zone(zone)})
		}
		body, _ := transport.Marshal(list)
		frame.Apply(gossip.Item{Key: discovery.ZoneKey(ids.Zone(zone)), Version: serial, Body: body})
	}
	tell("a", 1, "i", "j")
	tell("b", 1, "k")
	kept := frame.Current().Find("i")
	tell("b", 2, "l")
	if kept == nil || frame.Current().Find("i") != kept || frame.Current().Find("k") != nil || frame.Current().Find("l") == nil {
		t.Fatalf("%+v", frame.Current().Runners)
	}
}
