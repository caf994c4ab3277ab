// Package register keeps small pieces of control state, each under a key of
// its own, on a majority of synced disks. A key has one owner at a time, which
// took it over under an epoch higher than any before; there is no common log
// and no leader for all keys.
package register

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// VotersKey is the key under which the voters themselves are kept.
const VotersKey = "cohort"

// Proposal is a value under the epoch of the owner that wrote it. The sequence
// counts an owner's writes and goes on under the next owner.
type Proposal struct {
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
	Value    []byte    `avro:"Value"`
}

// SchemaName names the stored and sent form; it must never change.
func (Proposal) SchemaName() string { return "Accepted_25" }

// newerThan tells whether this value was written after the other.
func (p Proposal) newerThan(other Proposal) bool {
	if order := p.Epoch.Compare(other.Epoch); order != 0 {
		return order > 0
	}
	return p.Sequence > other.Sequence
}

// Slot is what one voter holds for one key.
type Slot struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Accepted Proposal  `avro:"Accepted"`
}

// SchemaName names the stored and sent form; it must never change.
func (Slot) SchemaName() string { return "Slot_25" }

// Member is one voter's place. A voter whose disk was lost comes back under
// another incarnation; while it is learning its votes don't count.
type Member struct {
	Address     ids.Address     `avro:"Address" json:"Address"`
	Incarnation ids.Incarnation `avro:"Incarnation" json:"Incarnation"`
	Learner     bool            `avro:"Learning" json:"Learning"`
}

// SchemaName names the stored and sent form; it must never change.
func (Member) SchemaName() string { return "Seat_25" }

// VoterSet is the value of the cohort key: who votes. From one generation to the
// next a single seat changes, and a new seat learns before it votes, so every
// majority of the one meets every majority of the other.
type VoterSet struct {
	Generation int64    `avro:"Generation"`
	Members    []Member `avro:"Seats"`
}

// SchemaName names the stored and sent form; it must never change.
func (VoterSet) SchemaName() string { return "Voters_25" }

// FencingToken is carried by every message to a voter: a voter of another incarnation
// or generation refuses it.
type FencingToken struct {
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
}

// SchemaName names the stored and sent form; it must never change.
func (FencingToken) SchemaName() string { return "Fence_25" }

// Verdict is a voter's word on a message.
type Verdict int64

// The verdicts.
const (
	Granted Verdict = iota
	Superseded
	Fenced
	Failed
)

// PrepareRequest asks a voter to refuse epochs below this one.
type PrepareRequest struct {
	Fence FencingToken `avro:"Fence"`
	Key   string       `avro:"Key"`
	Epoch ids.Epoch    `avro:"Epoch"`
}

// SchemaName names the stored and sent form; it must never change.
func (PrepareRequest) SchemaName() string { return "PromiseAsk_25" }

// PrepareResponse is the answer, with what the voter holds.
type PrepareResponse struct {
	Verdict    Verdict `avro:"Verdict"`
	Generation int64   `avro:"Generation"`
	Slot       Slot    `avro:"Slot"`
}

// SchemaName names the stored and sent form; it must never change.
func (PrepareResponse) SchemaName() string { return "PromiseTold_25" }

// AcceptRequest asks a voter to take a value.
type AcceptRequest struct {
	Fence    FencingToken `avro:"Fence"`
	Key      string       `avro:"Key"`
	Proposal Proposal     `avro:"Accepted"`
}

// SchemaName names the stored and sent form; it must never change.
func (AcceptRequest) SchemaName() string { return "AcceptAsk_25" }

// AcceptResponse is the answer.
type AcceptResponse struct {
	Verdict    Verdict   `avro:"Verdict"`
	Generation int64     `avro:"Generation"`
	Promised   ids.Epoch `avro:"Promised"`
}

// SchemaName names the stored and sent form; it must never change.
func (AcceptResponse) SchemaName() string { return "AcceptTold_25" }

// ConfirmRequest asks whether no newer owner than this epoch is known.
type ConfirmRequest struct {
	Fence FencingToken `avro:"Fence"`
	Key   string       `avro:"Key"`
	Epoch ids.Epoch    `avro:"Epoch"`
}

// SchemaName names the stored and sent form; it must never change.
func (ConfirmRequest) SchemaName() string { return "ConfirmAsk_25" }

// FetchRequest asks for what a voter holds: under one key, or under all where none
// is named.
type FetchRequest struct {
	Key string `avro:"Key"`
}

// SchemaName names the stored and sent form; it must never change.
func (FetchRequest) SchemaName() string { return "CopyAsk_25" }

// FetchResponse is all that a voter holds.
type FetchResponse struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	Slots       []Slot          `avro:"Slots"`
}

// SchemaName names the stored and sent form; it must never change.
func (FetchResponse) SchemaName() string { return "CopyTold_25" }

// KeyDigest is how one key stands on one disk, without its value.
type KeyDigest struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
}

// SchemaName names the stored and sent form; it must never change.
func (KeyDigest) SchemaName() string { return "Held_25" }

// proposal is what the digest stands for; it has no value and is never learnt.
func (k KeyDigest) proposal() Proposal { return Proposal{Epoch: k.Epoch, Sequence: k.Sequence} }

// DigestRequest asks how all keys stand, and says by a sum how they stand with the
// asker.
type DigestRequest struct {
	Hash int64 `avro:"Sum"`
}

// SchemaName names the stored and sent form; it must never change.
func (DigestRequest) SchemaName() string { return "HeldAsk_25" }

// DigestResponse is how all keys stand on a voter's disk.
type DigestResponse struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	// Leaving says that it gives its seat to whoever asks for it.
	Leaving bool `avro:"Leaving"`
	// Unreachable are the voters that did not answer this one for a while.
	Unreachable []ids.Address `avro:"Away"`
	// Unchanged says that all keys stand as with the asker; they are left out then.
	Unchanged bool        `avro:"Same"`
	Keys      []KeyDigest `avro:"Keys"`
}

// SchemaName names the stored and sent form; it must never change.
func (DigestResponse) SchemaName() string { return "HeldTold_25" }

// Hash is a digest of how all keys stand.
func (d DigestResponse) Hash() int64 {
	digest := fnv.New64a()
	for _, held := range d.Keys {
		_, _ = digest.Write(encode(held))
	}
	return int64(digest.Sum64())
}

// FencingToken makes the fence of a message to one seat.
func (v VoterSet) FencingToken(seat Member) FencingToken {
	return FencingToken{Generation: v.Generation, Fingerprint: v.Fingerprint(), Incarnation: seat.Incarnation}
}

// hasQuorum tells whether the votes are a majority, and at least so many copies; a
// seat that is learning counts as one that did not vote.
func hasQuorum(seats []Member, votes map[ids.Address]bool, copies int) bool {
	granted := 0
	for _, seat := range seats {
		if votes[seat.Address] && !seat.Learner {
			granted++
		}
	}
	return granted >= max(quorum(len(seats)), copies)
}

// quorum is how many of so many seats are a majority.
func quorum(seats int) int { return seats/2 + 1 }
