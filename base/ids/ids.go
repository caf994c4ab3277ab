// Package ids holds the types of names, addresses and version numbers, so that
// the compiler tells them apart.
package ids

import "cmp"

// RunnerID identifies one incarnation of a model runner: a runner that is
// restarted gets a new one.
type RunnerID string

// Service names a set of interchangeable runners.
type Service string

// Zone names a failure domain of machines; it is in one region.
type Zone string

// Region names a set of zones.
type Region string

// Tenant names a customer whose requests are told apart by their keys.
type Tenant string

// Address is an IP address and a port, "10.1.0.13:8166".
type Address string

// Version is the version of a piece of state. It never decreases.
type Version int64

// Incarnation tells apart the lives of one daemon, or of one disk: of two, the
// higher is the later.
type Incarnation int64

// Epoch is a proposal number: it orders the owners of a key or of a lease, and
// serves as their fencing token. The higher Number is the later; the owner's
// address breaks ties, so that no two owners have the same epoch.
type Epoch struct {
	Number int64   `avro:"Number"`
	Owner  Address `avro:"Owner"`
}

// SchemaName names the stored and sent form; it must never change.
func (Epoch) SchemaName() string { return "Epoch_17" }

// Compare returns a negative number if e is the earlier epoch, 0 if the two are
// equal, and a positive number if e is the later one.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, other.Number), cmp.Compare(e.Owner, other.Owner))
}
