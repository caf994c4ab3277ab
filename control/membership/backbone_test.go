package membership

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

func newZoneTable(machine clock.Clock, address ids.Address, zone ids.Zone) *Table {
	return NewTable(machine, Member{Address: address, Zone: zone, Role: "router"})
}

func TestTable_tracksOnlyBackboneOfOtherZones(t *testing.T) {
	machine := clock.NewFake()
	known := newZoneTable(machine, "a:1", "east")
	known.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1},
		{Address: "c:1", Zone: "west", Incarnation: 1},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "e:1", Zone: "west", Incarnation: 1, ServesControl: true},
	})
	if count := len(known.Members()); count != 4 {
		t.Fatalf("%d members: %v", count, known.Members())
	}
	if told := known.MembersFor("west"); len(told) != 3 {
		t.Fatalf("another zone is told of %v", told)
	}
	if told := known.MembersFor("east"); len(told) != 4 {
		t.Fatalf("the own zone is told of %v", told)
	}
}

// TestTable_formerRelayIsNotRevived has a relay of another zone cease to be one: an
// older report must not bring it back, and sums of both zones agree again.
func TestTable_formerRelayIsNotRevived(t *testing.T) {
	machine := clock.NewFake()
	east, west := newZoneTable(machine, "a:1", "east"), newZoneTable(machine, "d:1", "west")
	relay := Member{Address: "f:1", Zone: "west", Incarnation: 1, Relay: true}
	east.Merge([]Member{relay})
	west.Merge([]Member{relay})
	former := relay
	former.Relay, former.Incarnation = false, 2
	west.Merge([]Member{former})
	if !east.Differs("west", west.Digest()) {
		t.Fatal("the sums don't show the change")
	}
	east.Merge(west.MembersFor("east"))
	if east.Differs("west", west.Digest()) {
		// What differs now is only that east itself and west's routers are unknown.
		t.Fatal("the sums differ though both know the same backbone")
	}
	east.Merge([]Member{relay})
	for _, member := range east.Members() {
		if member.Address == "f:1" {
			t.Fatalf("an older report brought it back: %+v", member)
		}
	}
	machine.Advance(2 * formerBackboneRetention)
	east.Prune()
	if _, found := east.Find("f:1"); found {
		t.Fatal("it is remembered for ever")
	}
}

func TestTableRelays_useDistinctHosts(t *testing.T) {
	machine := clock.NewFake()
	members := []Member{
		{Address: "10.0.0.1:1", Zone: "east", Incarnation: 1, LinkMbps: 100, ServesControl: true},
		{Address: "10.0.0.1:2", Zone: "east", Incarnation: 1, LinkMbps: 100},
		{Address: "10.0.0.2:2", Zone: "east", Incarnation: 1, LinkMbps: 10},
		{Address: "10.0.0.3:2", Zone: "east", Incarnation: 1, LinkMbps: 10},
	}
	var views []*Table
	for _, self := range members {
		table := NewTable(machine, self)
		table.Merge(members)
		views = append(views, table)
	}
	machine.Advance(clock.Second)
	chosen := 0
	for _, view := range views {
		relays := view.Relays("east", 2)
		if len(relays) != 2 || relays[0].Address != "10.0.0.1:1" || relays[1].LinkMbps != 10 {
			t.Fatalf("%v", relays)
		}
		view.UpdateRelayRole(2, clock.Second)
		if view.Self().Relay {
			chosen++
		}
	}
	if chosen != 2 {
		t.Fatalf("%d daemons say that they relay", chosen)
	}
	// The first dies: the next in order takes its place with everybody.
	views[3].AdvanceState("10.0.0.1:1", Suspect)
	if relays := views[3].Relays("east", 2); relays[0].Address != "10.0.0.1:2" {
		t.Fatalf("%v", relays)
	}
}

func TestTablePrune_dropsLongGoneMembers(t *testing.T) {
	machine := clock.NewFake()
	known := newZoneTable(machine, "a:1", "east")
	known.Merge([]Member{{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "east", Incarnation: 1}})
	known.AdvanceState("b:1", Left)
	known.AdvanceState("c:1", Removed)
	machine.Advance(2 * leftRetention)
	known.Prune()
	if _, found := known.Find("b:1"); found {
		t.Fatal("one that said it leaves counts for ever")
	}
	if _, found := known.Find("c:1"); !found {
		t.Fatal("one that may be behind a cut is forgotten soon")
	}
	machine.Advance(2 * removedRetention)
	known.Prune()
	if len(known.Members()) != 1 {
		t.Fatalf("%v", known.Members())
	}
}

// TestProber_probesPeersOfSuspectedZoneFirst suspects one relay of another zone: its mates
// are probed next, whatever the turn was.
func TestProber_probesPeersOfSuspectedZoneFirst(t *testing.T) {
	machine := clock.NewFake()
	table := NewTable(machine, Member{Address: "a:1", Zone: "east", Relay: true})
	table.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true}, {Address: "e:1", Zone: "north", Incarnation: 1, ServesControl: true},
		{Address: "f:1", Zone: "south", Incarnation: 1, ServesControl: true},
	})
	prober := &Prober{Table: table, Shuffle: func([]Member) {}}
	if first, _ := prober.nextTarget(localGroup); first.Address != "b:1" {
		t.Fatalf("%v", first)
	}
	first, _ := prober.nextTarget(remoteGroup)
	table.AdvanceState(first.Address, Suspect)
	second, _ := prober.nextTarget(remoteGroup)
	prober.nextTarget(remoteGroup)
	prober.prioritizeZone(Member{Address: "c:1", Zone: "west"})
	if mate, _ := prober.nextTarget(remoteGroup); mate.Address != "d:1" {
		t.Fatalf("after %v and %v comes %v", first, second, mate)
	}
	table.UpdateSelf(func(self *Member) { self.Relay = false })
	prober.rotation = nil
	if _, found := prober.nextTarget(remoteGroup); found {
		t.Fatal("one that is not of the backbone probes over zones")
	}
}
