package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
)

// Wire names of the heads between router and runner.
const (
	AttemptHeader  = "Onyxwell-Attempt-Id"
	SealHeader     = "Onyxwell-Server-Seal"
	TargetHeader   = "Onyxwell-Target-Server"
	LeftHeader     = "Onyxwell-Time-Left-Ms"
	UrgencyHeader  = "Onyxwell-Urgency"
	LoadHeader     = "Onyxwell-Server-Load"
	RunnerHeader   = "Onyxwell-Server-Id"
	ColdHeader     = "Onyxwell-Cold-Ms"
	PrefixHeader   = "Onyxwell-Prompt-Prefix"
	CountHeader    = "Onyxwell-Token-Count"
	LastEventField = "Last-Event-Id"
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

// Request is a visitor's request as it goes to runners.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Attempt string
}

// Trip is one sending of a request.
type Trip struct {
	Request   *Request
	Runner    ids.RunnerID
	Address   ids.Address
	Left      clock.Span
	Urgency   int
	LastEvent string
	Service   ids.Service
	// Once says that the request may run only once.
	Once bool
}

// Result is what came of a trip. The response is there where it was answered
// or refused; its body is the caller's to close.
type Result struct {
	Fate     Fate
	Response *http.Response
	Fault    error
	// Stale says that nothing was sent since the kept connection was too old: the
	// runner itself may be asked again at once.
	Stale bool
}

// Send sends a request to a runner and waits for the head of the answer.
//
// Example:
//
//	result := sender.Send(limited, trip)
func (sender *Sender) Send(inner scope.Scope, trip Trip) Result {
	request := sender.outgoing(trip)
	var link *connection
	before := int64(0)
	wanted := &asking{trust: sender.trustOf(trip.Service), once: trip.Once}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if used, known := info.Conn.(*connection); known {
			link, before = used, used.written.Load()
			used.next.Store(wanted)
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(inner, trace))
	response, fault := sender.transport.RoundTrip(request)
	if fault != nil {
		// A sending whose time ended may still be on its way out.
		untouched := link != nil && inner.Err() == nil && link.written.Load() == before
		if link == nil || errors.Is(fault, errStale) || untouched {
			return Result{Fate: Unsent, Fault: fault, Stale: errors.Is(fault, errStale)}
		}
		if inner.Err() == nil {
			wanted.trust.lapse(clock.Span(wanted.idle.Load()))
		}
		return Result{Fate: Doubtful, Fault: fault}
	}
	wanted.trust.work(clock.Span(wanted.idle.Load()))
	sender.keep(string(trip.Address), response.Header)
	return judge(trip, response)
}

// judge tells whether the head is an answer to this request.
func judge(trip Trip, response *http.Response) Result {
	if response.Header.Get(AttemptHeader) != trip.Request.Attempt || response.StatusCode < 200 {
		_ = response.Body.Close()
		return Result{Fate: Garbled, Fault: errors.New("forward: the answer is another request's")}
	}
	if response.Header.Get(reply.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		return Result{Fate: Refused, Response: response}
	}
	success := response.StatusCode/100 == 2
	if success && (response.Header.Get(SealHeader) == "" || response.Header.Get("Content-Encoding") != "") {
		_ = response.Body.Close()
		return Result{Fate: Garbled, Fault: errors.New("forward: a success without a seal")}
	}
	if promises[response.StatusCode] {
		// The status promises what the runner did not say.
		_ = response.Body.Close()
		return Result{Fate: Doubtful, Fault: errors.New("forward: a refusal that does not say not-run")}
	}
	return Result{Fate: Answered, Response: response}
}

// promises are the statuses that tell a visitor that nothing has run.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
}

// outgoing makes the request. Its body can't be read twice, not even an empty
// one, so the HTTP client can't send it again by itself.
func (sender *Sender) outgoing(trip Trip) *http.Request {
	header := trip.Request.Header.Clone()
	header.Set(TargetHeader, string(trip.Runner))
	header.Set(LeftHeader, strconv.FormatInt(max(1, trip.Left.Milliseconds()), 10))
	header.Set(UrgencyHeader, strconv.Itoa(min(9, max(0, trip.Urgency))))
	if trip.LastEvent != "" {
		header.Set(LastEventField, trip.LastEvent)
	}
	if _, told := header["User-Agent"]; !told {
		header["User-Agent"] = []string{""}
	}
	return &http.Request{
		Method: trip.Request.Method, Host: trip.Request.Host, Header: header,
		URL:   &url.URL{Scheme: "http", Host: string(trip.Address), Opaque: trip.Request.Target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(trip.Request.Body)), ContentLength: int64(len(trip.Request.Body)),
	}
}

// hops are the heads that concern one connection only.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PassedOn gives the heads that are passed on, in either direction.
//
// Example:
//
//	header := forward.PassedOn(request.Header)
func PassedOn(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hops {
		kept.Del(name)
	}
	return kept
}

// Discard ends a response that is not needed; a short rest is read, so that
// the connection can be kept.
//
// Example:
//
//	defer forward.Discard(result.Response)
func Discard(response *http.Response) {
	if response == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, response.Body, 4096)
	_ = response.Body.Close()
}
