package lease

import "onyxwell/base/ids"

// Request asks a voter for a lease, or releases it.
type Request struct {
	// Name is the lease's.
	Name string `avro:"Duty"`
	// Holder is the requesting daemon, Incarnation that of its process.
	Holder      ids.Address `avro:"Holder"`
	Incarnation int64       `avro:"Life"`
	// Sequence numbers the requests of one incarnation, from 1.
	Sequence int64 `avro:"Number"`
	// VotersFingerprint is that of the voter set under which the lease is requested.
	VotersFingerprint int64 `avro:"Voters"`
	// Renew says that the requester holds the lease now.
	Renew bool `avro:"Renew"`
	// Release gives back what was granted to requests up to Sequence.
	Release bool `avro:"Release"`
}

// SchemaName names the stored and sent form; it must never change.
func (Request) SchemaName() string { return "Ask_22" }

// Response is one voter's answer.
type Response struct {
	Granted bool `avro:"Granted"`
	// VotersMismatch says that the voter knows another voter set than the
	// requester, Generation which.
	VotersMismatch bool  `avro:"Misfenced"`
	Generation     int64 `avro:"Generation"`
}

// SchemaName names the stored and sent form; it must never change.
func (Response) SchemaName() string { return "Told_22" }

// Outcome is the result of a request to all voters.
type Outcome int

const (
	// MajorityGranted is a lease that was granted.
	MajorityGranted Outcome = iota
	// MinorityGranted is one that was not, though some voters may have granted it.
	MinorityGranted
	// NoneGranted is one that no voter granted.
	NoneGranted
)
