// Package errkind is the closed list of the kinds of errors that onyxwell
// knows, with the table that says how each is answered.
package errkind

import (
	"errors"
	"fmt"
)

// Kind is one of the kinds of errors below; there are no others.
type Kind int

// The kinds. A kind whose answer is 503, 429 or 408 is a promise that the
// request has not run and never will, except for Unsettled and Forgotten, which
// are told of orders alone and leave open whether they were taken.
const (
	None Kind = iota
	BadRequest
	HeaderTooLarge
	BodyTooLarge
	RequestTimeout
	NoRoute
	UnknownCall
	NotReady
	Draining
	NoRunner
	Overloaded
	RetryBudgetExhausted
	RunnerLost
	BadRunnerResponse
	DeadlineExceeded
	DeadlineBeforeRun
	InvalidConfig
	VersionConflict
	UnknownZone
	NoQuorum
	OutcomeExpired
	Internal
	EarlyRequest
	OutOfMemory
	kindCount
)

// Response is how a kind is told to a caller.
type Response struct {
	Status          int
	Name            string
	Text            string
	NotRun          bool
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
	EarlyRequest:         {Status: 503, Name: "sent-ahead", Text: "the request came before the answer to the one before it", NotRun: true, CloseConnection: true},
}

// Response looks the kind up in the table.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String gives the kind's name as logs and answers carry it.
func (k Kind) String() string { return k.Response().Name }

// Error is an error of a known kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error tells the kind and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Errorf makes an error of the kind with a detail in the manner of fmt.
func Errorf(kind Kind, format string, values ...any) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, values...)}
}

// KindOf finds the kind of an error; an error of no known kind is Internal.
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

// DetailOf gives what is said beyond the kind.
func DetailOf(err error) string {
	var known *Error
	if errors.As(err, &known) {
		return known.Detail
	}
	return ""
}
