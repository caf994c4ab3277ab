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

var zoneRegions = map[ids.Zone]ids.Region{"z1": "r1", "z2": "r1", "z3": "r2"}

func router(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Role: "router", Zone: zone, Region: zoneRegions[zone], ClientAddress: "f" + address, Ready: true, Incarnation: 1}
}

func relay(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: zoneRegions[zone], Relay: true, Incarnation: 1}
}

// lossTimeout is the directories' own.
const lossTimeout = 12 * clock.Second

// newDirectory makes a directory in a zone that hears news of the others.
func newDirectory(zone ids.Zone) (*Directory, *gossip.Store) {
	return newDirectoryWithClock(clock.NewFake(), zone)
}

func newDirectoryWithClock(machine *clock.Fake, zone ids.Zone) (*Directory, *gossip.Store) {
	self := membership.Member{Address: "c", Role: "fleet-controller", Zone: zone, Region: zoneRegions[zone], Ready: true, ServesControl: true}
	table, news := membership.NewTable(machine, self), gossip.NewStore(nil)
	watcher := &zonesummary.Manager{Table: table, Store: news, Zones: zoneRegions, RouterRole: "router"}
	return &Directory{Membership: table, OtherZones: watcher.RemoteEndpoints, Zones: zoneRegions, LossTimeout: lossTimeout}, news
}

func publishFronts(t *testing.T, news *gossip.Store, serial ids.Serial, fronts zonesummary.RouterEndpoints) {
	t.Helper()
	body, err := transport.Marshal(fronts)
	if err != nil {
		t.Fatal(err)
	}
	news.Put(gossip.Item{Key: zonesummary.EndpointsPrefix + string(fronts.Zone), Version: serial, Body: body})
}

func TestChoose_prefersNearestRouters(t *testing.T) {
	directory, news := newDirectory("z1")
	directory.Membership.Merge([]membership.Member{router("a", "z1"), router("b", "z1"), relay("r2", "z2"), relay("r3", "z3")})
	publishFronts(t, news, 1, zonesummary.RouterEndpoints{Zone: "z2", Ready: []ids.Address{"fd"}})
	publishFronts(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	expect := func(asked LookupRequest, want ...ids.Address) {
		t.Helper()
		if got := directory.Choose(asked); !slices.Equal(got, want) {
			t.Errorf("%v: %v, not %v", asked, got, want)
		}
	}
	expect(LookupRequest{Zone: "z1", Region: "r1"}, "fa", "fb")
	expect(LookupRequest{Zone: "z2", Region: "r1"}, "fd")
	expect(LookupRequest{Zone: "z9", Region: "r1"}, "fa", "fb", "fd")
	expect(LookupRequest{Zone: "z9", Region: "r9"}, "fa", "fb", "fd", "fe")
	for _, gone := range []func(*membership.Member){
		func(member *membership.Member) { member.State = membership.Suspect },
		func(member *membership.Member) { member.Ready = false; member.Incarnation = 2 },
	} {
		member := router("a", "z1")
		gone(&member)
		directory.Membership.Merge([]membership.Member{member})
		expect(LookupRequest{Zone: "z1", Region: "r1"}, "fb")
	}
	directory.Membership.AdvanceState("b", membership.Removed)
	expect(LookupRequest{Zone: "z1", Region: "r1"}, "fd")
	// A zone whose relays are gone is not gone to, whatever was told of it.
	directory.Membership.AdvanceState("r2", membership.Suspect)
	expect(LookupRequest{Zone: "z2", Region: "r1"}, "fe")
}

func TestLookupResponse_emptyIsUnavailable(t *testing.T) {
	directory, _ := newDirectory("z1")
	found := LookupResponse{Addresses: directory.Choose(LookupRequest{})}
	if reply := found.Reply(); reply.Status != 503 {
		t.Fatalf("%+v", reply)
	}
}

// TestChoose_regionWithoutReachableRunners has the routers of a region reach no runners:
// clients are sent to others; where these are out of this directory's reach,
// it gives no answer, and only where there are no others does it list them.
func TestChoose_regionWithoutReachableRunners(t *testing.T) {
	directory, news := newDirectory("z1")
	unable := router("a", "z1")
	unable.Degraded = true
	directory.Membership.Merge([]membership.Member{unable})
	asked := LookupRequest{Zone: "z1", Region: "r1"}
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fa"}) {
		t.Fatalf("%v, though there is nobody else", got)
	}
	directory.Membership.Merge([]membership.Member{relay("r3", "z3")})
	publishFronts(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Degraded: []ids.Address{"fu"}})
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fa"}) {
		t.Fatalf("%v, though there is nobody better", got)
	}
	publishFronts(t, news, 2, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fe"}) {
		t.Fatalf("%v, not the router that reaches runners", got)
	}
	directory.Membership.AdvanceState("r3", membership.Removed)
	if got := directory.Choose(asked); len(got) != 0 {
		t.Fatalf("%v, though others may do better", got)
	}
}
