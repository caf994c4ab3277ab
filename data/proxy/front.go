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
	Scope  scope.Scope
	Frame  *snapshot.Frame
	Gate   *balancer.Balancer
	Board  *runnerstats.Collector
	Warmth *slowstart.Tracker
	Sender *upstream.Client
	// Metrics and Monitor may be left out.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
}

// Front answers visitors.
type Front struct {
	options Options
	leaving atomic.Bool
	// last is when a leaving front takes its last request.
	last    atomic.Int64
	number  atomic.Uint64
	running atomic.Int64
	lines   lines
	// bodies bounds what bodies take together.
	bodies *memquota.Quota
	// links are the clients' connections.
	links links
}

// NewFront makes a front.
func NewFront(options Options) *Front {
	front := &Front{options: options}
	if memory := options.Scope.Settings.Limits.MemoryMB << 20; memory > 0 {
		front.bodies = memquota.New(memory/bodiesPart, options.Monitor)
		options.Metrics.GaugeFunc("body_bytes", "Bytes reserved for the bodies of requests and answers.", nil, func() float64 { return float64(front.bodies.Reserved()) })
	}
	return front
}

// bodiesPart is the part of the memory, one in so many, that bodies may take
// together: what is freed waits for the collector, and connections take more.
const bodiesPart = 4

// limits are those of the configuration in force.
func (f *Front) limits() config.Limits {
	if seen := f.options.Frame.Now(); seen.Spec != nil {
		return seen.Spec.Limits
	}
	return config.Limits{}
}

// Leave has every answer from now on ask its visitor to go elsewhere next, and
// requests that come later than the last be turned away.
func (f *Front) Leave(last clock.Instant) {
	f.last.Store(int64(last))
	f.leaving.Store(true)
}

// Running tells how many requests are being answered.
func (f *Front) Running() int64 { return f.running.Load() }

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if link, known := request.Context().Value(watchedKey{}).(*watched); known && !link.timing.enter(handling) {
		// It was closed as the request arrived: nobody would get the answer.
		response.Abort()
	}
	visit := &visit{front: f, writer: writer, request: request, since: f.options.Scope.Now(), held: f.bodies.NewBody()}
	defer visit.record()
	defer visit.held.Release()
	if err := visit.read(); err != nil {
		visit.refuse(errkind.KindOf(err), errkind.DetailOf(err))
		return
	}
	visit.carry()
	if !visit.begun && !visit.refused {
		// Whoever has no answer must not get net/http's empty success.
		response.Abort()
	}
}

// visit is one request of a visitor.
type visit struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	since   clock.Instant
	limit   clock.Instant
	seen    *snapshot.Snapshot
	route   *config.Route
	sent    *upstream.Request
	asking  balancer.Request
	// begun says that the head of an answer is with the visitor, refused that one
	// of our own is, last is the id
	// of the last event passed on, gone that the visitor takes no more.
	begun   bool
	refused bool
	known   bool
	gone    bool
	last    int64
	// sends are what was sent so far, outcome how the visit ended.
	sends   []sending
	outcome string
	// reason is why it was refused, beyond the outcome.
	reason string
	// held is the request's body.
	held *memquota.Body
	// status is that of the runner's answer that was passed on.
	status int
	// clientLeft is the time that the client gave; 0 is not told.
	clientLeft clock.Span
}

// refuse answers with a failure, and where it promises that nothing ran,
// tells when to come back.
func (v *visit) refuse(kind errkind.Kind, detail string) {
	if v.begun {
		v.abort()
	}
	if kind.Response().NotRun && v.mayHaveRun() {
		v.front.options.Monitor.Violated(invariant.PromiseNotRun, "attempt %s is answered %s after %v", v.sent.AttemptID, kind, v.sends)
	}
	v.outcome, v.reason = kind.String(), detail
	made := response.FromKind(kind, detail)
	if kind.Response().Status == http.StatusServiceUnavailable && v.route != nil {
		made = made.WithRetryAfter(max(comeBack(kind, v.route.LatencyTarget()), 20*clock.Millisecond))
	}
	if v.closes() {
		made = made.WithClose()
	}
	v.refused = true
	made.Send(v.writer)
}

// closes tells whether the connection ends with the answer: the router leaves, or
// others wait for the connection's place.
func (v *visit) closes() bool {
	link, known := v.request.Context().Value(watchedKey{}).(*watched)
	return v.front.leaving.Load() || (known && link.places.crowded())
}

// comeBack is when a visitor may find things better: soon where a runner is
// missing, later where there are too many requests.
func comeBack(kind errkind.Kind, goal clock.Span) clock.Span {
	if kind == errkind.Overloaded {
		return goal / 2
	}
	return goal / 8
}
