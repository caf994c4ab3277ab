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

// Request is a visitor's request as it goes to runners, one after another.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Attempt string
	// sent are the addresses that it was written to.
	sent []ids.Address
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
	Fate Fate
	// Cause names what was seen, in a word.
	Cause    string
	Response *http.Response
	Fault    error
	// Stale says that nothing was sent since the kept connection was too old: the
	// runner itself may be asked again at once.
	Stale bool
	// Local says that nothing was sent for want of this machine's own resources.
	Local bool
}

// Options are what a sender is made from.
type Options struct {
	Clock   clock.Clock
	Dialing httpcall.Dialer
	// Idle is how long a connection is kept where the runner does not say.
	Idle    clock.Span
	PerHost int
}

// Sender sends requests to runners over kept connections.
type Sender struct {
	options Options
	dial    func(ctx context.Context, network string, address string) (net.Conn, error)
	// sweeping says that idle connections are looked after.
	sweeping atomic.Bool
	mu       sync.Mutex
	hosts    map[string]*host
	trusts   map[ids.Service]*trust
}

// NewSender makes a sender.
func NewSender(options Options) *Sender {
	return &Sender{options: options, dial: options.Dialing.Dial, hosts: map[string]*host{}, trusts: map[ids.Service]*trust{}}
}

// Send sends a request to a runner, once, and waits for the head of the answer.
func (s *Sender) Send(ctx scope.Scope, trip Trip) Result {
	begin := s.options.Clock.Now()
	link, sign, err := s.take(ctx, trip)
	if link == nil {
		return sign.result(err, nil)
	}
	// A new connection may have taken a while: the runner hears what is left now.
	spent := s.options.Clock.Now().Since(begin)
	if ctx.Err() != nil || spent >= max(trip.Left, clock.Millisecond) {
		_ = link.Conn.Close()
		return expired.result(nil, nil)
	}
	head, err := trip.head(trip.Left - spent)
	if err != nil {
		_ = link.Conn.Close()
		return undialed.result(err, nil)
	}
	release := context.AfterFunc(ctx, link.cut)
	link.bear(trip.Request.Attempt)
	out, trust := link.send(head, trip.Request.Body), s.trustOf(trip.Service)
	var response *http.Response
	if !out.refused() {
		response, err = link.readAnswer(trip.Request.Method)
	}
	if err != nil || out.refused() {
		release()
		_ = link.Conn.Close()
		<-out.done
		if out.size == 0 {
			return unwritten.result(errors.Join(out.err, err), nil)
		}
		trip.Request.sent = append(trip.Request.sent, trip.Address)
		if ctx.Err() == nil {
			trust.lapse(link.idle)
		}
		return silent.result(err, nil)
	}
	trip.Request.sent = append(trip.Request.sent, trip.Address)
	trust.work(link.idle)
	link.host.learn(response.Header)
	sign = judge(trip.Request.Attempt, response)
	s.follow(link, out, release, sign, response)
	response.Request = &http.Request{Method: trip.Request.Method, Header: trip.heads()}
	if fate := verdicts[sign].fate; fate != Answered && fate != Refused {
		_ = response.Body.Close()
		response = nil
	}
	return sign.result(nil, response)
}

// follow has the connection be kept or closed once the answer's body has ended.
func (s *Sender) follow(link *connection, out *writing, release func() bool, sign sign, response *http.Response) {
	framed, closing := response.ContentLength != ends, response.Close
	settle := func(whole bool) {
		reason := barred(ending{
			sign: sign, whole: whole, framed: framed, closing: closing, written: out.whole(), cut: !release(), rest: link.reader.Buffered(),
		})
		if reason != "" {
			_ = link.Conn.Close()
			return
		}
		s.put(link)
	}
	source := io.Reader(response.Body)
	if response.ContentLength == 0 {
		settle(true)
		response.Body = http.NoBody
		return
	}
	response.ContentLength = max(response.ContentLength, chunks)
	response.Body = &body{source: source, settle: settle}
}
