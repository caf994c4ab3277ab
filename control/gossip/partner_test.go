package gossip

import (
	"math/rand/v2"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// TestChoosePartner_joinsThroughSeeds guards against isolated groups after many daemons
// start together: a controller that knew some others but no seed chose a seed in only one
// exchange of 32, so that several groups that did not know each other persisted for many
// seconds. Seeds must be chosen often until each has answered, even if the group already
// spans several zones.
func TestChoosePartner_joinsThroughSeeds(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	random.SetSource(source.Int64N)
	defer random.SetSource(nil)
	router := membership.Member{Address: "router", Zone: "a", Incarnation: 1}
	far := membership.Member{Address: "far", Zone: "b", Incarnation: 1, ServesControl: true}
	for _, test := range []struct {
		name      string
		known     []membership.Member
		answered  []ids.Address
		exchanges int64
		// The allowed number of exchanges with a seed, out of 100.
		min, max int
	}{
		{name: "isolated group in one zone", known: []membership.Member{router}, min: 30, max: 70},
		{name: "isolated group in one zone, long after the start", known: []membership.Member{router}, exchanges: 100, min: 30, max: 70},
		{name: "isolated group in two zones", known: []membership.Member{router, far}, min: 30, max: 70},
		{name: "one seed has answered", known: []membership.Member{router, far}, answered: []ids.Address{"one"}, min: 30, max: 70},
		{name: "one seed never answers", known: []membership.Member{router, far}, answered: []ids.Address{"one"}, exchanges: 100, min: 5, max: 25},
		{name: "all seeds have answered", known: []membership.Member{router, far}, answered: []ids.Address{"one", "two"}, min: 1, max: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := membership.NewTable(clock.NewFake(), membership.Member{Address: "own", Zone: "a", ServesControl: true})
			table.Merge(test.known)
			g := &Gossiper{
				Table: table, Store: NewStore(func(Item) {}), Seeds: []ids.Address{"one", "two", "own"},
				Zones: map[ids.Zone]ids.Region{"a": "r", "b": "r"},
			}
			g.exchanges.Store(test.exchanges)
			for _, seed := range test.answered {
				g.recordSeedAnswer(seed)
			}
			toSeed := 0
			for range 100 {
				if partner, ok := g.choosePartner(); ok && (partner == "one" || partner == "two") {
					toSeed++
				}
			}
			if toSeed < test.min || toSeed > test.max {
				t.Errorf("%d of 100 exchanges go to a seed, want %d to %d", toSeed, test.min, test.max)
			}
		})
	}
}
