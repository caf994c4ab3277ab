package membership

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

func newZoneTable(source clock.Clock, address ids.Address, zone ids.Zone) *Table {
	return NewTable(source, Member{Address: address, Zone: zone, Role: "router"})
}

func TestTable_tracksOnlyBackboneOfOtherZones(t *testing.T) {
	source := clock.NewFake()
	table := newZoneTable(source, "a:1", "east")
	table.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1},
		{Address: "c:1", Zone: "west", Incarnation: 1},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "e:1", Zone: "west", Incarnation: 1, ServesControl: true},
	})
	if count := len(table.Members()); count != 4 {
		t.Fatalf("%d members: %v", count, table.Members())
	}
	if members := table.MembersFor("west"); len(members) != 3 {
		t.Fatalf("another zone is told of %v", members)
	}
	if members := table.MembersFor("east"); len(members) != 4 {
		t.Fatalf("the own zone is told of %v", members)
	}
}

// TestTable_formerRelayIsNotRevived has a relay of another zone cease to be one: an
// older report must not bring it back, and digests of both zones agree again.
func TestTable_formerRelayIsNotRevived(t *testing.T) {
	source := clock.NewFake()
	east, west := newZoneTable(source, "a:1", "east"), newZoneTable(source, "d:1", "west")
	relay := Member{Address: "f:1", Zone: "west", Incarnation: 1, Relay: true}
	east.Merge([]Member{relay})
	west.Merge([]Member{relay})
	former := relay
	former.Relay, former.Incarnation = false, 2
	west.Merge([]Member{former})
	if !east.Differs("west", west.Digest()) {
		t.Fatal("the digests don't show the change")
	}
	east.Merge(west.MembersFor("east"))
	if east.Differs("west", west.Digest()) {
		// What differs now is only that east itself and west's routers are unknown.
		t.Fatal("the digests differ though both know the same backbone")
	}
	east.Merge([]Member{relay})
	for _, member := range east.Members() {
		if member.Address == "f:1" {
			t.Fatalf("an older report brought it back: %+v", member)
		}
	}
	source.Advance(2 * formerBackboneRetention)
	east.Prune()
	if _, ok := east.Find("f:1"); ok {
		t.Fatal("it is remembered for ever")
	}
}

func TestTableRelays_useDistinctHosts(t *testing.T) {
	source := clock.NewFake()
	members := []Member{
		{Address: "10.0.0.1:1", Zone: "east", Incarnation: 1, LinkMbps: 100, ServesControl: true},
		{Address: "10.0.0.1:2", Zone: "east", Incarnation: 1, LinkMbps: 100},
		{Address: "10.0.0.2:2", Zone: "east", Incarnation: 1, LinkMbps: 10},
		{Address: "10.0.0.3:2", Zone: "east", Incarnation: 1, LinkMbps: 10},
	}
	var views []*Table
	for _, self := range members {
		table := NewTable(source, self)
		table.Merge(members)
		views = append(views, table)
	}
	source.Advance(time.Second)
	relayCount := 0
	for _, view := range views {
		relays := view.Relays("east", 2)
		if len(relays) != 2 || relays[0].Address != "10.0.0.1:1" || relays[1].LinkMbps != 10 {
			t.Fatalf("%v", relays)
		}
		view.UpdateRelayRole(2, time.Second)
		if view.Self().Relay {
			relayCount++
		}
	}
	if relayCount != 2 {
		t.Fatalf("%d daemons say that they relay", relayCount)
	}
	// The first dies: the next in order takes its place with everybody.
	views[3].AdvanceState("10.0.0.1:1", Suspect)
	if relays := views[3].Relays("east", 2); relays[0].Address != "10.0.0.1:2" {
		t.Fatalf("%v", relays)
	}
}

func TestTablePrune_dropsLongGoneMembers(t *testing.T) {
	source := clock.NewFake()
	table := newZoneTable(source, "a:1", "east")
	table.Merge([]Member{{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "east", Incarnation: 1}})
	table.AdvanceState("b:1", Left)
	table.AdvanceState("c:1", Removed)
	source.Advance(2 * leftRetention)
	table.Prune()
	if _, ok := table.Find("b:1"); ok {
		t.Fatal("one that said it leaves counts for ever")
	}
	if _, ok := table.Find("c:1"); !ok {
		t.Fatal("one that may be behind a partition is forgotten soon")
	}
	source.Advance(2 * removedRetention)
	table.Prune()
	if len(table.Members()) != 1 {
		t.Fatalf("%v", table.Members())
	}
}

// TestProber_probesPeersOfSuspectedZoneFirst suspects one relay of another zone: its peers
// are probed next, whatever the rotation was.
func TestProber_probesPeersOfSuspectedZoneFirst(t *testing.T) {
	source := clock.NewFake()
	table := NewTable(source, Member{Address: "a:1", Zone: "east", Relay: true})
	table.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1}, {Address: "c:1", Zone: "west", Incarnation: 1, Relay: true},
		{Address: "d:1", Zone: "west", Incarnation: 1, Relay: true}, {Address: "e:1", Zone: "north", Incarnation: 1, ServesControl: true},
		{Address: "f:1", Zone: "south", Incarnation: 1, ServesControl: true},
	})
	prober := &Prober{Table: table, shuffle: func([]Member) {}}
	if first, _ := prober.nextTarget(localGroup); first.Address != "b:1" {
		t.Fatalf("%v", first)
	}
	first, _ := prober.nextTarget(remoteGroup)
	table.AdvanceState(first.Address, Suspect)
	second, _ := prober.nextTarget(remoteGroup)
	prober.nextTarget(remoteGroup)
	prober.prioritizeZone(Member{Address: "c:1", Zone: "west"})
	if peer, _ := prober.nextTarget(remoteGroup); peer.Address != "d:1" {
		t.Fatalf("after %v and %v comes %v", first, second, peer)
	}
	table.UpdateSelf(func(self *Member) { self.Relay = false })
	prober.rotation = nil
	if _, ok := prober.nextTarget(remoteGroup); ok {
		t.Fatal("one that is not of the backbone probes over zones")
	}
}
