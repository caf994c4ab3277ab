package lease

import "onyxwell/base/ids"

// Request asks a voter to grant, renew or release a lease.
type Request struct {
	// Name is the name of the lease.
	Name string `avro:"Duty"`
	// Holder is the address of the requesting daemon; Incarnation identifies its
	// process.
	Holder      ids.Address `avro:"Holder"`
	Incarnation int64       `avro:"Life"`
	// Sequence numbers the requests of one incarnation, from 1.
	Sequence int64 `avro:"Number"`
	// VotersFingerprint identifies the voter set under which the lease is
	// requested.
	VotersFingerprint int64 `avro:"Voters"`
	// Renew means that the requester currently holds the lease.
	Renew bool `avro:"Renew"`
	// Release means that all grants to requests up to Sequence are given up.
	Release bool `avro:"Release"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Request) SchemaName() string { return "Ask_22" }

// Response is a voter's response to a Request.
type Response struct {
	Granted bool `avro:"Granted"`
	// VotersMismatch means that the voter knows another voter set than the
	// requester; Generation is the generation of the voter's set.
	VotersMismatch bool  `avro:"Misfenced"`
	Generation     int64 `avro:"Generation"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Response) SchemaName() string { return "Told_22" }

// Outcome is the combined result of a request to all voters.
type Outcome int

const (
	// MajorityGranted means that a majority of the voters granted the lease.
	MajorityGranted Outcome = iota
	// MinorityGranted means that the lease was not granted, though some voters
	// may have granted it.
	MinorityGranted
	// NoneGranted means that no voter granted the lease.
	NoneGranted
)
