// Package errkind is the closed set of error kinds that cross a boundary: a
// client's or an operator's response, or a response between daemons. One table
// maps each kind to its HTTP response.
//
// A kind's number is sent in a header and its name in bodies, logs and metrics,
// between builds of different age: neither may ever change, and new kinds go to
// the end.
package errkind

import (
	"errors"
	"fmt"

	"onyxwell/base/excerpt"
)

// Kind is an error kind. There are no others than the constants below.
type Kind int

// The kinds. One whose status is 408 or 503 promises that the request has
// not run and never will. NoQuorum and OutcomeExpired are the exceptions: they
// answer commands alone, and leave open whether the command took effect.
const (
	// None is the kind of no error.
	None Kind = iota
	// BadRequest is a request that can't be parsed.
	BadRequest
	// HeaderTooLarge is a header over the configured limit.
	HeaderTooLarge
	// BodyTooLarge is a body over the limit.
	BodyTooLarge
	// RequestTimeout is a request that was not received completely in time.
	RequestTimeout
	// NoRoute is a host and path that no route matches.
	NoRoute
	// UnknownCall is a method and path that the daemon doesn't serve.
	UnknownCall
	// NotReady is a router without a configuration.
	NotReady
	// Draining is a router that is shutting down.
	Draining
	// NoRunner is a service without an eligible runner.
	NoRunner
	// Overloaded is load that the runners can't serve within its target.
	Overloaded
	// RetryBudgetExhausted is a failed attempt for which no retry is left.
	RetryBudgetExhausted
	// RunnerLost is a runner that failed when it may have run the request.
	RunnerLost
	// BadRunnerResponse is a response that fails verification.
	BadRunnerResponse
	// DeadlineExceeded is a deadline that passed when a runner may have run the
	// request.
	DeadlineExceeded
	// DeadlineBeforeRun is a deadline that passed before any runner began.
	DeadlineBeforeRun
	// InvalidConfig is a configuration that fails validation.
	InvalidConfig
	// VersionConflict is a compare-and-set against another version.
	VersionConflict
	// UnknownZone is a zone that the deployment doesn't have.
	UnknownZone
	// NoQuorum is a command for which no majority of voters answered in time; it
	// may have taken effect.
	NoQuorum
	// OutcomeExpired is a repeated command whose first outcome is no longer
	// recorded.
	OutcomeExpired
	// Internal is every error without a kind.
	Internal
	// EarlyRequest is a request sent before the response to the one before it on
	// the same connection.
	EarlyRequest
	// OutOfMemory is a body for which the memory quota has no room.
	OutOfMemory
	// UnknownKey is a request without a key that a tenant holds.
	UnknownKey
	// QuotaExceeded is a request beyond its tenant's quota.
	QuotaExceeded
	// AddUndecided is an add to a counter that may count, though that is not safe yet.
	AddUndecided
	// CountersFull is an add beyond the IDs that the counters can remember.
	CountersFull
	// UnknownService is a service that the configuration doesn't have, or one without a
	// rollout.
	UnknownService
	// RolloutConflict is an order of a rollout that can't be taken as things stand.
	RolloutConflict
	// InvalidOrder is an order of a rollout that can't be read.
	InvalidOrder
	// OutOfContact is a key or a route that a router which is cut off does not know: a newer
	// configuration may have it.
	OutOfContact
	// kindCount is the number of kinds.
	kindCount
)

// Response is how a kind is answered.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Name identifies the kind in bodies, logs and metrics.
	Name string
	// Text explains it to a person.
	Text string
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// CloseConnection says that the connection can't be used after the response.
	CloseConnection bool
}

