package store

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"onyxwell/base/compress"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Kept is the value of the register: the document in force, and which changes
// were taken.
type Kept struct {
	Serial ids.Serial `avro:"Serial"`
	// Document is the text, or what it packs to.
	Document []byte `avro:"Document"`
	Packed   bool   `avro:"Packed"`
	Memory   Memory `avro:"Memory"`
}

// SchemaName names the stored and sent form; it must never change.
func (Kept) SchemaName() string { return "Kept_25" }

// Change is what an operator sends.
type Change struct {
	Whole bool       `avro:"Whole"`
	Match ids.Serial `avro:"Match"`
	Body  []byte     `avro:"Body"`
	// Packed says that the body is as it travels between controllers.
	Packed bool `avro:"Packed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Change) SchemaName() string { return "Change_25" }

// Packing gives the change as it travels between controllers.
func (c Change) Packing() Change {
	if !c.Packed {
		c.Body, c.Packed = compress.Pack(c.Body)
	}
	return c
}

// Serial is the version that the change makes, by its body.
func (c Change) Serial() ids.Serial {
	var read patch
	_ = json.Unmarshal(c.Body, &read)
	return read.Serial
}

func (c Change) digest() []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintln(hash, c.Whole, c.Match)
	hash.Write(c.Body)
	return hash.Sum(nil)[:digestLength]
}

// Step makes the register's next value from a change. A change that was taken
// before leaves the value as it is, whatever is in force by now; whether one on
// an old version was, a Beyond failure tells where to look up.
func (c Change) Step(current []byte) ([]byte, error) { return c.step(current, 0) }

// After is Step where so many of the oldest changes are known to be sealed in
// pages that a majority holds: they leave the value.
func (c Change) After(sealed int64) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) { return c.step(current, sealed) }
}

func (c Change) step(current []byte, sealed int64) ([]byte, error) {
	kept, err := ReadKept(current)
	if err != nil {
		return nil, errkind.Of(errkind.Internal, "kept spec: %v", err)
	}
	if c.Body, err = compress.Unpack(c.Body, c.Packed); err != nil {
		return nil, errkind.Of(errkind.BadRequest, "packed change: %v", err)
	}
	digest := c.digest()
	if c.Match != kept.Serial {
		return nil, kept.Memory.find(c.Match, digest, kept.Serial)
	}
	document := c.Body
	if !c.Whole {
		patched, err := Patch(kept.Document, c.Body)
		if err != nil {
			return nil, err
		}
		document = patched
	}
	checked, err := Check(document)
	if err != nil {
		return nil, err
	}
	if checked.Serial <= kept.Serial {
		return nil, errkind.Of(errkind.BadSpec, "config_version: %d is not above %d", checked.Serial, kept.Serial)
	}
	kept.Serial = checked.Serial
	kept.Document, kept.Packed = compress.Pack(document)
	kept.Memory.add(checked.Serial-c.Match, digest)
	kept.Memory.drop(sealed)
	return transport.Pack(kept)
}

// ReadKept reads the register's value with its document as text.
func ReadKept(value []byte) (Kept, error) {
	kept, err := Travelling(value)
	if err != nil {
		return Kept{}, err
	}
	kept.Document, err = compress.Unpack(kept.Document, kept.Packed)
	kept.Packed = false
	return kept, err
}

// Travelling reads the register's value and leaves its document as it is kept.
func Travelling(value []byte) (Kept, error) {
	if len(value) == 0 {
		return Kept{}, nil
	}
	return transport.Unpack[Kept](value)
}
