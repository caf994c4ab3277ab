package command

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/control/config/evacuation"
)

// TestDispatch_zoneCommandActsOnce has the owner execute a command on a zone and
// leave its outcome open. Before the command is routed again, others see its
// effect and undo it: it must not act a second time.
func TestDispatch_zoneCommandActsOnce(t *testing.T) {
	cases := map[string]struct{ before, verb, undo string }{
		"drained":              {before: VerbUndrain, verb: VerbDrain, undo: VerbUndrain},
		"undrained":            {before: VerbDrain, verb: VerbUndrain, undo: VerbDrain},
		"drained, first write": {verb: VerbDrain, undo: VerbUndrain},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, time.Millisecond)
				if test.before != "" {
					c.mustDispatch("a", zoneCommand(test.before))
				} else {
					c.mustDispatch("a", zoneCommand(VerbRead))
				}
				undecided := 0
				c.afterForward = func() {
					c.afterForward = nil
					undecided++
					// Two of three disks hold the effect by now: every read sees it.
					state, err := evacuation.Decode(c.nodes["c"].acceptor.Slot(zoneCommand("").Key).Accepted.Value)
					if err != nil || state.Drained != (test.verb == VerbDrain) {
						t.Errorf("the owner did not act: %+v, %v", state, err)
					}
					c.mustDispatch("a", zoneCommand(test.undo))
				}
				c.mustDispatch("b", zoneCommand(test.verb))
				if undecided != 1 {
					t.Fatalf("%d commands were left undecided", undecided)
				}
				if c.drained("c") != (test.undo == VerbDrain) {
					t.Error("acted a second time")
				}
			})
		})
	}
}
