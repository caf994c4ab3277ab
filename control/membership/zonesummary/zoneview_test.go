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

func watcherOf(machine clock.Clock, address ids.Address, zone ids.Zone) *Watcher {
	self := membership.Member{Address: address, Zone: zone, Region: zones[zone], Role: "router"}
	watcher := &Watcher{Table: membership.NewTable(machine, self), Zones: zones, Role: "router"}
	watcher.News = gossip.NewNews(watcher.Absorb)
	return watcher
}

func routers(zone ids.Zone, count int) []membership.Member {
	var members []membership.Member
	for index := range count {
		address := ids.Address([]byte{byte('k' + index), ':', '1'})
		members = append(members, membership.Member{Address: address, Front: "f" + address, Zone: zone, Role: "router", Ready: true, Incarnation: 1})
	}
	return members
}

func TestFirstRelayTellsOfItsZone(t *testing.T) {
	machine := clock.NewFake()
	watcher := watcherOf(machine, "a:1", "east")
	members := routers("east", 3)
	members[2].Unable = true
	watcher.Table.Merge(members)
	watcher.Look()
	if len(watcher.News.Under(FrontsPrefix)) != 0 {
		t.Fatal("one that does not relay told of its zone")
	}
	machine.Move(clock.Second)
	watcher.Table.Elect(4, 0)
	watcher.Look()
	first := watcher.Table.Relays("east", 1)[0].Address
	items := watcher.News.Under(FrontsPrefix)
	if told := len(items) == 1; told != (first == "a:1") {
		t.Fatalf("told %v, though the first relay is %s", told, first)
	}
	if first != "a:1" {
		for _, member := range members {
			watcher.Table.Judge(member.Address, membership.Suspect)
		}
		watcher.Table.Elect(4, 0)
		watcher.Look()
		items = watcher.News.Under(FrontsPrefix)
	}
	before := items[0].Serial
	watcher.Look()
	if after := watcher.News.Under(FrontsPrefix)[0].Serial; after != before {
		t.Fatal("a view that says the same was told again")
	}
	for index := range members {
		members[index].Incarnation = 2
	}
	watcher.Table.Merge(members)
	watcher.Table.Judge("k:1", membership.Suspect)
	for watcher.Table.Relays("east", 1)[0].Address != "a:1" {
		watcher.Table.Judge(watcher.Table.Relays("east", 1)[0].Address, membership.Suspect)
	}
	watcher.Look()
	fronts, err := transport.Unpack[Fronts](watcher.News.Under(FrontsPrefix)[0].Body)
	if err != nil || slices.Contains(fronts.Able, "fk:1") || slices.Contains(fronts.Able, "fm:1") {
		t.Fatalf("%+v %v", fronts, err)
	}
}

func TestSharersCountAllThatCouldBeAlive(t *testing.T) {
	machine := clock.NewFake()
	watcher := watcherOf(machine, "a:1", "east")
	watcher.Table.Merge(routers("east", 3))
	watcher.Look()
	// Two zones that nothing was heard of count as large as the largest.
	if count := watcher.Routers(); count != 12 {
		t.Fatalf("%d", count)
	}
	watcher.Learn([]membership.Size{{Zone: "west", Routers: 7}})
	watcher.Look()
	if count := watcher.Routers(); count != 4+7+7 {
		t.Fatalf("%d", count)
	}
	body, _ := transport.Pack(membership.Size{Zone: "south", Routers: 2})
	watcher.News.Put(gossip.Item{Key: SizePrefix + "south", Serial: 1, Body: body})
	watcher.Table.Judge("k:1", membership.Removed)
	watcher.Look()
	if count := watcher.Routers(); count != 4+7+2 {
		t.Fatalf("%d: a router that may be behind a cut does not count", count)
	}
	if own, other := watcher.Sharers("east"), watcher.Sharers("west"); own != 4 || other != 0 {
		t.Fatalf("a cold runner here is shared among %d, one elsewhere among %d", own, other)
	}
	watcher.Learn([]membership.Size{{Zone: "west"}})
	if watcher.Sharers("west") == 0 {
		t.Fatal("nobody serves the cold runners of a zone without routers")
	}
	if sizes := watcher.Sizes(); len(sizes) != 2 {
		t.Fatalf("%v", sizes)
	}
}

// TestYoungRelayNeverLowersASize has a relay that knows few routers take over
// from one that knew more.
func TestYoungRelayNeverLowersASize(t *testing.T) {
	machine := clock.NewFake()
	watcher := watcherOf(machine, "a:1", "east")
	watcher.Learn([]membership.Size{{Zone: "east", Routers: 9}})
	machine.Move(clock.Second)
	watcher.Table.Elect(2, 0)
	watcher.Look()
	size, err := transport.Unpack[membership.Size](watcher.News.Under(SizePrefix)[0].Body)
	if err != nil || size.Routers != 9 {
		t.Fatalf("%+v %v", size, err)
	}
	machine.Move(2 * 60 * 60 * clock.Second)
	watcher.Look()
	if size, _ = transport.Unpack[membership.Size](watcher.News.Under(SizePrefix)[0].Body); size.Routers != 1 {
		t.Fatalf("%+v long after the others are gone", size)
	}
}

// TestLostZonesAreToldByTheFirstRelay has a zone's backbone fall silent: it is lost
// once nobody of it answers, though somebody did, and no more once one does again.
func TestLostZonesAreToldByTheFirstRelay(t *testing.T) {
	machine := clock.NewFake()
	watcher := watcherOf(machine, "a:1", "east")
	backbone := func(address ids.Address, incarnation ids.Incarnation) membership.Member {
		return membership.Member{Address: address, Zone: "west", Region: "r2", Role: "router", Relay: true, Incarnation: incarnation}
	}
	gone := backbone("z:1", 1)
	gone.Zone, gone.State = "south", membership.Removed
	watcher.Table.Merge([]membership.Member{backbone("x:1", 1), backbone("y:1", 1), gone})
	machine.Move(clock.Second)
	watcher.Table.Elect(2, 0)
	told := func() []ids.Zone {
		watcher.Look()
		item, found := watcher.News.Get(LostKey("east"))
		if !found {
			return nil
		}
		lost, err := ReadLost(item.Body)
		if err != nil {
			t.Fatal(err)
		}
		return lost.Zones
	}
	if lost := told(); lost != nil {
		t.Fatalf("%v: a zone that never answered is lost", lost)
	}
	watcher.Table.Judge("x:1", membership.Suspect)
	if lost := told(); lost != nil {
		t.Fatalf("%v: lost though one answers", lost)
	}
	watcher.Table.Judge("y:1", membership.Removed)
	if lost := told(); !slices.Equal(lost, []ids.Zone{"west"}) {
		t.Fatalf("%v", lost)
	}
	watcher.Table.Merge([]membership.Member{backbone("y:1", 2)})
	if lost := told(); len(lost) != 0 {
		t.Fatalf("%v: lost though one answers again", lost)
	}
}
