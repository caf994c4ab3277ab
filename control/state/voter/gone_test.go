package voter

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// TestOneThatAnswersIsNotGone has a voter that no daemon told of, or that was
// removed: while it answers it is not gone, and once it falls silent it is. One
// that leaves gives its seat also while it answers.
func TestOneThatAnswersIsNotGone(t *testing.T) {
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
			site := newSite(t, 3)
			silent := map[ids.Address]bool{}
			ask, subject, other := site.listen(0, silent), site.seats[0], site.seats[1].options.Address
			members := []membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 2, Core: true, State: example.state}}
			if example.state < 0 {
				subject.options.Table = membership.NewTable(site.clock, membership.Member{Address: subject.options.Address, Role: "fleet-controller"})
			} else {
				subject.options.Table.Merge(members)
			}
			for range 20 {
				ask()
				if gone := subject.isGone(other); gone != example.leaves {
					t.Fatalf("answers, and is gone: %v", gone)
				}
				site.clock.Move(pace.Tick)
			}
			silent[other] = true
			gone := false
			for span := clock.Span(0); span < 4*subject.options.Patience; span += pace.Tick {
				ask()
				site.clock.Move(pace.Tick)
				gone = subject.isGone(other)
			}
			if !gone {
				t.Fatal("silent, and not gone")
			}
		})
	}
}
