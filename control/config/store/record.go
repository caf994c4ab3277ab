// Package store is the configuration as the register keeps it: the document in
// force, with a history of the changes that led to it, written by compare-and-set
// on the version. Its updates are pure functions of the register's value; package
// command runs them at the owner of the key.
//
// Invariants:
//   - versions rise, and at most one change is ever applied on a base version;
//   - only a valid document is stored, so package config, which routers use,
//     reads it without validation;
//   - a change that is sent again is acknowledged again, or its outcome is said
//     to be unknown: never refused, and never applied twice.
package store

import (
	"onyxwell/base/compress"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Record is the register's value of the configuration's key. It is stored.
type Record struct {
	Version ids.Version `avro:"Serial"`
	// Document is the JSON text, compressed if Compressed is set.
	Document   []byte  `avro:"Document"`
	Compressed bool    `avro:"Packed"`
	History    History `avro:"Memory"`
}

// SchemaName names the stored and sent form; it must never change.
func (Record) SchemaName() string { return "Kept_25" }

// Decode decodes the register's value, with its document as text. No value is
// the zero Record.
func Decode(value []byte) (Record, error) {
	record, err := DecodeCompressed(value)
	if err != nil {
		return Record{}, err
	}
	record.Document, err = compress.Decode(record.Document, record.Compressed)
	record.Compressed = false
	return record, err
}

// DecodeCompressed decodes the register's value and leaves its document as it is
// stored, which is also how gossip carries it. No value is the zero Record.
func DecodeCompressed(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	return transport.Unmarshal[Record](value)
}
