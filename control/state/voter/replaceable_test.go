package voter

import (
	"testing"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// TestVoter_responsivePeerIsNotReplaceable has a voter that no daemon remembers,
// or that was removed from the membership: it must not be replaceable before it
// falls silent. A voter that leaves is replaceable even while it responds.
func TestVoter_responsivePeerIsNotReplaceable(t *testing.T) {
	for _, tt := range []struct {
		name            string
		state           membership.State
		whileResponsive bool
	}{
		{name: "unknown", state: -1},
		{name: "removed", state: membership.Removed},
		{name: "left", state: membership.Left, whileResponsive: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			silent := map[ids.Address]bool{}
			round, v, other := c.attachTracker(0, silent), c.voters[0], c.voters[1].options.Address
			members := []membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 2, ServesControl: true, State: tt.state}}
			if tt.state < 0 {
				v.options.Membership = membership.NewTable(c.clock, membership.Member{Address: v.options.Address, Role: "fleet-controller"})
			} else {
				v.options.Membership.Merge(members)
			}
			for range 20 {
				round()
				if replaceable := v.isReplaceable(other); replaceable != tt.whileResponsive {
					t.Fatalf("while the voter responds, replaceable is %v", replaceable)
				}
				c.clock.Advance(testTiming.Tick)
			}
			silent[other] = true
			replaceable := false
			for elapsed := time.Duration(0); elapsed < 4*v.options.ReplaceAfter; elapsed += testTiming.Tick {
				round()
				c.clock.Advance(testTiming.Tick)
				replaceable = v.isReplaceable(other)
			}
			if !replaceable {
				t.Fatal("a voter that has fallen silent is not replaceable")
			}
		})
	}
}
