package snapshot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/fixed"
	"onyxwell/base/ids"
	"onyxwell/control/courier"
	"onyxwell/control/discovery"
	"onyxwell/control/evacuation"
	"onyxwell/control/spread"
)

func TestMain(tests *testing.M) { fixed.Run(tests) }

// TestPictureNeverGoesBack brings items in any order, as a torn network would:
// the spec's serial and each zone's only rise, and snapshots taken before stay
// what they were.
func TestPictureNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := NewFrame(Options{Clock: clock.NewFake()})
		news := spread.NewNews(frame.Absorb)
		newest, zone := ids.Serial(0), ids.Serial(0)
		for range rapid.IntRange(1, 40).Draw(t, "items") {
			before := frame.Now()
			held := *before
			serial := ids.Serial(rapid.IntRange(1, 30).Draw(t, "serial"))
			if rapid.Bool().Draw(t, "spec") {
				news.Put(spread.Item{Key: "spec", Serial: serial, Body: []byte(fmt.Sprintf(`{"config_version":%d}`, serial))})
				newest = max(newest, serial)
			} else {
				body, _ := courier.Pack(evacuation.Kept{Serial: serial, Empty: serial%2 == 1})
				news.Put(spread.Item{Key: evacuation.Key("hall"), Serial: serial, Body: body})
				zone = max(zone, serial)
			}
			if before.Spec != held.Spec || before.Empty["hall"] != held.Empty["hall"] {
				t.Fatal("a snapshot was changed after it was taken")
			}
			seen := frame.Now()
			if newest > 0 && seen.Spec.Serial != newest {
				t.Fatalf("the spec is at %d, not %d", seen.Spec.Serial, newest)
			}
			if seen.Empty["hall"] != (zone%2 == 1) {
				t.Fatalf("the zone is not as change %d left it", zone)
			}
		}
	})
}

func TestReadyWantsSpecAndRunners(t *testing.T) {
	frame := NewFrame(Options{Clock: clock.NewFake()})
	ready := func() bool {
		select {
		case <-frame.Ready():
			return true
		default:
			return false
		}
	}
	frame.Absorb(spread.Item{Key: "spec", Serial: 1, Body: []byte(`{"config_version":1}`)})
	if ready() {
		t.Fatal("ready without a list of runners")
	}
	frame.Take(discovery.List{})
	if !ready() {
		t.Fatal("not ready with both")
	}
}

func TestBeatVouchesOnlyForItsOwnList(t *testing.T) {
	machine := clock.NewFake()
	frame := NewFrame(Options{Clock: machine})
	list, _ := courier.Pack(discovery.List{Runners: []discovery.Runner{{ID: "i", Service: "s"}}})
	frame.Absorb(spread.Item{Key: discovery.Key, Serial: 4, Body: list})
	begin := frame.Now().Census
	machine.Move(clock.Second)
	for serial, moved := range map[ids.Serial]bool{3: false, 5: false} {
		beat, _ := courier.Pack(discovery.Beat{List: serial})
		frame.Absorb(spread.Item{Key: discovery.BeatKey, Serial: 9, Body: beat})
		if (frame.Now().Census != begin) != moved {
			t.Fatalf("the beat of list %d counts for list 4", serial)
		}
	}
	beat, _ := courier.Pack(discovery.Beat{List: 4})
	frame.Absorb(spread.Item{Key: discovery.BeatKey, Serial: 10, Body: beat})
	if frame.Now().Census == begin {
		t.Fatal("the beat of the own list does not count")
	}
	if runner := frame.Now().Find("i"); runner == nil || frame.Now().Find("j") != nil {
		t.Fatalf("%+v", runner)
	}
}
