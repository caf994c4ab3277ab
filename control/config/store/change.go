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

// Record is the value of the register: the document in force, and which changes
// were taken.
type Record struct {
	Version ids.Serial `avro:"Serial"`
	// Document is the text, or what it packs to.
	Document   []byte  `avro:"Document"`
	Compressed bool    `avro:"Packed"`
	History    History `avro:"Memory"`
}

// SchemaName names the stored and sent form; it must never change.
func (Record) SchemaName() string { return "Kept_25" }

// Change is what an operator sends.
type Change struct {
	Full        bool       `avro:"Whole"`
	BaseVersion ids.Serial `avro:"Match"`
	Body        []byte     `avro:"Body"`
	// Compressed says that the body is as it travels between controllers.
	Compressed bool `avro:"Packed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Change) SchemaName() string { return "Change_25" }

// Compress gives the change as it travels between controllers.
func (c Change) Compress() Change {
	if !c.Compressed {
		c.Body, c.Compressed = compress.Encode(c.Body)
	}
	return c
}

// Version is the version that the change makes, by its body.
func (c Change) Version() ids.Serial {
	var read patch
	_ = json.Unmarshal(c.Body, &read)
	return read.Version
}

func (c Change) digest() []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintln(hash, c.Full, c.BaseVersion)
	hash.Write(c.Body)
	return hash.Sum(nil)[:digestLength]
}

// Apply makes the register's next value from a change. A change that was taken
// before leaves the value as it is, whatever is in force by now; whether one on
// an old version was, a Beyond failure tells where to look up.
func (c Change) Apply(current []byte) ([]byte, error) { return c.apply(current, 0) }

// ApplyTruncating is Step where so many of the oldest changes are known to be sealed in
// pages that a majority holds: they leave the value.
func (c Change) ApplyTruncating(sealed int64) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) { return c.apply(current, sealed) }
}

func (c Change) apply(current []byte, sealed int64) ([]byte, error) {
	kept, err := Decode(current)
	if err != nil {
		return nil, errkind.Errorf(errkind.Internal, "kept spec: %v", err)
	}
	if c.Body, err = compress.Decode(c.Body, c.Compressed); err != nil {
		return nil, errkind.Errorf(errkind.BadRequest, "packed change: %v", err)
	}
	digest := c.digest()
	if c.BaseVersion != kept.Version {
		return nil, kept.History.lookup(c.BaseVersion, digest, kept.Version)
	}
	document := c.Body
	if !c.Full {
		patched, err := ApplyPatch(kept.Document, c.Body)
		if err != nil {
			return nil, err
		}
		document = patched
	}
	checked, err := Validate(document)
	if err != nil {
		return nil, err
	}
	if checked.Version <= kept.Version {
		return nil, errkind.Errorf(errkind.InvalidConfig, "config_version: %d is not above %d", checked.Version, kept.Version)
	}
	kept.Version = checked.Version
	kept.Document, kept.Compressed = compress.Encode(document)
	kept.History.append(checked.Version-c.BaseVersion, digest)
	kept.History.truncate(sealed)
	return transport.Marshal(kept)
}

// Decode reads the register's value with its document as text.
func Decode(value []byte) (Record, error) {
	kept, err := DecodeCompressed(value)
	if err != nil {
		return Record{}, err
	}
	kept.Document, err = compress.Decode(kept.Document, kept.Compressed)
	kept.Compressed = false
	return kept, err
}

// DecodeCompressed reads the register's value and leaves its document as it is kept.
func DecodeCompressed(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	return transport.Unmarshal[Record](value)
}
