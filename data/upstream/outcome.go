package upstream

import (
	"errors"
	"net/http"

	"onyxwell/base/response"
)

// Outcome is what is known of a request's execution after it was sent.
type Outcome int

// The outcomes.
const (
	// Unsent: the request never reached the runner.
	Unsent Outcome = iota
	// Rejected: the runner turned the request away without executing it.
	Rejected
	// Answered: there is a response whose head belongs to the request.
	Answered
	// Indeterminate: the request may have been executed; there is no response
	// that can be forwarded.
	Indeterminate
	// InvalidResponse: the request may have been executed; what came back is not its
	// response.
	InvalidResponse
)

var outcomeNames = [...]string{Unsent: "unsent", Rejected: "refused", Answered: "answered", Indeterminate: "doubtful", InvalidResponse: "garbled"}

// String returns the name that logs and metrics carry.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what came of an attempt.
type Result struct {
	Outcome Outcome
	// Cause names what was observed, in a word; logs and metrics carry it.
	Cause string
	// Response is set where the outcome is Answered or Rejected. The caller must
	// close its body.
	Response *http.Response
	// Err says more about an outcome without a response; it may be nil.
	Err error
	// StaleConn says that nothing was sent because the idle connections were too
	// old: the same runner may be tried again at once.
	StaleConn bool
	// LocalExhaustion says that nothing was sent for want of this machine's own
	// resources, which says nothing about the runner.
	LocalExhaustion bool
}

// observation is what was seen of an exchange; conclusions maps it to an outcome.
type observation int

const (
	// dialFailed: no connection was established.
	dialFailed observation = iota
	// localExhaustion: no connection was established for want of local resources.
	localExhaustion
	// staleConn: the idle connections were too old; nothing was written.
	staleConn
	// deadlineExpired: the deadline passed before the first byte was written.
	deadlineExpired
	// nothingWritten: the connection took no byte of the request.
	nothingWritten
	// noResponse: bytes were written, and no complete response head came back.
	noResponse
	// wrongAttempt: the head carries another attempt's id, or none.
	wrongAttempt
	// declaredNotRun: the runner states that it did not execute the request.
	declaredNotRun
	// missingSeal: a success without the runner's seal, or with its body re-encoded.
	missingSeal
	// unprovenRejection: the status suggests that nothing was executed, but the
	// runner does not state it.
	unprovenRejection
	// validResponse: the head is a response to the request.
	validResponse
)

var observationNames = [...]string{
	dialFailed: "undialed", localExhaustion: "starved", staleConn: "stale", deadlineExpired: "expired", nothingWritten: "unwritten", noResponse: "silent",
	wrongAttempt: "foreign", declaredNotRun: "declined", missingSeal: "unsealed", unprovenRejection: "unfounded", validResponse: "proper",
}

// String returns the name that logs and metrics carry.
func (o observation) String() string { return observationNames[o] }

// conclusion is what follows from an observation.
type conclusion struct {
	outcome Outcome
	// inSync says that, as far as the observation shows, the next response on the
	// connection belongs to the next request.
	inSync bool
	err    error
}

// conclusions is the only place that decides what is known of a request's
// execution. Invariant: a request of which any byte may have been written may
// have been executed, unless a complete head with its own attempt id says
// otherwise.
var conclusions = [...]conclusion{
	dialFailed:        {outcome: Unsent},
	localExhaustion:   {outcome: Unsent},
	staleConn:         {outcome: Unsent, err: errors.New("upstream: the idle connections are too old to be reused")},
	deadlineExpired:   {outcome: Unsent, err: errors.New("upstream: the deadline passed before anything was sent")},
	nothingWritten:    {outcome: Unsent},
	noResponse:        {outcome: Indeterminate},
	wrongAttempt:      {outcome: InvalidResponse, err: errors.New("upstream: the response is another attempt's")},
	declaredNotRun:    {outcome: Rejected, inSync: true},
	missingSeal:       {outcome: InvalidResponse, err: errors.New("upstream: a success without the runner's seal")},
	unprovenRejection: {outcome: Indeterminate, err: errors.New("upstream: a rejection that does not state that nothing was executed")},
	validResponse:     {outcome: Answered, inSync: true},
}

// headChecks classify a complete head; the first that matches counts.
var headChecks = []struct {
	observation observation
	matches     func(attemptID string, head *http.Response) bool
}{
	{wrongAttempt, func(attemptID string, head *http.Response) bool {
		values := head.Header[AttemptIDHeader]
		return attemptID == "" || len(values) != 1 || values[0] != attemptID || head.StatusCode < 200
	}},
	{declaredNotRun, func(_ string, head *http.Response) bool {
		return head.Header.Get(response.NotRunHeader) != "" || head.StatusCode == http.StatusMisdirectedRequest
	}},
	{missingSeal, func(_ string, head *http.Response) bool {
		return head.StatusCode/100 == 2 && (head.Header.Get(SealHeader) == "" || head.Header.Get("Content-Encoding") != "")
	}},
	{unprovenRejection, func(_ string, head *http.Response) bool { return notRunStatuses[head.StatusCode] }},
}

// notRunStatuses are the statuses by which clients conclude that a request was
// not executed.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
}

// classifyHead returns what a complete response head shows of an attempt.
func classifyHead(attemptID string, head *http.Response) observation {
	for _, check := range headChecks {
		if check.matches(attemptID, head) {
			return check.observation
		}
	}
	return validResponse
}

// result returns what the caller is told of an observation; a nil err is
// replaced by the observation's own.
func (o observation) result(err error, resp *http.Response) Result {
	entry := conclusions[o]
	if err == nil {
		err = entry.err
	}
	return Result{
		Outcome: entry.outcome, Cause: o.String(), Err: err, Response: resp,
		StaleConn: o == staleConn, LocalExhaustion: o == localExhaustion,
	}
}

// exchangeEnd is the state of a connection when an exchange on it has ended.
type exchangeEnd struct {
	observation observation
	// bodyComplete: the body was read to its end. selfDelimited: its length or
	// its chunks said where that is. closeRequested: the runner asked for the
	// connection to be closed.
	bodyComplete, selfDelimited, closeRequested bool
	// requestWritten: the whole request was written. canceled: the exchange's
	// context ended.
	requestWritten, canceled bool
	// bufferedBytes is how many bytes were read beyond the response.
	bufferedBytes int
}

// reuseBlockers are the conditions that forbid to reuse a connection.
var reuseBlockers = []struct {
	reason  string
	matches func(end exchangeEnd) bool
}{
	{"the response is not the request's own", func(end exchangeEnd) bool { return !conclusions[end.observation].inSync }},
	{"the response is incomplete", func(end exchangeEnd) bool { return !end.bodyComplete }},
	{"the response ends with the connection", func(end exchangeEnd) bool { return !end.selfDelimited || end.closeRequested }},
	{"the request was not written completely", func(end exchangeEnd) bool { return !end.requestWritten }},
	{"the exchange was canceled", func(end exchangeEnd) bool { return end.canceled }},
	{"there are bytes beyond the response", func(end exchangeEnd) bool { return end.bufferedBytes > 0 }},
}

// reuseBlocker returns why a connection must not be reused, or "" if it may be.
func reuseBlocker(end exchangeEnd) string {
	for _, blocker := range reuseBlockers {
		if blocker.matches(end) {
			return blocker.reason
		}
	}
	return ""
}
