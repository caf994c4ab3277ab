// Package store defines how the configuration is stored in the replicated register:
// the current document and the history of the changes that led to it, written by
// compare-and-set on the version. The updates are pure functions of the register's
// value; package command runs them at the owner of the key.
//
// Invariants:
//   - versions increase, and at most one change is ever applied to a base version;
//   - only valid documents are stored, so package config, which routers use, reads
//     them without validation;
//   - a change that was applied and is sent again is acknowledged again or reported
//     as having an unknown outcome; it is never rejected and never applied twice.
package store

import (
	"onyxwell/base/compress"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Record is the register's value for the configuration's key. It is stored.
type Record struct {
	Version ids.Version `avro:"Serial"`
	// Document is JSON text, compressed if Compressed is set.
	Document   []byte  `avro:"Document"`
	Compressed bool    `avro:"Packed"`
	History    History `avro:"Memory"`
}

// SchemaName returns the Avro record name in storage and on the wire; it must never
// change.
func (Record) SchemaName() string { return "Kept_25" }

// Decode decodes the register's value and decompresses its document. An empty value
// yields the zero Record.
func Decode(value []byte) (Record, error) {
	record, err := DecodeCompressed(value)
	if err != nil {
		return Record{}, err
	}
	record.Document, err = compress.Decode(record.Document, record.Compressed)
	record.Compressed = false
	return record, err
}

// DecodeExisting is Decode for a configuration that must exist: the error is of kind
// NotReady if none has been stored yet.
func DecodeExisting(value []byte) (Record, error) {
	record, err := Decode(value)
	if err == nil && record.Version == 0 {
		err = errkind.Errorf(errkind.NotReady, "no configuration has been stored yet")
	}
	return record, err
}

// DecodeCompressed decodes the register's value but does not decompress its document,
// which gossip carries as it is stored. An empty value yields the zero Record.
func DecodeCompressed(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	return transport.Unmarshal[Record](value)
}
