// Package ids holds the small types for names, addresses and serials, so that
// one can't be handed over for another.
package ids

import "cmp"

// RunnerID names one life of one model runner.
type RunnerID string

// Service names a service, a set of like runners.
type Service string

// Zone names a zone of machines.
type Zone string

// Region names a region, a set of zones.
type Region string

// Address is an IP address and a port.
type Address string

// Serial counts the versions of a piece of state; it only ever rises.
type Serial int64

// Incarnation tells the lives of one daemon (or of one disk) apart.
type Incarnation int64

// Epoch orders the owners of a key or of a hold. Of two epochs the one with
// the higher number is newer; the owner's address breaks ties.
type Epoch struct {
	Number int64   `avro:"Number"`
	Owner  Address `avro:"Owner"`
}

// SchemaName names the stored and sent form; it must never change.
func (Epoch) SchemaName() string { return "Epoch_17" }

// Compare orders two epochs: negative when this one is older.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, other.Number), cmp.Compare(e.Owner, other.Owner))
}
