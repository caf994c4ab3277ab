package revision

import (
	"bytes"
	"crypto/sha256"
	"strconv"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/pack"
	"onyxwell/control/courier"
)

// recentLimit is how many taken changes are remembered for repeats.
const recentLimit = 64

// Kept is the value of the register: the document in force, and which changes
// were taken lately.
type Kept struct {
	Serial ids.Serial
	// Document is the text, or what it packs to.
	Document []byte
	Packed   bool
	Recent   []Taken
}

// Taken is a change that came into force.
type Taken struct {
	Serial ids.Serial
	Digest []byte
}

// Change is what an operator sends.
type Change struct {
	Whole bool
	Match ids.Serial
	Body  []byte
	// Packed says that the body is as it travels between controllers.
	Packed bool
}

// Packing gives the change as it travels between controllers.
//
// Example:
//
//	order.Change = order.Change.Packing()
func (change Change) Packing() Change {
	if !change.Packed {
		change.Body, change.Packed = pack.Pack(change.Body)
	}
	return change
}

func (change Change) digest() []byte {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatBool(change.Whole) + strconv.FormatInt(int64(change.Match), 10)))
	hash.Write(change.Body)
	return hash.Sum(nil)
}

// Step makes the register's next value from a change. A change that was taken
// before leaves the value as it is, whatever is in force by now.
//
// Example:
//
//	value, fault := keeper.Change(short, spec.Key, change.Step)
func (change Change) Step(current []byte) ([]byte, error) {
	kept, fault := ReadKept(current)
	if fault != nil {
		return nil, failure.Of(failure.Internal, "kept spec: %v", fault)
	}
	if change.Body, fault = pack.Unpack(change.Body, change.Packed); fault != nil {
		return nil, failure.Of(failure.BadRequest, "packed change: %v", fault)
	}
	digest := change.digest()
	for _, taken := range kept.Recent {
		if bytes.Equal(taken.Digest, digest) {
			return nil, nil
		}
	}
	if change.Match != kept.Serial {
		return nil, failure.Of(failure.StaleSpec, "version %d is in place", kept.Serial)
	}
	document := change.Body
	if !change.Whole {
		patched, fault := Patch(kept.Document, change.Body)
		if fault != nil {
			return nil, fault
		}
		document = patched
	}
	checked, fault := Check(document)
	if fault != nil {
		return nil, fault
	}
	if checked.Serial <= kept.Serial {
		return nil, failure.Of(failure.BadSpec, "config_version: %d is not above %d", checked.Serial, kept.Serial)
	}
	kept.Serial = checked.Serial
	kept.Document, kept.Packed = pack.Pack(document)
	kept.Recent = append(kept.Recent, Taken{Serial: checked.Serial, Digest: digest})
	if surplus := len(kept.Recent) - recentLimit; surplus > 0 {
		kept.Recent = kept.Recent[surplus:]
	}
	return courier.Pack(kept)
}

// ReadKept reads the register's value with its document as text.
//
// Example:
//
//	kept, fault := revision.ReadKept(value)
func ReadKept(value []byte) (Kept, error) {
	kept, fault := Travelling(value)
	if fault != nil {
		return Kept{}, fault
	}
	kept.Document, fault = pack.Unpack(kept.Document, kept.Packed)
	kept.Packed = false
	return kept, fault
}

// Travelling reads the register's value and leaves its document as it is kept.
//
// Example:
//
//	kept, fault := revision.Travelling(value)
func Travelling(value []byte) (Kept, error) {
	if len(value) == 0 {
		return Kept{}, nil
	}
	return courier.Unpack[Kept](value)
}
