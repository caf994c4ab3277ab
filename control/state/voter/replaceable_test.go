package voter

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// TestVoter_responsivePeerIsNotReplaceable has a voter that no daemon told of, or that was
// removed: while it answers it is not gone, and once it falls silent it is. One
// that leaves gives its seat also while it answers.
func TestVoter_responsivePeerIsNotReplaceable(t *testing.T) {
	for _, example := range []struct {
		text   string
		state  membership.State
		leaves bool
	}{
		{text: "nobody told of it", state: -1},
		{text: "removed", state: membership.Removed},
		{text: "left", state: membership.Left, leaves: true},
	} {
		t.Run(example.text, func(t *testing.T) {
			site := newCluster(t, 3)
			silent := map[ids.Address]bool{}
			ask, subject, other := site.attachTracker(0, silent), site.voters[0], site.voters[1].options.Address
			members := []membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 2, ServesControl: true, State: example.state}}
			if example.state < 0 {
				subject.options.Membership = membership.NewTable(site.clock, membership.Member{Address: subject.options.Address, Role: "fleet-controller"})
			} else {
				subject.options.Membership.Merge(members)
			}
			for range 20 {
				ask()
				if gone := subject.isReplaceable(other); gone != example.leaves {
					t.Fatalf("answers, and is gone: %v", gone)
				}
				site.clock.Advance(testTiming.Tick)
			}
			silent[other] = true
			gone := false
			for span := clock.Span(0); span < 4*subject.options.ReplaceAfter; span += testTiming.Tick {
				ask()
				site.clock.Advance(testTiming.Tick)
				gone = subject.isReplaceable(other)
			}
			if !gone {
				t.Fatal("silent, and not gone")
			}
		})
	}
}
