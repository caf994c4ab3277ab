package command

import (
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/control/config/evacuation"
)

// TestDispatch_zoneCommandActsOnce has the owner act on an order on a zone and answer that it
// is unsettled. Before the order is brought again, others see what it did and
// take it back: it must not act a second time.
func TestDispatch_zoneCommandActsOnce(t *testing.T) {
	cases := map[string]struct{ before, order, back string }{
		"emptied":             {before: VerbUndrain, order: VerbDrain, back: VerbUndrain},
		"refilled":            {before: VerbDrain, order: VerbUndrain, back: VerbDrain},
		"emptied, never been": {order: VerbDrain, back: VerbUndrain},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newCluster(t, clock.Millisecond)
				if one.before != "" {
					world.mustDispatch("a", zoneCommand(one.before))
				} else {
					world.mustDispatch("a", zoneCommand(VerbRead))
				}
				seen := 0
				world.afterForward = func() {
					world.afterForward = nil
					seen++
					// Two of three disks hold it by now: whoever reads it sees it.
					kept, err := evacuation.Decode(world.nodes["c"].acceptor.Slot(zoneCommand("").Key).Accepted.Value)
					if err != nil || kept.Drained != (one.order == VerbDrain) {
						t.Errorf("the owner has not acted: %+v, %v", kept, err)
					}
					world.mustDispatch("a", zoneCommand(one.back))
				}
				world.mustDispatch("b", zoneCommand(one.order))
				if seen != 1 {
					t.Fatalf("%d orders left unsettled", seen)
				}
				if world.drained("c") != (one.back == VerbDrain) {
					t.Error("acted a second time")
				}
			})
		})
	}
}
