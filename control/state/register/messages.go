package register

import (
	"hash/fnv"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Proposal is a value with the epoch of the owner that proposed it. Epoch and
// Sequence together identify one value: Sequence counts the writes to a key, and
// the next owner continues the count.
type Proposal struct {
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
	Value    []byte    `avro:"Value"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Proposal) SchemaName() string { return "Accepted_25" }

// newerThan reports whether p is newer than other: by epoch, then by sequence.
func (p Proposal) newerThan(other Proposal) bool {
	if order := p.Epoch.Compare(other.Epoch); order != 0 {
		return order > 0
	}
	return p.Sequence > other.Sequence
}

// Slot is the state of one acceptor for one key: the highest epoch that it has
// promised and the newest proposal that it has accepted.
type Slot struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Accepted Proposal  `avro:"Accepted"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Slot) SchemaName() string { return "Slot_25" }

// equalSlots reports whether two states of a slot are the same. Epoch and sequence
// identify a value, so the values themselves are not compared.
func equalSlots(left Slot, right Slot) bool {
	return left.Promised == right.Promised && left.Accepted.Epoch == right.Accepted.Epoch && left.Accepted.Sequence == right.Accepted.Sequence
}

// mergeSlots combines the higher promise and the newer proposal of two states of a
// slot. The log may hold the records of a key in any order.
func mergeSlots(left Slot, right Slot) Slot {
	if left.Promised.Compare(right.Promised) > 0 {
		right.Promised = left.Promised
	}
	if left.Accepted.newerThan(right.Accepted) {
		right.Accepted = left.Accepted
	}
	return right
}

// Verdict is an acceptor's decision on a request.
type Verdict int64

const (
	// Granted means that the request was carried out and is durable.
	Granted Verdict = iota
	// Superseded means that the acceptor has promised a newer epoch or holds a
	// newer proposal.
	Superseded
	// Fenced means that the fencing token names another generation, fingerprint or
	// incarnation, or that the acceptor does not vote.
	Fenced
	// Failed means that the storage returned an error or that no response came. The
	// request may or may not have been carried out.
	Failed
)

// PrepareRequest asks an acceptor to promise an epoch for a key, that is, to refuse
// lower ones from then on.
type PrepareRequest struct {
	Fence FencingToken `avro:"Fence"`
	Key   string       `avro:"Key"`
	Epoch ids.Epoch    `avro:"Epoch"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (PrepareRequest) SchemaName() string { return "PromiseAsk_25" }

// PrepareResponse answers a PrepareRequest. Slot is the acceptor's state after it,
// and Generation that of the acceptor's voter set.
type PrepareResponse struct {
	Verdict    Verdict `avro:"Verdict"`
	Generation int64   `avro:"Generation"`
	Slot       Slot    `avro:"Slot"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (PrepareResponse) SchemaName() string { return "PromiseTold_25" }

// AcceptRequest asks an acceptor to accept a proposal for the key.
type AcceptRequest struct {
	Fence    FencingToken `avro:"Fence"`
	Key      string       `avro:"Key"`
	Proposal Proposal     `avro:"Accepted"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (AcceptRequest) SchemaName() string { return "AcceptAsk_25" }

// AcceptResponse answers an AcceptRequest or a ConfirmRequest. Promised is the
// epoch that the acceptor had promised before the request.
type AcceptResponse struct {
	Verdict    Verdict   `avro:"Verdict"`
	Generation int64     `avro:"Generation"`
	Promised   ids.Epoch `avro:"Promised"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (AcceptResponse) SchemaName() string { return "AcceptTold_25" }

// ConfirmRequest asks an acceptor whether an epoch is still the highest that it
// has promised for a key.
type ConfirmRequest struct {
	Fence FencingToken `avro:"Fence"`
	Key   string       `avro:"Key"`
	Epoch ids.Epoch    `avro:"Epoch"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (ConfirmRequest) SchemaName() string { return "ConfirmAsk_25" }

// FetchRequest asks for the durable slot of one key, or for all slots if Key is
// empty.
type FetchRequest struct {
	Key string `avro:"Key"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (FetchRequest) SchemaName() string { return "CopyAsk_25" }

// FetchResponse carries durable slots. Generation, Fingerprint and Voting refer to
// the durable voter set.
type FetchResponse struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	Slots       []Slot          `avro:"Slots"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (FetchResponse) SchemaName() string { return "CopyTold_25" }

// KeyDigest describes the durable state of one key on one disk, without its value.
type KeyDigest struct {
	Key      string    `avro:"Key"`
	Promised ids.Epoch `avro:"Promised"`
	Epoch    ids.Epoch `avro:"Epoch"`
	Sequence int64     `avro:"Sequence"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (KeyDigest) SchemaName() string { return "Held_25" }

// proposal returns the digest's proposal for comparison. It has no value and must
// never be learned.
func (k KeyDigest) proposal() Proposal { return Proposal{Epoch: k.Epoch, Sequence: k.Sequence} }

// DigestRequest asks for the digests of all keys. Hash is the hash of the caller's
// own digests.
type DigestRequest struct {
	Hash int64 `avro:"Sum"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (DigestRequest) SchemaName() string { return "HeldAsk_25" }

// DigestResponse carries the digests of all keys on a voter's disk.
type DigestResponse struct {
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Generation  int64           `avro:"Generation"`
	Fingerprint int64           `avro:"Mark"`
	Voting      bool            `avro:"Voting"`
	// Leaving means that any joining controller may replace the voter.
	Leaving bool `avro:"Leaving"`
	// Unreachable are the voters that have not answered this one recently.
	Unreachable []ids.Address `avro:"Away"`
	// Unchanged means that the digests have the hash of the request; Keys is empty
	// then.
	Unchanged bool        `avro:"Same"`
	Keys      []KeyDigest `avro:"Keys"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (DigestResponse) SchemaName() string { return "HeldTold_25" }

// Hash returns the 64-bit FNV-1a hash of the digests of all keys.
func (d DigestResponse) Hash() int64 {
	hash := fnv.New64a()
	for _, digest := range d.Keys {
		_, _ = hash.Write(encode(digest))
	}
	return int64(hash.Sum64())
}

// key returns the digest of a key, or the zero KeyDigest if there is none.
func (d DigestResponse) key(key string) KeyDigest {
	for _, digest := range d.Keys {
		if digest.Key == key {
			return digest
		}
	}
	return KeyDigest{}
}

// encode encodes a message or record. It ignores the error: only types of this
// package are passed to it, and a test checks that each can be encoded.
func encode[Message any](message Message) []byte {
	body, _ := transport.Marshal(message)
	return body
}
