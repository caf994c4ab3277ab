package register

import (
	"hash/fnv"
	"slices"
	"sync/atomic"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// VotersKey is the key of the voter set itself.
const VotersKey = "cohort"

// Member is one voter of a voter set. A voter that lost its disk comes back
// under another incarnation, as a learner: its votes don't count until it has
// learned what its disk may have voted for.
type Member struct {
	Address     ids.Address     `avro:"Address" json:"Address"`
	Incarnation ids.Incarnation `avro:"Incarnation" json:"Incarnation"`
	Learner     bool            `avro:"Learning" json:"Learning"`
}

// SchemaName names the stored and sent form; it must never change.
func (Member) SchemaName() string { return "Seat_25" }

// VoterSet is the value under VotersKey. From one generation to the next a
// single member changes, and a replacement learns before it votes, so every
// majority of the one meets every majority of the other.
type VoterSet struct {
	Generation int64    `avro:"Generation"`
	Members    []Member `avro:"Seats"`
}

// SchemaName names the stored and sent form; it must never change.
func (VoterSet) SchemaName() string { return "Voters_25" }

// FencingToken goes with every request to a voter: one of another incarnation or
// generation refuses it.
type FencingToken struct {
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
}

// SchemaName names the stored and sent form; it must never change.
func (FencingToken) SchemaName() string { return "Fence_25" }

// FencingToken returns the token of requests to one member.
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

// cachedFingerprint is a voter set, with members of its own, and its fingerprint.
type cachedFingerprint struct {
	voters      VoterSet
	fingerprint int64
}

// lastFingerprint is the voter set asked for last: the set rarely changes, and
// each request carries its fingerprint.
var lastFingerprint atomic.Pointer[cachedFingerprint]

// Fingerprint tells apart voter sets of one generation that two proposers
// proposed at once.
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

// decodeVoters reads the voter set out of its slot.
func decodeVoters(slot Slot) (VoterSet, bool) {
	if len(slot.Accepted.Value) == 0 {
		return VoterSet{}, false
	}
	voters, err := transport.Unmarshal[VoterSet](slot.Accepted.Value)
	return voters, err == nil
}

// quorum is the size of a majority of so many voters.
func quorum(voters int) int { return voters/2 + 1 }

// hasQuorum reports whether the votes are a majority of the members and at least
// minCopies. A learner counts as a member that did not vote.
func hasQuorum(members []Member, votes map[ids.Address]bool, minCopies int) bool {
	granted := 0
	for _, member := range members {
		if votes[member.Address] && !member.Learner {
			granted++
		}
	}
	return granted >= max(quorum(len(members)), minCopies)
}

// allQuorums reports whether each of the sets has its quorum.
func allQuorums(sets [][]Member, granted map[ids.Address]bool, minCopies int) bool {
	for _, set := range sets {
		if len(set) > 0 && !hasQuorum(set, granted, minCopies) {
			return false
		}
	}
	return true
}

// quorumImpossible reports whether the refusals leave some set without a quorum.
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

// distinctMembers returns each address of the sets once. The newer set comes
// second: the incarnation that it names is the one in force.
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
