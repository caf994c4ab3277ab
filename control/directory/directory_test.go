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

// newRouter returns a ready router. Its client address is the member's address with
// the prefix f.
func newRouter(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Role: "router", Zone: zone, Region: zoneRegions[zone], ClientAddress: "f" + address, Ready: true, Incarnation: 1}
}

func newRelay(address ids.Address, zone ids.Zone) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: zoneRegions[zone], Relay: true, Incarnation: 1}
}

// fixture is the directory of a controller in zone z1, with the gossip store and the
// clock that it uses.
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

// publish puts the router endpoints of another zone into the gossip store.
func (f *fixture) publish(serial ids.Version, routers zonesummary.RouterEndpoints) {
	f.t.Helper()
	body, err := transport.Marshal(routers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.updates.Put(gossip.Item{Key: zonesummary.EndpointsPrefix + string(routers.Zone), Version: serial, Body: body})
}

// expect checks the addresses that the directory chooses for a look-up.
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
	// Routers of a zone without an alive relay are left out, even if their endpoints
	// were published.
	f.Membership.AdvanceState("r2", membership.Suspect)
	f.expect("zone without relays", LookupRequest{Zone: "z2", Region: "r1"}, "fe")
}

func TestLookupResponse_emptyIsUnavailable(t *testing.T) {
	f := newFixture(t)
	resp := LookupResponse{Addresses: f.Choose(LookupRequest{})}
	if reply := resp.Response(); reply.Status != http.StatusServiceUnavailable {
		t.Fatalf("reply to a look-up without addresses: want status 503, got %+v", reply)
	}
}

// TestChoose_regionWithoutReachableRunners covers a region whose routers reach no
// runners. Its clients are redirected to ready routers elsewhere. If other routers
// may be unreachable, the look-up returns none; the degraded routers are chosen only
// if all routers are known and none is ready.
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
	f.expect("other routers may be ready, but are unreachable", req)
}
