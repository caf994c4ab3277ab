package directory

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
)

const lossTimeout = 12 * time.Second

var zoneRegions = map[ids.Zone]ids.Region{"z1": "r1", "z2": "r1", "z3": "r2"}

// newRouter makes a ready router; its client address is that of the member after
// an f.
func newRouter(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Role: "router", Zone: zone, Region: zoneRegions[zone], ClientAddress: "f" + address, Ready: true, Incarnation: 1}
}

func newRelay(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: zoneRegions[zone], Relay: true, Incarnation: 1}
}

// fixture is the directory of a controller in zone z1, and what it hears.
type fixture struct {
	*Directory
	t       testing.TB
	updates *gossip.Store
	clock   *clock.Fake
}

func newFixture(t testing.TB) *fixture {
	fake := clock.NewFake()
	self := membership.Member{Address: "c", Role: "fleet-controller", Zone: "z1", Region: zoneRegions["z1"], Ready: true, ServesControl: true}
	table, updates := membership.NewTable(fake, self), gossip.NewStore(nil)
	summaries := &zonesummary.Manager{Table: table, Store: updates, Zones: zoneRegions, RouterRole: "router"}
	return &fixture{
		Directory: &Directory{Membership: table, OtherZones: summaries.RemoteEndpoints, Zones: zoneRegions, LossTimeout: lossTimeout},
		t:         t, updates: updates, clock: fake,
	}
}

func (f *fixture) merge(members ...membership.Member) { f.Membership.Merge(members) }

// publish publishes the routers of another zone.
func (f *fixture) publish(serial ids.Version, routers zonesummary.RouterEndpoints) {
	f.t.Helper()
	body, err := transport.Marshal(routers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.updates.Put(gossip.Item{Key: zonesummary.EndpointsPrefix + string(routers.Zone), Version: serial, Body: body})
}

// expect checks what a client of a zone and region is answered.
func (f *fixture) expect(step string, req LookupRequest, want ...ids.Address) {
	f.t.Helper()
	if got := f.Choose(req); !slices.Equal(got, want) {
		f.t.Errorf("%s: %v: %v, want %v", step, req, got, want)
	}
}

func TestChoose_prefersNearestRouters(t *testing.T) {
	f := newFixture(t)
	f.merge(newRouter("a", "z1"), newRouter("b", "z1"), newRelay("r2", "z2"), newRelay("r3", "z3"))
	f.publish(1, zonesummary.RouterEndpoints{Zone: "z2", Ready: []ids.Address{"fd"}})
	f.publish(1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	f.expect("own zone", LookupRequest{Zone: "z1", Region: "r1"}, "fa", "fb")
	f.expect("another zone", LookupRequest{Zone: "z2", Region: "r1"}, "fd")
	f.expect("unknown zone", LookupRequest{Zone: "z9", Region: "r1"}, "fa", "fb", "fd")
	f.expect("unknown region", LookupRequest{Zone: "z9", Region: "r9"}, "fa", "fb", "fd", "fe")
	for _, change := range []struct {
		name  string
		apply func(*membership.Member)
	}{
		{"suspect", func(member *membership.Member) { member.State = membership.Suspect }},
		{"not ready", func(member *membership.Member) { member.Ready = false; member.Incarnation = 2 }},
	} {
		member := newRouter("a", "z1")
		change.apply(&member)
		f.merge(member)
		f.expect(change.name, LookupRequest{Zone: "z1", Region: "r1"}, "fb")
	}
	f.Membership.AdvanceState("b", membership.Removed)
	f.expect("own zone without routers", LookupRequest{Zone: "z1", Region: "r1"}, "fd")
	// Routers of a zone whose relays are gone are left out, whatever was published.
	f.Membership.AdvanceState("r2", membership.Suspect)
	f.expect("zone without relays", LookupRequest{Zone: "z2", Region: "r1"}, "fe")
}

func TestLookupResponse_emptyIsUnavailable(t *testing.T) {
	f := newFixture(t)
	resp := LookupResponse{Addresses: f.Choose(LookupRequest{})}
	if reply := resp.Response(); reply.Status != http.StatusServiceUnavailable {
		t.Fatalf("%+v", reply)
	}
}

// TestChoose_regionWithoutReachableRunners has the routers of a region reach no
// runners: clients are redirected to others; where these are unreachable there is
// no answer, and only where there are no others are the degraded ones chosen.
func TestChoose_regionWithoutReachableRunners(t *testing.T) {
	f := newFixture(t)
	degraded := newRouter("a", "z1")
	degraded.Degraded = true
	f.merge(degraded)
	req := LookupRequest{Zone: "z1", Region: "r1"}
	f.expect("no other router", req, "fa")
	f.merge(newRelay("r3", "z3"))
	f.publish(1, zonesummary.RouterEndpoints{Zone: "z3", Degraded: []ids.Address{"fu"}})
	f.expect("no better router", req, "fa")
	f.publish(2, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	f.expect("a router that reaches runners", req, "fe")
	f.Membership.AdvanceState("r3", membership.Removed)
	f.expect("others may be better, but are unreachable", req)
}
