package directory

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
)

// TestChoose_keepsClientsInRegionUnlessLost fixes the order in which a directory
// hears of routers: other regions' are able while those of the client's are
// not, but nothing says that the client's region is lost.
func TestChoose_keepsClientsInRegionUnlessLost(t *testing.T) {
	asked := LookupRequest{Zone: "z1", Region: "r1"}
	starting, leaving := router("a", "z1"), router("a", "z1")
	starting.Ready = false
	leaving.State, leaving.Ready = membership.Left, false
	suspect, unable := router("a", "z1"), router("a", "z1")
	suspect.State, unable.Degraded = membership.Suspect, true
	removed, restored := router("a", "z1"), router("a", "z1")
	removed.State, removed.Ready = membership.Removed, false
	restored.State, restored.Ready, restored.Incarnation = membership.Removed, false, 0
	cases := []struct {
		name    string
		members []membership.Member
		own     zonesummary.RouterEndpoints
		want    []ids.Address
	}{
		{"nothing was heard of the region yet", nil, zonesummary.RouterEndpoints{}, nil},
		{"its routers start", []membership.Member{starting}, zonesummary.RouterEndpoints{}, nil},
		{"its routers leave in order", []membership.Member{leaving}, zonesummary.RouterEndpoints{}, nil},
		{"another zone of the region has none that is ready", []membership.Member{leaving, relay("r2", "z2")}, zonesummary.RouterEndpoints{Zone: "z2"}, nil},
		{"another zone of the region has one", []membership.Member{leaving, relay("r2", "z2")}, zonesummary.RouterEndpoints{Zone: "z2", Ready: []ids.Address{"fd"}}, []ids.Address{"fd"}},
		{"its router answers no more", []membership.Member{suspect}, zonesummary.RouterEndpoints{}, []ids.Address{"fe"}},
		{"its router was removed", []membership.Member{removed}, zonesummary.RouterEndpoints{}, []ids.Address{"fe"}},
		{"its routers are known from the disk of a restarted daemon", []membership.Member{restored}, zonesummary.RouterEndpoints{}, nil},
		{"its routers reach no runners", []membership.Member{unable}, zonesummary.RouterEndpoints{}, []ids.Address{"fe"}},
	}
	for _, example := range cases {
		directory, news := newDirectory("z1")
		directory.Membership.Merge(append(example.members, relay("r3", "z3")))
		publishFronts(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
		if example.own.Zone != "" {
			publishFronts(t, news, 1, example.own)
		}
		if got := directory.Choose(asked); !slices.Equal(got, example.want) {
			t.Errorf("%s: %v, not %v", example.name, got, example.want)
		}
	}
}

// TestChoose_regionLostUntilRouterIsAble walks a region through a loss and
// its return, and through an absence for no known reason.
func TestChoose_regionLostUntilRouterIsAble(t *testing.T) {
	machine := clock.NewFake()
	directory, news := newDirectoryWithClock(machine, "z1")
	asked := LookupRequest{Zone: "z1", Region: "r1"}
	expect := func(what string, want ...ids.Address) {
		t.Helper()
		if got := directory.Choose(asked); !slices.Equal(got, want) {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	directory.Membership.Merge([]membership.Member{router("a", "z1"), relay("r3", "z3")})
	publishFronts(t, news, 1, zonesummary.RouterEndpoints{Zone: "z3", Ready: []ids.Address{"fe"}})
	expect("all is well", "fa")
	directory.Membership.AdvanceState("a", membership.Suspect)
	expect("its router answers no more", "fe")
	back := router("a", "z1")
	back.Incarnation, back.Ready = 2, false
	directory.Membership.Merge([]membership.Member{back})
	expect("it is back and not ready", "fe")
	back.Incarnation, back.Ready = 3, true
	directory.Membership.Merge([]membership.Member{back})
	expect("it is ready", "fa")
	back.Incarnation, back.Ready = 4, false
	directory.Membership.Merge([]membership.Member{back})
	expect("it leaves in order")
	machine.Advance(lossTimeout)
	expect("it stays away for as long as that may be")
	machine.Advance(clock.Millisecond)
	expect("it stays away for longer", "fe")
}

func TestDirectory_countsUnjustifiedRedirects(t *testing.T) {
	directory, _ := newDirectory("z1")
	directory.Monitor = &invariant.Monitor{Tolerant: true}
	directory.checkRedirect(LookupRequest{Zone: "z1", Region: "r1"}, []ids.Address{"fe"}, 0)
	directory.checkRedirect(LookupRequest{Zone: "z9", Region: "r9"}, []ids.Address{"fe"}, 0)
	if got := directory.Monitor.Count(invariant.LedAway); got != 1 {
		t.Errorf("counted %d", got)
	}
}
