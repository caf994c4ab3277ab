package zonesummary

import (
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

var zones = map[ids.Zone]ids.Region{"east": "r1", "west": "r2", "south": "r2"}

func newTestManager(source clock.Clock, address ids.Address, zone ids.Zone) *Manager {
	self := membership.Member{Address: address, Zone: zone, Region: zones[zone], Role: "router"}
	manager := &Manager{Table: membership.NewTable(source, self), Zones: zones, RouterRole: "router"}
	manager.Store = gossip.NewStore(manager.HandleItem)
	return manager
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
	source := clock.NewFake()
	manager := newTestManager(source, "a:1", "east")
	members := newRouters("east", 3)
	members[2].Degraded = true
	manager.Table.Merge(members)
	manager.Refresh()
	if len(manager.Store.WithPrefix(EndpointsPrefix)) != 0 {
		t.Fatal("a daemon that is not a relay published for its zone")
	}
	source.Advance(time.Second)
	manager.Table.UpdateRelayRole(4, 0)
	manager.Refresh()
	first := manager.Table.Relays("east", 1)[0].Address
	items := manager.Store.WithPrefix(EndpointsPrefix)
	if published := len(items) == 1; published != (first == "a:1") {
		t.Fatalf("published %v although the first relay is %s", published, first)
	}
	if first != "a:1" {
		for _, member := range members {
			manager.Table.AdvanceState(member.Address, membership.Suspect)
		}
		manager.Table.UpdateRelayRole(4, 0)
		manager.Refresh()
		items = manager.Store.WithPrefix(EndpointsPrefix)
	}
	before := items[0].Version
	manager.Refresh()
	if after := manager.Store.WithPrefix(EndpointsPrefix)[0].Version; after != before {
		t.Fatal("unchanged endpoints were published again")
	}
	for index := range members {
		members[index].Incarnation = 2
	}
	manager.Table.Merge(members)
	manager.Table.AdvanceState("k:1", membership.Suspect)
	for manager.Table.Relays("east", 1)[0].Address != "a:1" {
		manager.Table.AdvanceState(manager.Table.Relays("east", 1)[0].Address, membership.Suspect)
	}
	manager.Refresh()
	endpoints, err := transport.Unmarshal[RouterEndpoints](manager.Store.WithPrefix(EndpointsPrefix)[0].Body)
	if err != nil || slices.Contains(endpoints.Ready, "fk:1") || slices.Contains(endpoints.Ready, "fm:1") {
		t.Fatalf("wrong endpoints %+v, error %v", endpoints, err)
	}
}

func TestManagerRouterCount_includesUnreachableRouters(t *testing.T) {
	source := clock.NewFake()
	manager := newTestManager(source, "a:1", "east")
	manager.Table.Merge(newRouters("east", 3))
	manager.Refresh()
	// The two zones of unknown size count as much as the largest known one, 4 routers.
	if count := manager.RouterCount(); count != 12 {
		t.Fatalf("router count %d, want 12", count)
	}
	manager.MergeSizes([]membership.ZoneSize{{Zone: "west", Routers: 7}})
	manager.Refresh()
	if count := manager.RouterCount(); count != 4+7+7 {
		t.Fatalf("router count %d, want 18", count)
	}
	body, _ := transport.Marshal(membership.ZoneSize{Zone: "south", Routers: 2})
	manager.Store.Put(gossip.Item{Key: SizePrefix + "south", Version: 1, Body: body})
	manager.Table.AdvanceState("k:1", membership.Removed)
	manager.Refresh()
	if count := manager.RouterCount(); count != 4+7+2 {
		t.Fatalf("router count %d, want 13: a removed router may be behind a partition and must count", count)
	}
	if own, other := manager.SlowStartRouters("east"), manager.SlowStartRouters("west"); own != 4 || other != 0 {
		t.Fatalf("slow-start routers: %d in the own zone, want 4; %d in another zone, want 0", own, other)
	}
	manager.MergeSizes([]membership.ZoneSize{{Zone: "west"}})
	if manager.SlowStartRouters("west") == 0 {
		t.Fatal("no router uses the runners in slow start of a zone without routers")
	}
	if sizes := manager.Sizes(); len(sizes) != 2 {
		t.Fatalf("got sizes %v, want 2", sizes)
	}
}

// TestManagerRefresh_newRelayKeepsLargerSize has a newly started relay, which knows few
// routers, take over from one that published more: it must not lower the size until it has
// run for longer than removed members are retained.
func TestManagerRefresh_newRelayKeepsLargerSize(t *testing.T) {
	source := clock.NewFake()
	manager := newTestManager(source, "a:1", "east")
	manager.MergeSizes([]membership.ZoneSize{{Zone: "east", Routers: 9}})
	source.Advance(time.Second)
	manager.Table.UpdateRelayRole(2, 0)
	manager.Refresh()
	size, err := transport.Unmarshal[membership.ZoneSize](manager.Store.WithPrefix(SizePrefix)[0].Body)
	if err != nil || size.Routers != 9 {
		t.Fatalf("published size %+v, error %v, want 9 routers", size, err)
	}
	source.Advance(2 * 60 * 60 * time.Second)
	manager.Refresh()
	if size, _ = transport.Unmarshal[membership.ZoneSize](manager.Store.WithPrefix(SizePrefix)[0].Body); size.Routers != 1 {
		t.Fatalf("published size %+v after the retention of removed members, want 1 router", size)
	}
}

// TestManagerRefresh_publishesLostZones makes a zone's backbone unresponsive: the zone is
// lost once none of its backbone members is alive although one was, and no longer once one
// is alive again.
func TestManagerRefresh_publishesLostZones(t *testing.T) {
	source := clock.NewFake()
	manager := newTestManager(source, "a:1", "east")
	backbone := func(address ids.Address, incarnation ids.Incarnation) membership.Member {
		return membership.Member{Address: address, Zone: "west", Region: "r2", Role: "router", Relay: true, Incarnation: incarnation}
	}
	gone := backbone("z:1", 1)
	gone.Zone, gone.State = "south", membership.Removed
	manager.Table.Merge([]membership.Member{backbone("x:1", 1), backbone("y:1", 1), gone})
	source.Advance(time.Second)
	manager.Table.UpdateRelayRole(2, 0)
	refreshed := func() []ids.Zone {
		manager.Refresh()
		item, ok := manager.Store.Get(LostZonesKey("east"))
		if !ok {
			return nil
		}
		lost, err := UnmarshalLostZones(item.Body)
		if err != nil {
			t.Fatal(err)
		}
		return lost.Zones
	}
	if lost := refreshed(); lost != nil {
		t.Fatalf("lost zones %v, want none: no backbone member was ever alive in south", lost)
	}
	manager.Table.AdvanceState("x:1", membership.Suspect)
	if lost := refreshed(); lost != nil {
		t.Fatalf("lost zones %v, want none: a backbone member is alive", lost)
	}
	manager.Table.AdvanceState("y:1", membership.Removed)
	if lost := refreshed(); !slices.Equal(lost, []ids.Zone{"west"}) {
		t.Fatalf("lost zones %v, want west", lost)
	}
	manager.Table.Merge([]membership.Member{backbone("y:1", 2)})
	if lost := refreshed(); len(lost) != 0 {
		t.Fatalf("lost zones %v, want none: a backbone member is alive again", lost)
	}
}

// TestManagerLargestRouterCount_keepsLargestSizes has relays publish small sizes after a
// restart, when they know few routers: the previous, larger count must still hold.
func TestManagerLargestRouterCount_keepsLargestSizes(t *testing.T) {
	manager := newTestManager(clock.NewFake(), "a:1", "east")
	if got := manager.LargestRouterCount(); got != 0 {
		t.Errorf("LargestRouterCount is %d before any size is known, want 0", got)
	}
	sizes := func(routers int64) (all []membership.ZoneSize) {
		for zone := range zones {
			all = append(all, membership.ZoneSize{Zone: zone, Routers: routers})
		}
		return all
	}
	for _, routers := range []int64{1, 7, 2} {
		manager.MergeSizes(sizes(routers))
	}
	if got := manager.LargestRouterCount(); got != 7*len(zones) {
		t.Errorf("LargestRouterCount is %d, want %d", got, 7*len(zones))
	}
}

// TestManagerRefresh_delaysFirstSizeUntilSettled starts a relay before the routers of its
// zone are known. Such a relay used to publish a size of 0; a router that received it and
// was then partitioned from the others took the share of two routers in all common limits,
// so that a tenant's quota was exceeded (seed 11 of the simulation scenario
// newVoterBesideStaleReplica on build 2bb6c8b). The first size must be published only once
// no further routers are discovered.
func TestManagerRefresh_delaysFirstSizeUntilSettled(t *testing.T) {
	source := clock.NewFake()
	manager := newTestManager(source, "a:1", "east")
	manager.SettleTime = 4 * time.Second
	published := func() int64 {
		manager.Refresh()
		item, ok := manager.Store.Get(SizePrefix + "east")
		if !ok {
			return -1
		}
		size, err := transport.Unmarshal[membership.ZoneSize](item.Body)
		if err != nil {
			t.Fatal(err)
		}
		return size.Routers
	}
	source.Advance(time.Second)
	manager.Table.UpdateRelayRole(2, 0)
	for _, step := range []struct {
		wait    time.Duration
		routers int
		want    int64
	}{{0, 0, -1}, {3 * time.Second, 1, -1}, {3 * time.Second, 1, -1}, {time.Second, 1, 2}, {0, 3, 4}} {
		source.Advance(step.wait)
		routers := newRouters("east", step.routers)
		for index := range routers {
			// Suspect members are not chosen as relays, so this daemon remains the first.
			routers[index].State = membership.Suspect
		}
		manager.Table.Merge(routers)
		if got := published(); got != step.want {
			t.Errorf("%v later, with %d other routers: published size %d, want %d", step.wait, step.routers, got, step.want)
		}
	}
	restarted := newTestManager(source, "a:1", "east")
	restarted.SettleTime = 4 * time.Second
	restarted.MergeSizes([]membership.ZoneSize{{Zone: "east", Routers: 9}})
	manager = restarted
	source.Advance(time.Second)
	manager.Table.UpdateRelayRole(2, 0)
	if got := published(); got != 9 {
		t.Errorf("published size %d after a restart, want the stored size 9", got)
	}
}
