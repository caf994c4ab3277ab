// Package proxy is the visitor's side of a router: it reads requests, asks
// the decision what to do, obeys, and answers.
package proxy

import (
	"net/http"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
	"onyxwell/control/config"
	"onyxwell/data/balancer"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Options are what a front is made from.
type Options struct {
	Scope     scope.Scope
	Snapshots *snapshot.Store
	Balancer  *balancer.Balancer
	Stats     *runnerstats.Collector
	SlowStart *slowstart.Tracker
	Upstream  *upstream.Client
	// Metrics and Monitor may be left out.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
}

// Proxy answers visitors.
type Proxy struct {
	options  Options
	draining atomic.Bool
	// acceptUntil is when a leaving front takes its last request.
	acceptUntil atomic.Int64
	attemptSeq  atomic.Uint64
	inFlight    atomic.Int64
	failureLog  lineLimiter
	// bodyQuota bounds what bodies take together.
	bodyQuota *memquota.Quota
	// conns are the clients' connections.
	conns connSet
}

// New makes a front.
func New(options Options) *Proxy {
	front := &Proxy{options: options}
	if memory := options.Scope.Settings.Limits.MemoryMB << 20; memory > 0 {
		front.bodyQuota = memquota.New(memory/bodyMemoryDivisor, options.Monitor)
		options.Metrics.GaugeFunc("body_bytes", "Bytes reserved for the bodies of requests and answers.", nil, func() float64 { return float64(front.bodyQuota.Reserved()) })
	}
	return front
}

// bodyMemoryDivisor is the part of the memory, one in so many, that bodies may take
// together: what is freed waits for the collector, and connections take more.
const bodyMemoryDivisor = 4

// limits are those of the configuration in force.
func (p *Proxy) limits() config.Limits {
	if seen := p.options.Snapshots.Current(); seen.Config != nil {
		return seen.Config.Limits
	}
	return config.Limits{}
}

// Drain has every answer from now on ask its visitor to go elsewhere next, and
// requests that come later than the last be turned away.
func (p *Proxy) Drain(last clock.Instant) {
	p.acceptUntil.Store(int64(last))
	p.draining.Store(true)
}

// InFlight tells how many requests are being answered.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServeHTTP answers one request.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if link, known := request.Context().Value(connKey{}).(*clientConn); known && !link.deadlines.enter(phaseServing) {
		// It was closed as the request arrived: nobody would get the answer.
		response.Abort()
	}
	visit := &exchange{proxy: p, writer: writer, request: request, arrivedAt: p.options.Scope.Now(), requestBody: p.bodyQuota.NewBody()}
	defer visit.recordOutcome()
	defer visit.requestBody.Release()
	if err := visit.readRequest(); err != nil {
		visit.reject(errkind.KindOf(err), errkind.DetailOf(err))
		return
	}
	visit.run()
	if !visit.headerSent && !visit.rejected {
		// Whoever has no answer must not get net/http's empty success.
		response.Abort()
	}
}

// exchange is one request of a visitor.
type exchange struct {
	proxy           *Proxy
	writer          http.ResponseWriter
	request         *http.Request
	arrivedAt       clock.Instant
	deadline        clock.Instant
	snapshot        *snapshot.Snapshot
	route           *config.Route
	upstreamRequest *upstream.Request
	balancerRequest balancer.Request
	// headerSent says that the head of an answer is with the visitor, refused that one
	// of our own is, last is the id
	// of the last event passed on, gone that the visitor takes no more.
	headerSent     bool
	rejected       bool
	hasLastEventID bool
	clientGone     bool
	lastEventID    int64
	// attempts are what was sent so far, outcome how the visit ended.
	attempts []attemptRecord
	outcome  string
	// reason is why it was refused, beyond the outcome.
	reason string
	// requestBody is the request's body.
	requestBody *memquota.Body
	// upstreamStatus is that of the runner's answer that was passed on.
	upstreamStatus int
	// clientTimeout is the time that the client gave; 0 is not told.
	clientTimeout clock.Span
}

// reject answers with a failure, and where it promises that nothing ran,
// tells when to come back.
func (e *exchange) reject(kind errkind.Kind, detail string) {
	if e.headerSent {
		e.abort()
	}
	if kind.Response().NotRun && e.mayHaveRun() {
		e.proxy.options.Monitor.Violated(invariant.PromiseNotRun, "attempt %s is answered %s after %v", e.upstreamRequest.AttemptID, kind, e.attempts)
	}
	e.outcome, e.reason = kind.String(), detail
	made := response.FromKind(kind, detail)
	if kind.Response().Status == http.StatusServiceUnavailable && e.route != nil {
		made = made.WithRetryAfter(max(retryAfter(kind, e.route.LatencyTarget()), 20*clock.Millisecond))
	}
	if e.closesConn() {
		made = made.WithClose()
	}
	e.rejected = true
	made.Send(e.writer)
}

// closesConn tells whether the connection ends with the answer: the router leaves, or
// others wait for the connection's place.
func (e *exchange) closesConn() bool {
	link, known := e.request.Context().Value(connKey{}).(*clientConn)
	return e.proxy.draining.Load() || (known && link.slots.nearlyFull())
}

// retryAfter is when a visitor may find things better: soon where a runner is
// missing, later where there are too many requests.
func retryAfter(kind errkind.Kind, goal clock.Span) clock.Span {
	if kind == errkind.Overloaded {
		return goal / 2
	}
	return goal / 8
}
