package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Wire names of the heads between router and runner.
const (
	AttemptIDHeader    = "Onyxwell-Attempt-Id"
	SealHeader         = "Onyxwell-Server-Seal"
	TargetHeader       = "Onyxwell-Target-Server"
	TimeLeftHeader     = "Onyxwell-Time-Left-Ms"
	UrgencyHeader      = "Onyxwell-Urgency"
	LoadHeader         = "Onyxwell-Server-Load"
	RunnerIDHeader     = "Onyxwell-Server-Id"
	WarmupHeader       = "Onyxwell-Cold-Ms"
	PromptPrefixHeader = "Onyxwell-Prompt-Prefix"
	TokenCountHeader   = "Onyxwell-Token-Count"
	LastEventIDHeader  = "Last-Event-Id"
)

// Request is a visitor's request as it goes to runners, one after another.
type Request struct {
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	// sentTo are the addresses that it was written to.
	sentTo []ids.Address
}

// Attempt is one sending of a request.
type Attempt struct {
	Request     *Request
	RunnerID    ids.RunnerID
	Address     ids.Address
	TimeLeft    clock.Span
	Urgency     int
	LastEventID string
	Service     ids.Service
	// AtMostOnce says that the request may run only once.
	AtMostOnce bool
}

// Result is what came of a trip. The response is there where it was answered
// or refused; its body is the caller's to close.
type Result struct {
	Outcome Outcome
	// Cause names what was seen, in a word.
	Cause    string
	Response *http.Response
	Err      error
	// StaleConn says that nothing was sent since the kept connection was too old: the
	// runner itself may be asked again at once.
	StaleConn bool
	// LocalExhaustion says that nothing was sent for want of this machine's own resources.
	LocalExhaustion bool
}

// Options are what a sender is made from.
type Options struct {
	Clock   clock.Clock
	Dialing httpcall.Dialer
	// IdleTimeout is how long a connection is kept where the runner does not say.
	IdleTimeout    clock.Span
	MaxIdlePerHost int
}

// Client sends requests to runners over kept connections.
type Client struct {
	options Options
	dial    func(ctx context.Context, network string, address string) (net.Conn, error)
	// sweeping says that idle connections are looked after.
	sweeping      atomic.Bool
	mu            sync.Mutex
	hosts         map[string]*hostPool
	idleEstimates map[ids.Service]*idleEstimate
}

// NewClient makes a sender.
func NewClient(options Options) *Client {
	return &Client{options: options, dial: options.Dialing.Dial, hosts: map[string]*hostPool{}, idleEstimates: map[ids.Service]*idleEstimate{}}
}

// Send sends a request to a runner, once, and waits for the head of the answer.
func (c *Client) Send(ctx scope.Scope, trip Attempt) Result {
	begin := c.options.Clock.Now()
	link, sign, err := c.acquire(ctx, trip)
	if link == nil {
		return sign.result(err, nil)
	}
	// A new connection may have taken a while: the runner hears what is left now.
	spent := c.options.Clock.Now().Since(begin)
	if ctx.Err() != nil || spent >= max(trip.TimeLeft, clock.Millisecond) {
		_ = link.Conn.Close()
		return deadlineExpired.result(nil, nil)
	}
	head, err := trip.encodeHead(trip.TimeLeft - spent)
	if err != nil {
		_ = link.Conn.Close()
		return dialFailed.result(err, nil)
	}
	release := context.AfterFunc(ctx, link.abort)
	link.recordAttempt(trip.Request.AttemptID)
	out, trust := link.writeRequest(head, trip.Request.Body), c.idleEstimate(trip.Service)
	var response *http.Response
	if !out.wroteNothing() {
		response, err = link.readResponse(trip.Request.Method)
	}
	if err != nil || out.wroteNothing() {
		release()
		_ = link.Conn.Close()
		<-out.done
		if out.written == 0 {
			return nothingWritten.result(errors.Join(out.err, err), nil)
		}
		trip.Request.sentTo = append(trip.Request.sentTo, trip.Address)
		if ctx.Err() == nil {
			trust.recordFailure(link.idleFor)
		}
		return noResponse.result(err, nil)
	}
	trip.Request.sentTo = append(trip.Request.sentTo, trip.Address)
	trust.recordSuccess(link.idleFor)
	link.pool.learnKeepAlive(response.Header)
	sign = classifyHead(trip.Request.AttemptID, response)
	c.releaseAfterBody(link, out, release, sign, response)
	response.Request = &http.Request{Method: trip.Request.Method, Header: trip.header()}
	if fate := conclusions[sign].outcome; fate != Answered && fate != Rejected {
		_ = response.Body.Close()
		response = nil
	}
	return sign.result(nil, response)
}

// releaseAfterBody has the connection be kept or closed once the answer's body has ended.
func (c *Client) releaseAfterBody(link *conn, out *requestWrite, release func() bool, sign observation, response *http.Response) {
	framed, closing := response.ContentLength != lengthUntilClose, response.Close
	settle := func(whole bool) {
		reason := reuseBlocker(exchangeEnd{
			observation: sign, bodyComplete: whole, selfDelimited: framed, closeRequested: closing, requestWritten: out.complete(), canceled: !release(), bufferedBytes: link.reader.Buffered(),
		})
		if reason != "" {
			_ = link.Conn.Close()
			return
		}
		c.release(link)
	}
	source := io.Reader(response.Body)
	if response.ContentLength == 0 {
		settle(true)
		response.Body = http.NoBody
		return
	}
	response.ContentLength = max(response.ContentLength, lengthChunked)
	response.Body = &responseBody{source: source, onEnd: settle}
}
