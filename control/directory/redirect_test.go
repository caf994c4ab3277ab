package directory

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
)

// TestChoose_keepsClientsInRegionUnlessLost covers a directory that knows of ready
// routers in another region before it knows of any in the client's region. Clients
// are redirected only if there is evidence that their region is lost.
func TestChoose_keepsClientsInRegionUnlessLost(t *testing.T) {
	starting, leaving := newRouter("a", "z1"), newRouter("a", "z1")
	starting.Ready = false
	leaving.State, leaving.Ready = membership.Left, false
	suspect, degraded := newRouter("a", "z1"), newRouter("a", "z1")
	suspect.State, degraded.Degraded = membership.Suspect, true
	removed, restored := newRouter("a", "z1"), newRouter("a", "z1")
	removed.State, removed.Ready = membership.Removed, false
	restored.State, restored.Ready, restored.Incarnation = membership.Removed, false, 0
	for _, c := range []struct {
		name      string
		members   []membership.Member
		otherZone zonesummary.RouterEndpoints
		want      []ids.Address
	}{
		{name: "no member of the region known yet"},
		{name: "routers starting", members: []membership.Member{starting}},
		{name: "routers leaving gracefully", members: []membership.Member{leaving}},
		{
			name: "other zone of the region without a ready router", members: []membership.Member{leaving, newRelay("r2", "z2")},
			otherZone: zonesummary.RouterEndpoints{Zone: "z2"},
		},
		{
			name: "other zone of the region with one", members: []membership.Member{leaving, newRelay("r2", "z2")},
			otherZone: zonesummary.RouterEndpoints{Zone: "z2", Ready: []ids.Address{"fd"}}, want: []ids.Address{"fd"},
		},
		{name: "router suspect", members: []membership.Member{suspect}, want: []ids.Address{"fe"}},
		{name: "router removed", members: []membership.Member{removed}, want: []ids.Address{"fe"}},
		{name: "routers known only from a restarted daemon's disk", members: []membership.Member{restored}},
		{name: "routers reach no runners", members: []membership.Member{degraded}, want: []ids.Address{"fe"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.merge(append(c.members, newRelay("r3", "z3"))...)
			f.publish(1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
			if c.otherZone.Zone != "" {
				f.publish(1, c.otherZone)
			}
			f.expect("first look-up", LookupRequest{Zone: "z1", Region: "r1"}, c.want...)
		})
	}
}

// TestChoose_regionLostUntilRouterIsReady covers a region that is lost and recovers,
// and one that has no ready router for LossTimeout without evidence of a failure.
func TestChoose_regionLostUntilRouterIsReady(t *testing.T) {
	f := newFixture(t)
	req := LookupRequest{Zone: "z1", Region: "r1"}
	restart := func(incarnation ids.Incarnation, ready bool) {
		member := newRouter("a", "z1")
		member.Incarnation, member.Ready = incarnation, ready
		f.merge(member)
	}
	f.merge(newRouter("a", "z1"), newRelay("r3", "z3"))
	f.publish(1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	f.expect("healthy", req, "fa")
	f.Membership.AdvanceState("a", membership.Suspect)
	f.expect("router suspect", req, "fe")
	restart(2, false)
	f.expect("router restarted, not ready", req, "fe")
	restart(3, true)
	f.expect("router ready", req, "fa")
	restart(4, false)
	f.expect("router leaves gracefully", req)
	f.clock.Advance(lossTimeout)
	f.expect("no ready router for LossTimeout", req)
	f.clock.Advance(time.Millisecond)
	f.expect("no ready router for longer than LossTimeout", req, "fe")
}

func TestDirectory_countsUnjustifiedRedirects(t *testing.T) {
	f := newFixture(t)
	f.Monitor = &invariant.Monitor{Tolerant: true}
	f.checkRedirect(LookupRequest{Zone: "z1", Region: "r1"}, []ids.Address{"fe"})
	f.checkRedirect(LookupRequest{Zone: "z9", Region: "r9"}, []ids.Address{"fe"})
	if got := f.Monitor.Count(invariant.RegionFailover); got != 1 {
		t.Errorf("counted %d violations, want 1: the redirect out of a deployed region", got)
	}
}

// TestChoose_remembersOnlyRegionsOfTheDeployment guards against look-ups of regions that
// do not exist filling the memory: each name was kept, with the request that it came in.
func TestChoose_remembersOnlyRegionsOfTheDeployment(t *testing.T) {
	const lookups = 1000
	f := newFixture(t)
	f.merge(newRouter("a", "z1"))
	for range 2 {
		for number := range lookups {
			f.Choose(LookupRequest{Zone: "z1", Region: ids.Region(fmt.Sprintf("r-%d", number))})
			f.Choose(LookupRequest{Zone: "z9", Region: ids.Region(fmt.Sprintf("s-%d", number))})
		}
		if got := len(f.regions.states); got != 0 {
			t.Errorf("%d regions are remembered after look-ups of unknown ones, want 0", got)
		}
		f.Membership.AdvanceState("a", membership.Suspect)
	}
	head := "GET /lookup?zone=z1&region=r1 HTTP/1.1"
	named := strings.Index(head, "r1")
	f.Choose(LookupRequest{Zone: "z1", Region: ids.Region(head[named : named+len("r1")])})
	for name := range f.regions.states {
		if unsafe.StringData(string(name)) == unsafe.StringData(head[named:]) {
			t.Errorf("the name of region %s is a part of the request, which it keeps in memory", name)
		}
	}
	if got := len(f.regions.states); got != 1 {
		t.Errorf("%d regions are remembered after a look-up of a known one, want 1", got)
	}
}
