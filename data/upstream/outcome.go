package upstream

import (
	"errors"
	"net/http"

	"onyxwell/base/response"
)

// Outcome is what is known of a request that was sent to a runner.
type Outcome int

// The fates.
const (
	// Unsent requests never reached the runner.
	Unsent Outcome = iota
	// Rejected requests were turned away by the runner without being run.
	Rejected
	// Answered requests have an answer, whose head can be trusted.
	Answered
	// Indeterminate requests may have run; no answer came that can be passed on.
	Indeterminate
	// Garbled requests may have run; what came back is no answer to them.
	Garbled
)

var outcomeNames = [...]string{Unsent: "unsent", Rejected: "refused", Answered: "answered", Indeterminate: "doubtful", Garbled: "garbled"}

// String gives the fate's name as logs and figures carry it.
func (o Outcome) String() string { return outcomeNames[o] }

// observation is what a sending showed.
type observation int

const (
	// undialed: no connection came up.
	dialFailed observation = iota
	// starved: no connection came up for want of this machine's own resources.
	localExhaustion
	// stale: the kept connections were too old; nothing was written.
	staleConn
	// expired: the time was over before the first byte was written.
	deadlineExpired
	// unwritten: the connection took not one byte.
	nothingWritten
	// silent: bytes were written, and no whole head came back.
	noResponse
	// foreign: the head is another request's, or nobody's.
	wrongAttempt
	// declined: the runner says that it did not run the request.
	declaredNotRun
	// unsealed: a success that can't be the runner's whole body.
	missingSeal
	// unfounded: the status promises what the runner did not say.
	unprovenRejection
	// proper: the head is an answer to the request.
	validResponse
)

var observationNames = [...]string{
	dialFailed: "undialed", localExhaustion: "starved", staleConn: "stale", deadlineExpired: "expired", nothingWritten: "unwritten", noResponse: "silent",
	wrongAttempt: "foreign", declaredNotRun: "declined", missingSeal: "unsealed", unprovenRejection: "unfounded", validResponse: "proper",
}

// String gives the sign's name as logs and figures carry it.
func (o observation) String() string { return observationNames[o] }

// conclusion is what follows from a sign.
type conclusion struct {
	outcome Outcome
	// inStep says that the connection stays in step, as far as the sign shows.
	inStep bool
	err    error
}

// conclusions is the one place that says what is known of a request's fate.
// Whatever may have been written may have run, unless a whole head with the
// request's own id says otherwise.
var conclusions = [...]conclusion{
	dialFailed:        {outcome: Unsent},
	localExhaustion:   {outcome: Unsent},
	staleConn:         {outcome: Unsent, err: errors.New("forward: the kept connection is too old to be trusted")},
	deadlineExpired:   {outcome: Unsent, err: errors.New("forward: the time was over before anything was sent")},
	nothingWritten:    {outcome: Unsent},
	noResponse:        {outcome: Indeterminate},
	wrongAttempt:      {outcome: Garbled, err: errors.New("forward: the answer is another request's")},
	declaredNotRun:    {outcome: Rejected, inStep: true},
	missingSeal:       {outcome: Garbled, err: errors.New("forward: a success without a seal")},
	unprovenRejection: {outcome: Indeterminate, err: errors.New("forward: a refusal that does not say not-run")},
	validResponse:     {outcome: Answered, inStep: true},
}

// headChecks tell by which sign a whole head is known; the first that holds counts.
var headChecks = []struct {
	sign  observation
	holds func(attempt string, head *http.Response) bool
}{
	{wrongAttempt, func(attempt string, head *http.Response) bool {
		told := head.Header[AttemptIDHeader]
		return attempt == "" || len(told) != 1 || told[0] != attempt || head.StatusCode < 200
	}},
	{declaredNotRun, func(_ string, head *http.Response) bool {
		return head.Header.Get(response.NotRunHeader) != "" || head.StatusCode == http.StatusMisdirectedRequest
	}},
	{missingSeal, func(_ string, head *http.Response) bool {
		return head.StatusCode/100 == 2 && (head.Header.Get(SealHeader) == "" || head.Header.Get("Content-Encoding") != "")
	}},
	{unprovenRejection, func(_ string, head *http.Response) bool { return notRunStatuses[head.StatusCode] }},
}

// notRunStatuses are the statuses that tell a visitor that nothing has run.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
}

// classifyHead tells by which sign a whole head is known.
func classifyHead(attempt string, head *http.Response) observation {
	for _, reading := range headChecks {
		if reading.holds(attempt, head) {
			return reading.sign
		}
	}
	return validResponse
}

// result is what the caller hears of a sign.
func (o observation) result(err error, response *http.Response) Result {
	told := conclusions[o]
	if err == nil {
		err = told.err
	}
	return Result{Outcome: told.outcome, Cause: o.String(), Err: err, Response: response, StaleConn: o == staleConn, LocalExhaustion: o == localExhaustion}
}

// exchangeEnd is how an exchange over a connection ended.
type exchangeEnd struct {
	observation observation
	// whole: the answer came to its end; framed: its own length or chunks said
	// where that is; closing: a side wants the connection closed.
	bodyComplete, selfDelimited, closeRequested bool
	// written: the request went out whole; cut: its time ended.
	requestWritten, canceled bool
	// bufferedBytes is how many bytes are there behind the answer.
	bufferedBytes int
}

// reuseBlockers are what keeps a connection from being used again, by name.
var reuseBlockers = []struct {
	name  string
	holds func(ending exchangeEnd) bool
}{
	{"the answer is not one to the request", func(ending exchangeEnd) bool { return !conclusions[ending.observation].inStep }},
	{"the answer is not whole", func(ending exchangeEnd) bool { return !ending.bodyComplete }},
	{"the answer's end is the connection's", func(ending exchangeEnd) bool { return !ending.selfDelimited || ending.closeRequested }},
	{"the request did not go out whole", func(ending exchangeEnd) bool { return !ending.requestWritten }},
	{"the time was over", func(ending exchangeEnd) bool { return ending.canceled }},
	{"bytes stand behind the answer", func(ending exchangeEnd) bool { return ending.bufferedBytes > 0 }},
}

// reuseBlocker names why a connection may not be used again, if there is a reason.
func reuseBlocker(ending exchangeEnd) string {
	for _, bar := range reuseBlockers {
		if bar.holds(ending) {
			return bar.name
		}
	}
	return ""
}
