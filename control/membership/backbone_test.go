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
		t.Fatalf("got %d members, want 4: %v", count, table.Members())
	}
	if members := table.MembersFor("west"); len(members) != 3 {
		t.Fatalf("MembersFor another zone returned %v", members)
	}
	if members := table.MembersFor("east"); len(members) != 4 {
		t.Fatalf("MembersFor the own zone returned %v", members)
	}
}

// TestTable_formerRelayIsNotRevived has a relay of another zone stop relaying: an older
// report must not bring it back, and the backbone digests of both zones must agree again.
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
		t.Fatal("the digests do not differ after the change")
	}
	east.Merge(west.MembersFor("east"))
	if east.Differs("west", west.Digest()) {
		// Digest.Zone still differs, since neither table holds all members of the other's
		// zone, but Differs ignores it across zones.
		t.Fatal("the digests differ although both tables hold the same backbone")
	}
	east.Merge([]Member{relay})
	for _, member := range east.Members() {
		if member.Address == "f:1" {
			t.Fatalf("an older report revived the former relay: %+v", member)
		}
	}
	source.Advance(2 * formerBackboneRetention)
	east.Prune()
	if _, ok := east.Find("f:1"); ok {
		t.Fatal("the former relay is still in the table after its retention")
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
			t.Fatalf("wrong relays: %v", relays)
		}
		view.UpdateRelayRole(2, time.Second)
		if view.Self().Relay {
			relayCount++
		}
	}
	if relayCount != 2 {
		t.Fatalf("%d daemons have the Relay flag, want 2", relayCount)
	}
	// The first relay is suspected: the next candidate, which is on the same host,
	// takes its place.
	views[3].AdvanceState("10.0.0.1:1", Suspect)
	if relays := views[3].Relays("east", 2); relays[0].Address != "10.0.0.1:2" {
		t.Fatalf("wrong relays: %v", relays)
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
		t.Fatal("a member that left is still in the table after its retention")
	}
	if _, ok := table.Find("c:1"); !ok {
		t.Fatal("a removed member was dropped before its retention expired")
	}
	source.Advance(2 * removedRetention)
	table.Prune()
	if len(table.Members()) != 1 {
		t.Fatalf("members after all retentions: %v", table.Members())
	}
}

// TestProber_probesPeersOfSuspectedZoneFirst suspects one relay of another zone: the other
// backbone members of that zone must be probed next, whatever the rotation was.
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
		t.Fatalf("wrong local target: %v", first)
	}
	first, _ := prober.nextTarget(remoteGroup)
	table.AdvanceState(first.Address, Suspect)
	second, _ := prober.nextTarget(remoteGroup)
	prober.nextTarget(remoteGroup)
	prober.prioritizeZone(Member{Address: "c:1", Zone: "west"})
	if peer, _ := prober.nextTarget(remoteGroup); peer.Address != "d:1" {
		t.Fatalf("the target after %v and %v is %v, want d:1", first, second, peer)
	}
	table.UpdateSelf(func(self *Member) { self.Relay = false })
	prober.rotation = nil
	if _, ok := prober.nextTarget(remoteGroup); ok {
		t.Fatal("a daemon outside the backbone probes members of other zones")
	}
}
