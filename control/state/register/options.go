package register

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Line carries messages to voters, the caller's own voter included.
type Line interface {
	Promise(inner scope.Scope, address ids.Address, asked PromiseAsk) (PromiseTold, error)
	Accept(inner scope.Scope, address ids.Address, asked AcceptAsk) (AcceptTold, error)
	Confirm(inner scope.Scope, address ids.Address, asked ConfirmAsk) (AcceptTold, error)
}

// Step makes the next value of a key from the present one. An error leaves the
// value as it is; a nil value with no error does so too.
type Step func(current []byte) ([]byte, error)

// Options are what a keeper is made from.
type Options struct {
	Address ids.Address
	Line    Line
	// Voters gives the newest voters known here.
	Voters func() Voters
	// Seen gives the highest epoch that this machine's own voter knows.
	Seen func(key string) int64
	// Chosen is told each value that a majority is known to hold.
	Chosen func(key string, accepted Accepted)
	// MessageLimit is how long one message to a voter may take; messages go on
	// after a majority has answered, so that the rest is not left behind.
	MessageLimit clock.Span
	// RoundLimit is how long the changes that wait together may take in all; 0
	// sets no bound.
	RoundLimit clock.Span
	// Copies is how many disks must hold a change before it is answered, where
	// that is more than a majority: one more than may be lost at one time.
	Copies int
	// Spawn runs a message's sending; tests run it in place.
	Spawn func(send func())
}
