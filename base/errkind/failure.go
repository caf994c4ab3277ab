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
	HeadTooLarge
	BodyTooLarge
	TooSlow
	NoRoute
	UnknownCall
	Unready
	Leaving
	NoRunner
	Crowded
	BudgetSpent
	RunnerLost
	RunnerGarbled
	LimitReached
	LimitBeforeRun
	BadSpec
	StaleSpec
	UnknownZone
	Unsettled
	Forgotten
	Internal
	SentAhead
	NoMemory
	kinds
)

// Answer is how a kind is told to a caller.
type Answer struct {
	Status  int
	Name    string
	Text    string
	NotRun  bool
	Closing bool
}

var answers = [kinds]Answer{
	None:           {Status: 200, Name: "none"},
	BadRequest:     {Status: 400, Name: "bad-request", Text: "the request can't be read", NotRun: true, Closing: true},
	HeadTooLarge:   {Status: 431, Name: "head-too-large", Text: "the head is longer than the spec allows", NotRun: true, Closing: true},
	BodyTooLarge:   {Status: 413, Name: "body-too-large", Text: "the body is longer than the spec allows", NotRun: true, Closing: true},
	TooSlow:        {Status: 408, Name: "too-slow", Text: "the request did not arrive whole in time", NotRun: true, Closing: true},
	NoRoute:        {Status: 404, Name: "no-route", Text: "no route has this host and path", NotRun: true},
	UnknownCall:    {Status: 404, Name: "unknown-call", Text: "there is no such call here", NotRun: true},
	Unready:        {Status: 503, Name: "unready", Text: "no spec is known here yet", NotRun: true},
	Leaving:        {Status: 503, Name: "leaving", Text: "this router is leaving", NotRun: true, Closing: true},
	NoRunner:       {Status: 503, Name: "no-runner", Text: "no runner can take the request now", NotRun: true},
	Crowded:        {Status: 503, Name: "crowded", Text: "the runners can't serve the request in time", NotRun: true},
	BudgetSpent:    {Status: 503, Name: "budget-spent", Text: "no further try is left in the budget", NotRun: true},
	RunnerLost:     {Status: 502, Name: "runner-lost", Text: "the runner was lost while it may have worked"},
	RunnerGarbled:  {Status: 502, Name: "runner-garbled", Text: "the runner's answer can't be trusted"},
	LimitReached:   {Status: 504, Name: "limit-reached", Text: "the time for the request is over"},
	LimitBeforeRun: {Status: 503, Name: "limit-before-run", Text: "the time was over before any runner began", NotRun: true},
	BadSpec:        {Status: 400, Name: "bad-spec", Text: "the spec is invalid"},
	StaleSpec:      {Status: 412, Name: "stale-spec", Text: "another version is in place"},
	UnknownZone:    {Status: 404, Name: "unknown-zone", Text: "there is no such zone"},
	Unsettled:      {Status: 503, Name: "unsettled", Text: "no majority of the voters answered in time"},
	Forgotten:      {Status: 503, Name: "forgotten", Text: "it is too long ago to know whether this was taken"},
	Internal:       {Status: 500, Name: "internal", Text: "a part of the program failed"},
	NoMemory:       {Status: 503, Name: "no-memory", Text: "the bodies at hand take all the memory that they may", NotRun: true, Closing: true},
	SentAhead:      {Status: 503, Name: "sent-ahead", Text: "the request came before the answer to the one before it", NotRun: true, Closing: true},
}

// Answer looks the kind up in the table.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kinds {
		return answers[Internal]
	}
	return answers[k]
}

// String gives the kind's name as logs and answers carry it.
func (k Kind) String() string { return k.Answer().Name }

// Failure is an error of a known kind.
type Failure struct {
	Kind   Kind
	Detail string
}

// Error tells the kind and the detail.
func (f *Failure) Error() string {
	if f.Detail == "" {
		return f.Kind.String()
	}
	return f.Kind.String() + ": " + f.Detail
}

// Of makes an error of the kind with a detail in the manner of fmt.
func Of(kind Kind, format string, values ...any) error {
	return &Failure{Kind: kind, Detail: fmt.Sprintf(format, values...)}
}

// KindOf finds the kind of an error; an error of no known kind is Internal.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var known *Failure
	if errors.As(err, &known) {
		return known.Kind
	}
	return Internal
}

// DetailOf gives what is said beyond the kind.
func DetailOf(err error) string {
	var known *Failure
	if errors.As(err, &known) {
		return known.Detail
	}
	return ""
}
