package register

import (
	"hash/fnv"
	"slices"
	"sync/atomic"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// VotersKey is the key under which the voter set itself is stored.
const VotersKey = "cohort"

// Member is one member of a voter set. A voter that has lost its disk returns
// under another incarnation as a learner: its votes don't count until it has
// learned what its former disk may have voted for.
type Member struct {
	Address     ids.Address     `avro:"Address" json:"Address"`
	Incarnation ids.Incarnation `avro:"Incarnation" json:"Incarnation"`
	Learner     bool            `avro:"Learning" json:"Learning"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Member) SchemaName() string { return "Seat_25" }

// VoterSet is the value under VotersKey. A single member changes from one
// generation to the next, and a replacement learns before it votes, so every
// majority of one generation intersects every majority of the next.
type VoterSet struct {
	Generation int64    `avro:"Generation"`
	Members    []Member `avro:"Seats"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (VoterSet) SchemaName() string { return "Voters_25" }

// FencingToken is part of every request to a voter. A voter with another
// incarnation, generation or fingerprint refuses the request; for VotersKey only
// the incarnation is compared.
type FencingToken struct {
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (FencingToken) SchemaName() string { return "Fence_25" }

// FencingToken returns the token for requests to a member.
func (v VoterSet) FencingToken(member Member) FencingToken {
	return FencingToken{Generation: v.Generation, Fingerprint: v.Fingerprint(), Incarnation: member.Incarnation}
}

// member returns the member at an address.
func (v VoterSet) member(address ids.Address) (Member, bool) {
	for _, member := range v.Members {
		if member.Address == address {
			return member, true
		}
	}
	return Member{}, false
}

func (v VoterSet) equal(other VoterSet) bool {
	return v.Generation == other.Generation && slices.Equal(v.Members, other.Members)
}

// cachedFingerprint is a copy of a voter set and its fingerprint.
type cachedFingerprint struct {
	voters      VoterSet
	fingerprint int64
}

// lastFingerprint caches the fingerprint that was computed last: the voter set
// rarely changes, and each request carries its fingerprint.
var lastFingerprint atomic.Pointer[cachedFingerprint]

// Fingerprint returns a hash that distinguishes voter sets of the same generation
// that two proposers proposed concurrently.
func (v VoterSet) Fingerprint() int64 {
	if last := lastFingerprint.Load(); last != nil && last.voters.equal(v) {
		return last.fingerprint
	}
	copied := VoterSet{Generation: v.Generation, Members: slices.Clone(v.Members)}
	fingerprint := v.computeFingerprint()
	lastFingerprint.Store(&cachedFingerprint{voters: copied, fingerprint: fingerprint})
	return fingerprint
}

func (v VoterSet) computeFingerprint() int64 {
	hash := fnv.New64a()
	_, _ = hash.Write(encode(v))
	return int64(hash.Sum64())
}

// decodeVoters decodes the voter set from the slot of VotersKey.
func decodeVoters(slot Slot) (VoterSet, bool) {
	if len(slot.Accepted.Value) == 0 {
		return VoterSet{}, false
	}
	voters, err := transport.Unmarshal[VoterSet](slot.Accepted.Value)
	return voters, err == nil
}

// quorum returns the size of a majority of the given number of voters.
func quorum(voters int) int { return voters/2 + 1 }

// hasQuorum reports whether the votes are a majority of the members and at least
// minCopies. Learners count as members that did not vote.
func hasQuorum(members []Member, votes map[ids.Address]bool, minCopies int) bool {
	granted := 0
	for _, member := range members {
		if votes[member.Address] && !member.Learner {
			granted++
		}
	}
	return granted >= max(quorum(len(members)), minCopies)
}

// allQuorums reports whether each set has a quorum; empty sets are ignored.
func allQuorums(sets [][]Member, granted map[ids.Address]bool, minCopies int) bool {
	for _, set := range sets {
		if len(set) > 0 && !hasQuorum(set, granted, minCopies) {
			return false
		}
	}
	return true
}

// quorumImpossible reports whether the refusals make a quorum of some set
// impossible; empty sets are ignored.
func quorumImpossible(sets [][]Member, refused map[ids.Address]bool, minCopies int) bool {
	for _, set := range sets {
		possible := map[ids.Address]bool{}
		for _, member := range set {
			possible[member.Address] = !refused[member.Address]
		}
		if len(set) > 0 && !hasQuorum(set, possible, minCopies) {
			return true
		}
	}
	return false
}

// distinctMembers returns one member per address: that of the first set which
// names the address, unless it is a learner there and a voter in a later set. The
// newer set comes second, so the incarnation that it gives such a voter is the one
// in force.
func distinctMembers(sets [][]Member) []Member {
	var members []Member
	indexes := map[ids.Address]int{}
	for _, set := range sets {
		for _, member := range set {
			if index, ok := indexes[member.Address]; ok {
				if !member.Learner && members[index].Learner {
					members[index] = member
				}
				continue
			}
			indexes[member.Address] = len(members)
			members = append(members, member)
		}
	}
	return members
}
