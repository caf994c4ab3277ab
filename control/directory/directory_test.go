package directory

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/cohort"
)

func router(address ids.Address, zone ids.Zone, region ids.Region) cohort.Member {
	return cohort.Member{Address: address, Role: "router", Zone: zone, Region: region, Front: "f" + address, Ready: true, Incarnation: 1}
}

func TestCloseRoutersComeFirst(t *testing.T) {
	table := cohort.NewTable(clock.NewFake(), cohort.Member{Address: "c", Role: "fleet-controller", Ready: true})
	members := []cohort.Member{
		router("a", "z1", "r1"), router("b", "z1", "r1"), router("d", "z2", "r1"), router("e", "z3", "r2"),
	}
	table.Merge(members)
	directory := Directory{Table: table, Fewest: 1}
	expect := func(asked Lookup, want ...ids.Address) {
		t.Helper()
		if got := directory.Choose(asked); !slices.Equal(got, want) {
			t.Errorf("%v: %v, not %v", asked, got, want)
		}
	}
	expect(Lookup{Zone: "z1", Region: "r1"}, "fa", "fb")
	expect(Lookup{Zone: "z9", Region: "r1"}, "fa", "fb", "fd")
	expect(Lookup{Zone: "z9", Region: "r9"}, "fa", "fb", "fd", "fe")
	for _, gone := range []func(*cohort.Member){
		func(member *cohort.Member) { member.State = cohort.Suspect },
		func(member *cohort.Member) { member.Ready = false; member.Incarnation = 2 },
	} {
		member := router("a", "z1", "r1")
		gone(&member)
		table.Merge([]cohort.Member{member})
		expect(Lookup{Zone: "z1", Region: "r1"}, "fb")
	}
	table.Judge("b", cohort.Removed)
	expect(Lookup{Zone: "z1", Region: "r1"}, "fd")
}

func TestNobodyReadyIsNoAnswer(t *testing.T) {
	table := cohort.NewTable(clock.NewFake(), cohort.Member{Address: "c", Role: "fleet-controller"})
	found := Found{Addresses: Directory{Table: table, Fewest: 1}.Choose(Lookup{})}
	if reply := found.Reply(); reply.Status != 503 {
		t.Fatalf("%+v", reply)
	}
}

// TestRegionThatReachesNoRunners has the routers of a region reach no runners:
// visitors are sent to others; where these are out of this directory's reach,
// it gives no answer, and only where there are no others does it list them.
func TestRegionThatReachesNoRunners(t *testing.T) {
	table := cohort.NewTable(clock.NewFake(), cohort.Member{Address: "c", Role: "fleet-controller"})
	unable := router("a", "z1", "r1")
	unable.Unable = true
	table.Merge([]cohort.Member{unable})
	directory, asked := Directory{Table: table, Fewest: 1}, Lookup{Zone: "z1", Region: "r1"}
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fa"}) {
		t.Fatalf("%v, though there is nobody else", got)
	}
	table.Merge([]cohort.Member{router("e", "z3", "r2")})
	if got := directory.Choose(asked); !slices.Equal(got, []ids.Address{"fe"}) {
		t.Fatalf("%v, not the router that reaches runners", got)
	}
	table.Judge("e", cohort.Removed)
	if got := directory.Choose(asked); len(got) != 0 {
		t.Fatalf("%v, though others may do better", got)
	}
}
