package upstream

import (
	"errors"
	"net/http"

	"onyxwell/base/response"
)

// Fate is what is known of a request that was sent to a runner.
type Fate int

// The fates.
const (
	// Unsent requests never reached the runner.
	Unsent Fate = iota
	// Refused requests were turned away by the runner without being run.
	Refused
	// Answered requests have an answer, whose head can be trusted.
	Answered
	// Doubtful requests may have run; no answer came that can be passed on.
	Doubtful
	// Garbled requests may have run; what came back is no answer to them.
	Garbled
)

var fateNames = [...]string{Unsent: "unsent", Refused: "refused", Answered: "answered", Doubtful: "doubtful", Garbled: "garbled"}

// String gives the fate's name as logs and figures carry it.
func (f Fate) String() string { return fateNames[f] }

// sign is what a sending showed.
type sign int

const (
	// undialed: no connection came up.
	undialed sign = iota
	// starved: no connection came up for want of this machine's own resources.
	starved
	// stale: the kept connections were too old; nothing was written.
	stale
	// expired: the time was over before the first byte was written.
	expired
	// unwritten: the connection took not one byte.
	unwritten
	// silent: bytes were written, and no whole head came back.
	silent
	// foreign: the head is another request's, or nobody's.
	foreign
	// declined: the runner says that it did not run the request.
	declined
	// unsealed: a success that can't be the runner's whole body.
	unsealed
	// unfounded: the status promises what the runner did not say.
	unfounded
	// proper: the head is an answer to the request.
	proper
)

var signNames = [...]string{
	undialed: "undialed", starved: "starved", stale: "stale", expired: "expired", unwritten: "unwritten", silent: "silent",
	foreign: "foreign", declined: "declined", unsealed: "unsealed", unfounded: "unfounded", proper: "proper",
}

// String gives the sign's name as logs and figures carry it.
func (s sign) String() string { return signNames[s] }

// verdict is what follows from a sign.
type verdict struct {
	fate Fate
	// fit says that the connection stays in step, as far as the sign shows.
	fit bool
	err error
}

// verdicts is the one place that says what is known of a request's fate.
// Whatever may have been written may have run, unless a whole head with the
// request's own id says otherwise.
var verdicts = [...]verdict{
	undialed:  {fate: Unsent},
	starved:   {fate: Unsent},
	stale:     {fate: Unsent, err: errors.New("forward: the kept connection is too old to be trusted")},
	expired:   {fate: Unsent, err: errors.New("forward: the time was over before anything was sent")},
	unwritten: {fate: Unsent},
	silent:    {fate: Doubtful},
	foreign:   {fate: Garbled, err: errors.New("forward: the answer is another request's")},
	declined:  {fate: Refused, fit: true},
	unsealed:  {fate: Garbled, err: errors.New("forward: a success without a seal")},
	unfounded: {fate: Doubtful, err: errors.New("forward: a refusal that does not say not-run")},
	proper:    {fate: Answered, fit: true},
}

// readings tell by which sign a whole head is known; the first that holds counts.
var readings = []struct {
	sign  sign
	holds func(attempt string, head *http.Response) bool
}{
	{foreign, func(attempt string, head *http.Response) bool {
		told := head.Header[AttemptHeader]
		return attempt == "" || len(told) != 1 || told[0] != attempt || head.StatusCode < 200
	}},
	{declined, func(_ string, head *http.Response) bool {
		return head.Header.Get(response.NotRunHeader) != "" || head.StatusCode == http.StatusMisdirectedRequest
	}},
	{unsealed, func(_ string, head *http.Response) bool {
		return head.StatusCode/100 == 2 && (head.Header.Get(SealHeader) == "" || head.Header.Get("Content-Encoding") != "")
	}},
	{unfounded, func(_ string, head *http.Response) bool { return promises[head.StatusCode] }},
}

// promises are the statuses that tell a visitor that nothing has run.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
}

// judge tells by which sign a whole head is known.
func judge(attempt string, head *http.Response) sign {
	for _, reading := range readings {
		if reading.holds(attempt, head) {
			return reading.sign
		}
	}
	return proper
}

// result is what the caller hears of a sign.
func (s sign) result(err error, response *http.Response) Result {
	told := verdicts[s]
	if err == nil {
		err = told.err
	}
	return Result{Fate: told.fate, Cause: s.String(), Fault: err, Response: response, Stale: s == stale, Local: s == starved}
}

// ending is how an exchange over a connection ended.
type ending struct {
	sign sign
	// whole: the answer came to its end; framed: its own length or chunks said
	// where that is; closing: a side wants the connection closed.
	whole, framed, closing bool
	// written: the request went out whole; cut: its time ended.
	written, cut bool
	// rest is how many bytes are there behind the answer.
	rest int
}

// bars are what keeps a connection from being used again, by name.
var bars = []struct {
	name  string
	holds func(ending ending) bool
}{
	{"the answer is not one to the request", func(ending ending) bool { return !verdicts[ending.sign].fit }},
	{"the answer is not whole", func(ending ending) bool { return !ending.whole }},
	{"the answer's end is the connection's", func(ending ending) bool { return !ending.framed || ending.closing }},
	{"the request did not go out whole", func(ending ending) bool { return !ending.written }},
	{"the time was over", func(ending ending) bool { return ending.cut }},
	{"bytes stand behind the answer", func(ending ending) bool { return ending.rest > 0 }},
}

// barred names why a connection may not be used again, if there is a reason.
func barred(ending ending) string {
	for _, bar := range bars {
		if bar.holds(ending) {
			return bar.name
		}
	}
	return ""
}
