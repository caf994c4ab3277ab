package directory

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
)

var zones = map[ids.Zone]ids.Region{"z1": "r1", "z2": "r1", "z3": "r2"}

func router(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Role: "router", Zone: zone, Region: zones[zone], ClientAddress: "f" + address, Ready: true, Incarnation: 1}
}

func relay(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: zones[zone], Relay: true, Incarnation: 1}
}

// patience is the directories' own.
const patience = 12 * clock.Second

// directoryIn makes a directory in a zone that hears news of the others.
func directoryIn(zone ids.Zone) (*Directory, *gossip.Store) {
	return directoryOn(clock.NewFake(), zone)
}

func directoryOn(machine *clock.Fake, zone ids.Zone) (*Directory, *gossip.Store) {
	self := membership.Member{Address: "c", Role: "fleet-controller", Zone: zone, Region: zones[zone], Ready: true, ServesControl: true}
	table, news := membership.NewTable(machine, self), gossip.NewStore(nil)
	watcher := &zonesummary.Manager{Table: table, Store: news, Zones: zones, RouterRole: "router"}
	return &Directory{Table: table, Elsewhere: watcher.RemoteEndpoints, Zones: zones, Patience: patience}, news
}

func tell(t *testing.T, news *gossip.Store, serial ids.Serial, fronts zonesummary.RouterEndpoints) {
	t.Helper()
	body, err := transport.Marshal(fronts)
	if err != nil {
		t.Fatal(err)
	}
	news.Put(gossip.Item{Key: zonesummary.EndpointsPrefix + string(fronts.Zone), Version: serial, Body: body})
}

func TestCloseRoutersComeFirst(t *testing.T) {
	directory, news := directoryIn("z1")
	directory.Table.Merge([]membership.Member{router("a", "z1"), router("b", "z1"), relay("r2", "z2"), relay("r3", "z3")})
	tell(t, news, 1, zonesummary.RouterEndpoints{Zone: "z2", Ready: []ids.Address{"fd"}})
	tell(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	expect := func(asked Lookup, want ...ids.Address) {
		t.Helper()
		if got := directory.Choose(asked); !slices.Equal(got, want) {
			t.Errorf("%v: %v, not %v", asked, got, want)
		}
	}
	expect(Lookup{Zone: "z1", Region: "r1"}, "fa", "fb")
	expect(Lookup{Zone: "z2", Region: "r1"}, "fd")
	expect(Lookup{Zone: "z9", Region: "r1"}, "fa", "fb", "fd")
	expect(Lookup{Zone: "z9", Region: "r9"}, "fa", "fb", "fd", "fe")
	for _, gone := range []func(*membership.Member){
		func(member *membership.Member) { member.State = membership.Suspect },
		func(member *membership.Member) { member.Ready = false; member.Incarnation = 2 },
	} {
		member := router("a", "z1")
		gone(&member)
		directory.Table.Merge([]membership.Member{member})
		expect(Lookup{Zone: "z1", Region: "r1"}, "fb")
	}
	directory.Table.AdvanceState("b", membership.Removed)
	expect(Lookup{Zone: "z1", Region: "r1"}, "fd")
	// A zone whose relays are gone is not gone to, whatever was told of it.
	directory.Table.AdvanceState("r2", membership.Suspect)
	expect(Lookup{Zone: "z2", Region: "r1"}, "fe")
}

func TestNobodyReadyIsNoAnswer(t *testing.T) {
	directory, _ := directoryIn("z1")
	found := Found{Addresses: directory.Choose(Lookup{})}
	if reply := found.Reply(); reply.Status != 503 {
		t.Fatalf("%+v", reply)
	}
}

// TestRegionThatReachesNoRunners has the routers of a region reach no runners:
// clients are sent to others; where these are out of this directory's reach,
// it gives no answer, and only where there are no others does it list them.
func TestRegionThatReachesNoRunners(t *testing.T) {
	directory, news := directoryIn("z1")
	unable := router("a", "z1")
	unable.Degraded = true
	directory.Table.Merge([]membership.Member{unable})
	asked := Lookup{Zone: "z1", Region: "r1"}
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fa"}) {
		t.Fatalf("%v, though there is nobody else", got)
	}
	directory.Table.Merge([]membership.Member{relay("r3", "z3")})
	tell(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Degraded: []ids.Address{"fu"}})
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fa"}) {
		t.Fatalf("%v, though there is nobody better", got)
	}
	tell(t, news, 2, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fe"}) {
		t.Fatalf("%v, not the router that reaches runners", got)
	}
	directory.Table.AdvanceState("r3", membership.Removed)
	if got := directory.Choose(asked); len(got) != 0 {
		t.Fatalf("%v, though others may do better", got)
	}
}
