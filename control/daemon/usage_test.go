package daemon

import (
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// TestCopyRecipient_survivesRegionLoss checks that the copy of a zone's counts goes to a
// controller that isn't lost together with the zone and the holder, if there is one.
func TestCopyRecipient_survivesRegionLoss(t *testing.T) {
	controller := func(address ids.Address, zone ids.Zone, region ids.Region, state membership.State) membership.Member {
		return membership.Member{Address: address, Zone: zone, Region: region, ServesControl: true, State: state}
	}
	north1, north2 := controller("a", "n1", "north", membership.Alive), controller("b", "n2", "north", membership.Alive)
	south1, south2 := controller("c", "s1", "south", membership.Alive), controller("d", "s2", "south", membership.Alive)
	lost := controller("c", "s1", "south", membership.Removed)
	cases := []struct {
		name    string
		members []membership.Member
		holder  ids.Address
		want    ids.Address
	}{
		{"holder in another region", []membership.Member{north1, north2, south1}, "c", ""},
		{"holder in this region", []membership.Member{north1, north2, south1, south2}, "b", "c"},
		{"no holder known", []membership.Member{north1, north2, south2}, "", "d"},
		{"first of the other region is down", []membership.Member{north1, north2, lost, south2}, "b", "d"},
		{"one region: another zone", []membership.Member{north1, north2}, "a", "b"},
		{"nobody else", []membership.Member{north1}, "a", ""},
	}
	for _, test := range cases {
		if got := copyRecipient(test.members, north1, test.holder); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}
