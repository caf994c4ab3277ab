package zonesummary

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

var zones = map[ids.Zone]ids.Region{"east": "r1", "west": "r2", "south": "r2"}

func newTestManager(machine clock.Clock, address ids.Address, zone ids.Zone) *Manager {
	self := membership.Member{Address: address, Zone: zone, Region: zones[zone], Role: "router"}
	watcher := &Manager{Table: membership.NewTable(machine, self), Zones: zones, RouterRole: "router"}
	watcher.Store = gossip.NewStore(watcher.HandleItem)
	return watcher
}

func newRouters(zone ids.Zone, count int) []membership.Member {
	var members []membership.Member
	for index := range count {
		address := ids.Address([]byte{byte('k' + index), ':', '1'})
		members = append(members, membership.Member{Address: address, ClientAddress: "f" + address, Zone: zone, Role: "router", Ready: true, Incarnation: 1})
	}
	return members
}

func TestManagerRefresh_firstRelayPublishesEndpoints(t *testing.T) {
	machine := clock.NewFake()
	watcher := newTestManager(machine, "a:1", "east")
	members := newRouters("east", 3)
	members[2].Degraded = true
	watcher.Table.Merge(members)
	watcher.Refresh()
	if len(watcher.Store.WithPrefix(EndpointsPrefix)) != 0 {
		t.Fatal("one that does not relay told of its zone")
	}
	machine.Advance(clock.Second)
	watcher.Table.UpdateRelayRole(4, 0)
	watcher.Refresh()
	first := watcher.Table.Relays("east", 1)[0].Address
	items := watcher.Store.WithPrefix(EndpointsPrefix)
	if told := len(items) == 1; told != (first == "a:1") {
		t.Fatalf("told %v, though the first relay is %s", told, first)
	}
	if first != "a:1" {
		for _, member := range members {
			watcher.Table.AdvanceState(member.Address, membership.Suspect)
		}
		watcher.Table.UpdateRelayRole(4, 0)
		watcher.Refresh()
		items = watcher.Store.WithPrefix(EndpointsPrefix)
	}
	before := items[0].Version
	watcher.Refresh()
	if after := watcher.Store.WithPrefix(EndpointsPrefix)[0].Version; after != before {
		t.Fatal("a view that says the same was told again")
	}
	for index := range members {
		members[index].Incarnation = 2
	}
	watcher.Table.Merge(members)
	watcher.Table.AdvanceState("k:1", membership.Suspect)
	for watcher.Table.Relays("east", 1)[0].Address != "a:1" {
		watcher.Table.AdvanceState(watcher.Table.Relays("east", 1)[0].Address, membership.Suspect)
	}
	watcher.Refresh()
	fronts, err := transport.Unmarshal[RouterEndpoints](watcher.Store.WithPrefix(EndpointsPrefix)[0].Body)
	if err != nil || slices.Contains(fronts.Ready, "fk:1") || slices.Contains(fronts.Ready, "fm:1") {
		t.Fatalf("%+v %v", fronts, err)
	}
}

func TestManagerRouterCount_includesUnreachableRouters(t *testing.T) {
	machine := clock.NewFake()
	watcher := newTestManager(machine, "a:1", "east")
	watcher.Table.Merge(newRouters("east", 3))
	watcher.Refresh()
	// Two zones that nothing was heard of count as large as the largest.
	if count := watcher.RouterCount(); count != 12 {
		t.Fatalf("%d", count)
	}
	watcher.MergeSizes([]membership.ZoneSize{{Zone: "west", Routers: 7}})
	watcher.Refresh()
	if count := watcher.RouterCount(); count != 4+7+7 {
		t.Fatalf("%d", count)
	}
	body, _ := transport.Marshal(membership.ZoneSize{Zone: "south", Routers: 2})
	watcher.Store.Put(gossip.Item{Key: SizePrefix + "south", Version: 1, Body: body})
	watcher.Table.AdvanceState("k:1", membership.Removed)
	watcher.Refresh()
	if count := watcher.RouterCount(); count != 4+7+2 {
		t.Fatalf("%d: a router that may be behind a cut does not count", count)
	}
	if own, other := watcher.Sharers("east"), watcher.Sharers("west"); own != 4 || other != 0 {
		t.Fatalf("a cold runner here is shared among %d, one elsewhere among %d", own, other)
	}
	watcher.MergeSizes([]membership.ZoneSize{{Zone: "west"}})
	if watcher.Sharers("west") == 0 {
		t.Fatal("nobody serves the cold runners of a zone without routers")
	}
	if sizes := watcher.Sizes(); len(sizes) != 2 {
		t.Fatalf("%v", sizes)
	}
}

// TestManagerRefresh_youngRelayKeepsLargerSize has a relay that knows few routers take over
// from one that knew more.
func TestManagerRefresh_youngRelayKeepsLargerSize(t *testing.T) {
	machine := clock.NewFake()
	watcher := newTestManager(machine, "a:1", "east")
	watcher.MergeSizes([]membership.ZoneSize{{Zone: "east", Routers: 9}})
	machine.Advance(clock.Second)
	watcher.Table.UpdateRelayRole(2, 0)
	watcher.Refresh()
	size, err := transport.Unmarshal[membership.ZoneSize](watcher.Store.WithPrefix(SizePrefix)[0].Body)
	if err != nil || size.Routers != 9 {
		t.Fatalf("%+v %v", size, err)
	}
	machine.Advance(2 * 60 * 60 * clock.Second)
	watcher.Refresh()
	if size, _ = transport.Unmarshal[membership.ZoneSize](watcher.Store.WithPrefix(SizePrefix)[0].Body); size.Routers != 1 {
		t.Fatalf("%+v long after the others are gone", size)
	}
}

// TestManagerRefresh_publishesLostZones has a zone's backbone fall silent: it is lost
// once nobody of it answers, though somebody did, and no more once one does again.
func TestManagerRefresh_publishesLostZones(t *testing.T) {
	machine := clock.NewFake()
	watcher := newTestManager(machine, "a:1", "east")
	backbone := func(address ids.Address, incarnation ids.Incarnation) membership.Member {
		return membership.Member{Address: address, Zone: "west", Region: "r2", Role: "router", Relay: true, Incarnation: incarnation}
	}
	gone := backbone("z:1", 1)
	gone.Zone, gone.State = "south", membership.Removed
	watcher.Table.Merge([]membership.Member{backbone("x:1", 1), backbone("y:1", 1), gone})
	machine.Advance(clock.Second)
	watcher.Table.UpdateRelayRole(2, 0)
	told := func() []ids.Zone {
		watcher.Refresh()
		item, found := watcher.Store.Get(LostZonesKey("east"))
		if !found {
			return nil
		}
		lost, err := UnmarshalLostZones(item.Body)
		if err != nil {
			t.Fatal(err)
		}
		return lost.Zones
	}
	if lost := told(); lost != nil {
		t.Fatalf("%v: a zone that never answered is lost", lost)
	}
	watcher.Table.AdvanceState("x:1", membership.Suspect)
	if lost := told(); lost != nil {
		t.Fatalf("%v: lost though one answers", lost)
	}
	watcher.Table.AdvanceState("y:1", membership.Removed)
	if lost := told(); !slices.Equal(lost, []ids.Zone{"west"}) {
		t.Fatalf("%v", lost)
	}
	watcher.Table.Merge([]membership.Member{backbone("y:1", 2)})
	if lost := told(); len(lost) != 0 {
		t.Fatalf("%v: lost though one answers again", lost)
	}
}
