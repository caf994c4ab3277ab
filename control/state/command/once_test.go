package command

import (
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/control/config/evacuation"
)

// TestOrderActsOnce has the owner act on an order on a zone and answer that it
// is unsettled. Before the order is brought again, others see what it did and
// take it back: it must not act a second time.
func TestOrderActsOnce(t *testing.T) {
	cases := map[string]struct{ before, order, back string }{
		"emptied":             {before: VerbRefill, order: VerbEmpty, back: VerbRefill},
		"refilled":            {before: VerbEmpty, order: VerbRefill, back: VerbEmpty},
		"emptied, never been": {order: VerbEmpty, back: VerbRefill},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(t, clock.Millisecond)
				if one.before != "" {
					world.must("a", zone(one.before))
				} else {
					world.must("a", zone(VerbRead))
				}
				seen := 0
				world.unsettled = func() {
					world.unsettled = nil
					seen++
					// Two of three disks hold it by now: whoever reads it sees it.
					kept, err := evacuation.Read(world.nodes["c"].voter.Slot(zone("").Key).Accepted.Value)
					if err != nil || kept.Empty != (one.order == VerbEmpty) {
						t.Errorf("the owner has not acted: %+v, %v", kept, err)
					}
					world.must("a", zone(one.back))
				}
				world.must("b", zone(one.order))
				if seen != 1 {
					t.Fatalf("%d orders left unsettled", seen)
				}
				if world.empty("c") != (one.back == VerbEmpty) {
					t.Error("acted a second time")
				}
			})
		})
	}
}
