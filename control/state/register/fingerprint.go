package register

import (
	"hash/fnv"
	"slices"
	"sync/atomic"
)

// cachedFingerprint are voters with their mark. The seats are its own.
type cachedFingerprint struct {
	voters      VoterSet
	fingerprint int64
}

// lastFingerprint are those that were asked for last: voters change seldom, and each
// message to one carries their mark.
var lastFingerprint atomic.Pointer[cachedFingerprint]

// Fingerprint tells voters of one generation apart that two takers proposed at once.
func (v VoterSet) Fingerprint() int64 {
	if last := lastFingerprint.Load(); last != nil && last.voters.equal(v) {
		return last.fingerprint
	}
	made := &cachedFingerprint{voters: VoterSet{Generation: v.Generation, Members: slices.Clone(v.Members)}, fingerprint: v.computeFingerprint()}
	lastFingerprint.Store(made)
	return made.fingerprint
}

func (v VoterSet) equal(other VoterSet) bool {
	return v.Generation == other.Generation && slices.Equal(v.Members, other.Members)
}

func (v VoterSet) computeFingerprint() int64 {
	digest := fnv.New64a()
	_, _ = digest.Write(encode(v))
	return int64(digest.Sum64())
}
