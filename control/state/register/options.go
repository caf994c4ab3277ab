package register

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// VoterClient carries messages to voters, the caller's own voter included.
type VoterClient interface {
	Promise(inner scope.Scope, address ids.Address, asked PrepareRequest) (PrepareResponse, error)
	Accept(inner scope.Scope, address ids.Address, asked AcceptRequest) (AcceptResponse, error)
	Confirm(inner scope.Scope, address ids.Address, asked ConfirmRequest) (AcceptResponse, error)
}

// UpdateFunc makes the next value of a key from the present one. An error leaves the
// value as it is; a nil value with no error does so too.
type UpdateFunc func(current []byte) ([]byte, error)

// ProposerOptions are what a keeper is made from.
type ProposerOptions struct {
	Address ids.Address
	Client  VoterClient
	// Voters gives the newest voters known here.
	Voters func() VoterSet
	// HighestEpoch gives the highest epoch that this machine's own voter knows.
	HighestEpoch func(key string) int64
	// OnCommit is told each value that a majority is known to hold.
	OnCommit func(key string, accepted Proposal)
	// MessageTimeout is how long one message to a voter may take; messages go on
	// after a majority has answered, so that the rest is not left behind.
	MessageTimeout clock.Span
	// BatchTimeout is how long the changes that wait together may take in all; 0
	// sets no bound.
	BatchTimeout clock.Span
	// MinCopies is how many disks must hold a change before it is answered, where
	// that is more than a majority: one more than may be lost at one time.
	MinCopies int
	// Spawn runs a message's sending; tests run it in place.
	Spawn func(send func())
}
