package register

import (
	"hash/fnv"
	"slices"
	"sync/atomic"
)

// marked are voters with their mark. The seats are its own.
type marked struct {
	voters Voters
	mark   int64
}

// lastMarked are those that were asked for last: voters change seldom, and each
// message to one carries their mark.
var lastMarked atomic.Pointer[marked]

// Mark tells voters of one generation apart that two takers proposed at once.
func (v Voters) Mark() int64 {
	if last := lastMarked.Load(); last != nil && last.voters.same(v) {
		return last.mark
	}
	made := &marked{voters: Voters{Generation: v.Generation, Seats: slices.Clone(v.Seats)}, mark: v.sum()}
	lastMarked.Store(made)
	return made.mark
}

func (v Voters) same(other Voters) bool {
	return v.Generation == other.Generation && slices.Equal(v.Seats, other.Seats)
}

func (v Voters) sum() int64 {
	digest := fnv.New64a()
	_, _ = digest.Write(pack(v))
	return int64(digest.Sum64())
}
