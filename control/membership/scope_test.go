package membership

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

func inZone(machine clock.Clock, address ids.Address, zone ids.Zone) *Table {
	return NewTable(machine, Member{Address: address, Zone: zone, Role: "router"})
}

func TestOtherZonesAreKnownByTheirBackbone(t *testing.T) {
	machine := clock.NewFake()
	known := inZone(machine, "a:1", "east")
	known.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1},
		{Address: "c:1", Zone: "west", Incarnation: 1},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "e:1", Zone: "west", Incarnation: 1, Core: true},
	})
	if count := len(known.Members()); count != 4 {
		t.Fatalf("%d members: %v", count, known.Members())
	}
	if told := known.Told("west"); len(told) != 3 {
		t.Fatalf("another zone is told of %v", told)
	}
	if told := known.Told("east"); len(told) != 4 {
		t.Fatalf("the own zone is told of %v", told)
	}
}

// TestFormerRelayStaysForgotten has a relay of another zone cease to be one: an
// older report must not bring it back, and sums of both zones agree again.
func TestFormerRelayStaysForgotten(t *testing.T) {
	machine := clock.NewFake()
	east, west := inZone(machine, "a:1", "east"), inZone(machine, "d:1", "west")
	relay := Member{Address: "f:1", Zone: "west", Incarnation: 1, Relay: true}
	east.Merge([]Member{relay})
	west.Merge([]Member{relay})
	former := relay
	former.Relay, former.Incarnation = false, 2
	west.Merge([]Member{former})
	if !east.Differs("west", west.Sums()) {
		t.Fatal("the sums don't show the change")
	}
	east.Merge(west.Told("east"))
	if east.Differs("west", west.Sums()) {
		// What differs now is only that east itself and west's routers are unknown.
		t.Fatal("the sums differ though both know the same backbone")
	}
	east.Merge([]Member{relay})
	for _, member := range east.Members() {
		if member.Address == "f:1" {
			t.Fatalf("an older report brought it back: %+v", member)
		}
	}
	machine.Move(2 * strangerStays)
	east.Forget()
	if _, found := east.Find("f:1"); found {
		t.Fatal("it is remembered for ever")
	}
}

func TestRelaysStandOnTwoMachines(t *testing.T) {
	machine := clock.NewFake()
	members := []Member{
		{Address: "10.0.0.1:1", Zone: "east", Incarnation: 1, LinkMbps: 100, Core: true},
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
	machine.Move(clock.Second)
	chosen := 0
	for _, view := range views {
		relays := view.Relays("east", 2)
		if len(relays) != 2 || relays[0].Address != "10.0.0.1:1" || relays[1].LinkMbps != 10 {
			t.Fatalf("%v", relays)
		}
		view.Elect(2, clock.Second)
		if view.Self().Relay {
			chosen++
		}
	}
	if chosen != 2 {
		t.Fatalf("%d daemons say that they relay", chosen)
	}
	// The first dies: the next in order takes its place with everybody.
	views[3].Judge("10.0.0.1:1", Suspect)
	if relays := views[3].Relays("east", 2); relays[0].Address != "10.0.0.1:2" {
		t.Fatalf("%v", relays)
	}
}

func TestLongGoneMembersAreForgotten(t *testing.T) {
	machine := clock.NewFake()
	known := inZone(machine, "a:1", "east")
	known.Merge([]Member{{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "east", Incarnation: 1}})
	known.Judge("b:1", Left)
	known.Judge("c:1", Removed)
	machine.Move(2 * leftStays)
	known.Forget()
	if _, found := known.Find("b:1"); found {
		t.Fatal("one that said it leaves counts for ever")
	}
	if _, found := known.Find("c:1"); !found {
		t.Fatal("one that may be behind a cut is forgotten soon")
	}
	machine.Move(2 * removedStays)
	known.Forget()
	if len(known.Members()) != 1 {
		t.Fatalf("%v", known.Members())
	}
}

// TestLostZoneIsFoundOutAsAWhole suspects one relay of another zone: its mates
// are probed next, whatever the turn was.
func TestLostZoneIsFoundOutAsAWhole(t *testing.T) {
	machine := clock.NewFake()
	table := NewTable(machine, Member{Address: "a:1", Zone: "east", Relay: true})
	table.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true}, {Address: "e:1", Zone: "north", Incarnation: 1, Core: true},
		{Address: "f:1", Zone: "south", Incarnation: 1, Core: true},
	})
	prober := &Prober{Table: table, Shuffle: func([]Member) {}}
	if first, _ := prober.next(nearCircle); first.Address != "b:1" {
		t.Fatalf("%v", first)
	}
	first, _ := prober.next(farCircle)
	table.Judge(first.Address, Suspect)
	second, _ := prober.next(farCircle)
	prober.next(farCircle)
	prober.hurry(Member{Address: "c:1", Zone: "west"})
	if mate, _ := prober.next(farCircle); mate.Address != "d:1" {
		t.Fatalf("after %v and %v comes %v", first, second, mate)
	}
	table.Announce(func(self *Member) { self.Relay = false })
	prober.turns = nil
	if _, found := prober.next(farCircle); found {
		t.Fatal("one that is not of the backbone probes over zones")
	}
}
