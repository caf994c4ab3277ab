package upstream

import (
	"errors"
	"net/http"

	"onyxwell/base/response"
)

// Outcome is what is known about the execution of a request after an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Unsent: no byte of the request reached the runner.
	Unsent Outcome = iota
	// Rejected: the runner stated that it did not execute the request.
	Rejected
	// Answered: the runner responded, and the response head matches the request.
	Answered
	// Indeterminate: the request may have been executed, and there is no response
	// that can be forwarded.
	Indeterminate
	// InvalidResponse: the request may have been executed, but what was received is
	// not a valid response to it.
	InvalidResponse
	// Unusable: the request was executed, and this router can't forward the response,
	// or its rest, although the runner may have done nothing wrong.
	Unusable
)

var outcomeNames = [...]string{
	Unsent: "unsent", Rejected: "refused", Answered: "answered", Indeterminate: "doubtful", InvalidResponse: "garbled", Unusable: "unusable",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// Cause is the one-word name of the observation, for logs and metrics.
	Cause string
	// Response is set if the outcome is Answered or Rejected. The caller must close
	// its body.
	Response *http.Response
	// Err describes why there is no response; it may be nil.
	Err error
	// StaleConn reports that nothing was sent because the pooled connections had
	// been idle for too long. The same runner may be tried again at once.
	StaleConn bool
	// LocalExhaustion reports that nothing was sent because this machine ran out of
	// resources, such as file descriptors or ports, which says nothing about the
	// runner's health.
	LocalExhaustion bool
}

// observation is what the client observed during an exchange; conclusions maps it
// to an outcome.
type observation int

const (
	// dialFailed: no connection was established.
	dialFailed observation = iota
	// localExhaustion: no connection was established, because this machine ran out
	// of resources.
	localExhaustion
	// staleConn: the pooled connections had been idle for too long, and nothing was
	// written.
	staleConn
	// deadlineExpired: the deadline passed or the context ended before the first
	// byte was written.
	deadlineExpired
	// nothingWritten: the connection accepted no byte of the request.
	nothingWritten
	// noResponse: bytes were written, but no complete, well-formed response head with
	// unambiguous framing arrived.
	noResponse
	// wrongAttempt: the id of this attempt is not the only attempt id in the head, or
	// the status is 101 (Switching Protocols).
	wrongAttempt
	// declaredNotRun: the runner states that it did not execute the request.
	declaredNotRun
	// missingSeal: a success without the runner's seal, or with a Content-Encoding.
	missingSeal
	// unprovenRejection: the status suggests that the request was not executed, but
	// the runner does not state it.
	unprovenRejection
	// validResponse: the head is that of a response to the request.
	validResponse
)

var observationNames = [...]string{
	dialFailed: "undialed", localExhaustion: "starved", staleConn: "stale", deadlineExpired: "expired", nothingWritten: "unwritten", noResponse: "silent",
	wrongAttempt: "foreign", declaredNotRun: "declined", missingSeal: "unsealed", unprovenRejection: "unfounded", validResponse: "proper",
}

// String returns the name of the observation in logs and metrics.
func (o observation) String() string { return observationNames[o] }

// conclusion is what an observation implies for the request and the connection.
type conclusion struct {
	outcome Outcome
	// inSync reports whether, judging by the observation alone, the next response on
	// the connection will be that of the next request.
	inSync bool
	// err is the error for callers of Send, unless there is a more specific one.
	err error
}

// conclusions is the only place that decides what is known about the execution of
// a request. Invariant: a request of which any byte may have been written may have
// been executed, unless a complete response head with its attempt id says otherwise.
var conclusions = [...]conclusion{
	dialFailed:        {outcome: Unsent},
	localExhaustion:   {outcome: Unsent},
	staleConn:         {outcome: Unsent, err: errors.New("upstream: the pooled connections were idle for too long to be reused")},
	deadlineExpired:   {outcome: Unsent, err: errors.New("upstream: the deadline passed or the request was canceled before anything was sent")},
	nothingWritten:    {outcome: Unsent},
	noResponse:        {outcome: Indeterminate},
	wrongAttempt:      {outcome: InvalidResponse, err: errors.New("upstream: the response does not carry the id of the attempt")},
	declaredNotRun:    {outcome: Rejected, inSync: true},
	missingSeal:       {outcome: InvalidResponse, err: errors.New("upstream: the response is a success without the runner's seal or with a content encoding")},
	unprovenRejection: {outcome: Indeterminate, err: errors.New("upstream: the response has a rejection status but does not state that the request was not executed")},
	validResponse:     {outcome: Answered, inSync: true},
}

// headChecks classify a complete response head; the first check that matches
// applies.
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

// notRunStatuses are the statuses from which clients conclude that a request was
// not executed.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
}

// classifyHead returns the observation for a complete response head.
func classifyHead(attemptID string, head *http.Response) observation {
	for _, check := range headChecks {
		if check.matches(attemptID, head) {
			return check.observation
		}
	}
	return validResponse
}

// result returns the Result for an observation. If err is nil, the error of the
// conclusion is used.
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

// exchangeEnd is the state of an exchange and its connection when the exchange has
// ended.
type exchangeEnd struct {
	observation observation
	// bodyComplete: the body was read to its end. selfDelimited: a Content-Length
	// or chunks delimit the body. closeRequested: the response asks for the
	// connection to be closed.
	bodyComplete, selfDelimited, closeRequested bool
	// requestWritten: the whole request was written. canceled: the context of the
	// exchange ended.
	requestWritten, canceled bool
	// bufferedBytes is the number of bytes that were read beyond the response.
	bufferedBytes int
}

// reuseBlockers are the conditions under which a connection must not be reused.
var reuseBlockers = []struct {
	reason  string
	matches func(end exchangeEnd) bool
}{
	{"the response is not a valid response to the request", func(end exchangeEnd) bool { return !conclusions[end.observation].inSync }},
	{"the response is incomplete", func(end exchangeEnd) bool { return !end.bodyComplete }},
	{"the runner closes the connection after the response", func(end exchangeEnd) bool { return !end.selfDelimited || end.closeRequested }},
	{"the request was not written completely", func(end exchangeEnd) bool { return !end.requestWritten }},
	{"the exchange was canceled", func(end exchangeEnd) bool { return end.canceled }},
	{"bytes were received beyond the response", func(end exchangeEnd) bool { return end.bufferedBytes > 0 }},
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