var responses = [kindCount]Response{
	None:                 {Status: 200, Name: "none"},
	BadRequest:           {Status: 400, Name: "bad-request", Text: "the request can't be read", NotRun: true, CloseConnection: true},
	HeaderTooLarge:       {Status: 431, Name: "head-too-large", Text: "the head is longer than the spec allows", NotRun: true, CloseConnection: true},
	BodyTooLarge:         {Status: 413, Name: "body-too-large", Text: "the body is longer than the spec allows", NotRun: true, CloseConnection: true},
	RequestTimeout:       {Status: 408, Name: "too-slow", Text: "the request did not arrive whole in time", NotRun: true, CloseConnection: true},
	NoRoute:              {Status: 404, Name: "no-route", Text: "no route has this host and path", NotRun: true},
	UnknownCall:          {Status: 404, Name: "unknown-call", Text: "there is no such call here", NotRun: true},
	NotReady:             {Status: 503, Name: "unready", Text: "no spec is known here yet", NotRun: true},
	Draining:             {Status: 503, Name: "leaving", Text: "this router is leaving", NotRun: true, CloseConnection: true},
	NoRunner:             {Status: 503, Name: "no-runner", Text: "no runner can take the request now", NotRun: true},
	Overloaded:           {Status: 503, Name: "crowded", Text: "the runners can't serve the request in time", NotRun: true},
	RetryBudgetExhausted: {Status: 503, Name: "budget-spent", Text: "no further try is left in the budget", NotRun: true},
	RunnerLost:           {Status: 502, Name: "runner-lost", Text: "the runner was lost while it may have worked"},
	BadRunnerResponse:    {Status: 502, Name: "runner-garbled", Text: "the runner's answer can't be trusted"},
	DeadlineExceeded:     {Status: 504, Name: "limit-reached", Text: "the time for the request is over"},
	DeadlineBeforeRun:    {Status: 503, Name: "limit-before-run", Text: "the time was over before any runner began", NotRun: true},
	InvalidConfig:        {Status: 400, Name: "bad-spec", Text: "the spec is invalid"},
	VersionConflict:      {Status: 412, Name: "stale-spec", Text: "another version is in place"},
	UnknownZone:          {Status: 404, Name: "unknown-zone", Text: "there is no such zone"},
	NoQuorum:             {Status: 503, Name: "unsettled", Text: "no majority of the voters answered in time"},
	OutcomeExpired:       {Status: 503, Name: "forgotten", Text: "it is too long ago to know whether this was taken"},
	Internal:             {Status: 500, Name: "internal", Text: "a part of the program failed"},
	OutOfMemory:          {Status: 503, Name: "no-memory", Text: "the bodies at hand take all the memory that they may", NotRun: true, CloseConnection: true},
	UnknownKey:           {Status: 401, Name: "unknown-key", Text: "no tenant holds the key of the request", NotRun: true},
	QuotaExceeded:        {Status: 429, Name: "over-quota", Text: "the tenant's quota is used up", NotRun: true},
	AddUndecided:         {Status: 504, Name: "undecided", Text: "the add may count; send it again"},
	CountersFull:         {Status: 503, Name: "counters-full", Text: "the counters remember all the IDs that they can", NotRun: true},
	UnknownService:       {Status: 404, Name: "unknown-service", Text: "there is no such service"},
	RolloutConflict:      {Status: 409, Name: "rollout-conflict", Text: "the rollout can't be begun as things stand"},
	InvalidOrder:         {Status: 400, Name: "bad-order", Text: "the order can't be read"},
	OutOfContact:         {Status: 503, Name: "out-of-contact", Text: "a newer configuration may have the route or the key", NotRun: true},
	EarlyRequest:         {Status: 503, Name: "sent-ahead", Text: "the request came before the answer to the one before it", NotRun: true, CloseConnection: true},
}

// Response returns how the kind is answered; a number that is no kind is answered
// as Internal.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Response().Name }

// Error is an error of a kind.
type Error struct {
	Kind Kind
	// Detail is what is answered beyond the kind; it may be empty.
	Detail string
	// cause is the error that Detail wraps, nil if none.
	cause error
}

// Error returns the kind's name and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Unwrap returns the error that was formatted with %w, nil if none was.
func (e *Error) Unwrap() error { return e.cause }

// maxDetailBytes is the length to which a detail is cut: details quote what callers
// wrote, and are answered, logged and sent to other daemons.
const maxDetailBytes = 2 << 10

// Errorf returns an error of the kind, with a detail that is formatted as by
// fmt.Errorf and cut to maxDetailBytes. An error in it formatted with %w is wrapped;
// the kind that counts is the outer one.
func Errorf(kind Kind, format string, values ...any) error {
	detail := fmt.Errorf(format, values...)
	return &Error{Kind: kind, Detail: excerpt.Of(detail.Error(), maxDetailBytes), cause: errors.Unwrap(detail)}
}

// KindOf returns the kind of the outermost Error in err's chain: None if err is
// nil, Internal if there is no Error.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return Internal
}

// DetailOf returns the detail of the outermost Error in err's chain, empty if
// there is none.
func DetailOf(err error) string {
	var known *Error
	if errors.As(err, &known) {
		return known.Detail
	}
	return ""
}
