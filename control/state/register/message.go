// Package register keeps small pieces of control state, each under a key of
// its own, on a majority of synced disks. A key has one owner at a time, which
// took it over under an epoch higher than any before; there is no common log
// and no leader for all keys.
package register

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// CohortKey is the key under which the voters themselves are kept.
const CohortKey = "cohort"

// Accepted is a value under the epoch of the owner that wrote it. The sequence
// counts an owner's writes and goes on under the next owner.
type Accepted struct {
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
	Value    []byte    `avro:"Value"`
}

// SchemaName names the stored and sent form; it must never change.
func (Accepted) SchemaName() string { return "Accepted_25" }

// newer tells whether this value was written after the other.
func (a Accepted) newer(other Accepted) bool {
	if order := a.Epoch.Compare(other.Epoch); order != 0 {
		return order > 0
	}
	return a.Sequence > other.Sequence
}

// Slot is what one voter holds for one key.
type Slot struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Accepted Accepted  `avro:"Accepted"`
}

// SchemaName names the stored and sent form; it must never change.
func (Slot) SchemaName() string { return "Slot_25" }

// Seat is one voter's place. A voter whose disk was lost comes back under
// another incarnation; while it is learning its votes don't count.
type Seat struct {
	Address     ids.Address     `avro:"Address" json:"Address"`
	Incarnation ids.Incarnation `avro:"Incarnation" json:"Incarnation"`
	Learning    bool            `avro:"Learning" json:"Learning"`
}

// SchemaName names the stored and sent form; it must never change.
func (Seat) SchemaName() string { return "Seat_25" }

// Voters is the value of the cohort key: who votes. From one generation to the
// next a single seat changes, and a new seat learns before it votes, so every
// majority of the one meets every majority of the other.
type Voters struct {
	Generation int64  `avro:"Generation"`
	Seats      []Seat `avro:"Seats"`
}

// SchemaName names the stored and sent form; it must never change.
func (Voters) SchemaName() string { return "Voters_25" }

// Fence is carried by every message to a voter: a voter of another incarnation
// or generation refuses it.
type Fence struct {
	Generation  int64           `avro:"Generation"`
	Mark        int64           `avro:"Mark"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
}

// SchemaName names the stored and sent form; it must never change.
func (Fence) SchemaName() string { return "Fence_25" }

// Verdict is a voter's word on a message.
type Verdict int64

// The verdicts.
const (
	Granted Verdict = iota
	Outbid
	Misfenced
	Broken
)

// PromiseAsk asks a voter to refuse epochs below this one.
type PromiseAsk struct {
	Fence Fence     `avro:"Fence"`
	Key   string    `avro:"Key"`
	Epoch ids.Epoch `avro:"Epoch"`
}

// SchemaName names the stored and sent form; it must never change.
func (PromiseAsk) SchemaName() string { return "PromiseAsk_25" }

// PromiseTold is the answer, with what the voter holds.
type PromiseTold struct {
	Verdict    Verdict `avro:"Verdict"`
	Generation int64   `avro:"Generation"`
	Slot       Slot    `avro:"Slot"`
}

// SchemaName names the stored and sent form; it must never change.
func (PromiseTold) SchemaName() string { return "PromiseTold_25" }

// AcceptAsk asks a voter to take a value.
type AcceptAsk struct {
	Fence    Fence    `avro:"Fence"`
	Key      string   `avro:"Key"`
	Accepted Accepted `avro:"Accepted"`
}

// SchemaName names the stored and sent form; it must never change.
func (AcceptAsk) SchemaName() string { return "AcceptAsk_25" }

// AcceptTold is the answer.
type AcceptTold struct {
	Verdict    Verdict   `avro:"Verdict"`
	Generation int64     `avro:"Generation"`
	Promised   ids.Epoch `avro:"Promised"`
}

// SchemaName names the stored and sent form; it must never change.
func (AcceptTold) SchemaName() string { return "AcceptTold_25" }

// ConfirmAsk asks whether no newer owner than this epoch is known.
type ConfirmAsk struct {
	Fence Fence     `avro:"Fence"`
	Key   string    `avro:"Key"`
	Epoch ids.Epoch `avro:"Epoch"`
}

// SchemaName names the stored and sent form; it must never change.
func (ConfirmAsk) SchemaName() string { return "ConfirmAsk_25" }

// CopyAsk asks for what a voter holds: under one key, or under all where none
// is named.
type CopyAsk struct {
	Key string `avro:"Key"`
}

// SchemaName names the stored and sent form; it must never change.
func (CopyAsk) SchemaName() string { return "CopyAsk_25" }

// CopyTold is all that a voter holds.
type CopyTold struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Mark        int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	Slots       []Slot          `avro:"Slots"`
}

// SchemaName names the stored and sent form; it must never change.
func (CopyTold) SchemaName() string { return "CopyTold_25" }

// Held is how one key stands on one disk, without its value.
type Held struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
}

// SchemaName names the stored and sent form; it must never change.
func (Held) SchemaName() string { return "Held_25" }

// accepted is what the digest stands for; it has no value and is never learnt.
func (h Held) accepted() Accepted { return Accepted{Epoch: h.Epoch, Sequence: h.Sequence} }

// HeldAsk asks how all keys stand, and says by a sum how they stand with the
// asker.
type HeldAsk struct {
	Sum int64 `avro:"Sum"`
}

// SchemaName names the stored and sent form; it must never change.
func (HeldAsk) SchemaName() string { return "HeldAsk_25" }

// HeldTold is how all keys stand on a voter's disk.
type HeldTold struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Mark        int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	// Leaving says that it gives its seat to whoever asks for it.
	Leaving bool `avro:"Leaving"`
	// Away are the voters that did not answer this one for a while.
	Away []ids.Address `avro:"Away"`
	// Same says that all keys stand as with the asker; they are left out then.
	Same bool   `avro:"Same"`
	Keys []Held `avro:"Keys"`
}

// SchemaName names the stored and sent form; it must never change.
func (HeldTold) SchemaName() string { return "HeldTold_25" }

// Sum is a digest of how all keys stand.
func (h HeldTold) Sum() int64 {
	digest := fnv.New64a()
	for _, held := range h.Keys {
		_, _ = digest.Write(pack(held))
	}
	return int64(digest.Sum64())
}

// Fence makes the fence of a message to one seat.
func (v Voters) Fence(seat Seat) Fence {
	return Fence{Generation: v.Generation, Mark: v.Mark(), Incarnation: seat.Incarnation}
}

// enough tells whether the votes are a majority, and at least so many copies; a
// seat that is learning counts as one that did not vote.
func enough(seats []Seat, votes map[ids.Address]bool, copies int) bool {
	granted := 0
	for _, seat := range seats {
		if votes[seat.Address] && !seat.Learning {
			granted++
		}
	}
	return granted >= max(quorum(len(seats)), copies)
}

// quorum is how many of so many seats are a majority.
func quorum(seats int) int { return seats/2 + 1 }
