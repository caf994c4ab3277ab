package command

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/control/config/evacuation"
)

// TestDispatch_zoneCommandActsOnce guards against a command on a zone that takes effect
// twice. The owner executes the command, but the forwarder gets an unknown outcome.
// Before the command is routed again, another controller undoes its effect.
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
					// Two of the three disks hold the effect by now, so every read sees it.
					state, err := evacuation.Decode(c.nodes["c"].acceptor.Slot(zoneCommand("").Key).Accepted.Value)
					if err != nil || state.Drained != (test.verb == VerbDrain) {
						t.Errorf("the owner did not execute the command: %+v, %v", state, err)
					}
					c.mustDispatch("a", zoneCommand(test.undo))
				}
				c.mustDispatch("b", zoneCommand(test.verb))
				if undecided != 1 {
					t.Fatalf("%d forwarded commands had an unknown outcome, want 1", undecided)
				}
				if c.drained("c") != (test.undo == VerbDrain) {
					t.Error("the command took effect a second time")
				}
			})
		})
	}
}
