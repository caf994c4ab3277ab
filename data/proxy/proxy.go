// Package proxy is the client-facing side of a router: it reads requests,
// attempts them at the runners that the balancer names, and relays a runner's
// response or answers with a failure.
//
// It keeps these promises to clients, and counts each that is broken:
//   - a request that may run only once is sent to no second runner unless the
//     first surely did not run it;
//   - a failure that promises that nothing ran is sent only where that is sure;
//   - a response that is not complete never looks complete: its connection is
//     aborted instead;
//   - of an event stream, events are passed on in order and without gaps, also
//     where another runner resumes it.
//
// The life of a request is in exchange.go. A connection's side of it is in
// listener.go (framing of request heads) and deadlines.go (time-outs).
package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/settings"
	"onyxwell/base/telemetry"
	"onyxwell/control/config"
	"onyxwell/data/balancer"
	"onyxwell/data/canary"
	"onyxwell/data/ratelimit"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Options are what a Proxy is made from. Metrics and Monitor may be nil.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Limits are those of this machine.
	Limits    settings.Limits
	Snapshots *snapshot.Store
	Balancer  *balancer.Balancer
	Stats     *runnerstats.Collector
	SlowStart *slowstart.Tracker
	Upstream  *upstream.Client
	Limiter   *ratelimit.Limiter
	// Canary is told of each attempt's outcome; it may be nil.
	Canary *canary.Gate
	// QuotaRetryAfter is when a client whose tenant's quota is used up may come back.
	QuotaRetryAfter time.Duration
	// RevokedKeyTimeout is after how long a router that is cut off serves no keys; 0 is never.
	RevokedKeyTimeout time.Duration
	// OnRequestBegan is told of each request that a runner began, and how long ago; it may be nil.
	OnRequestBegan func(tenant ids.Tenant, age time.Duration)
	Metrics        *telemetry.Metrics
	Monitor        *invariant.Monitor
}

// Proxy is the handler of clients' requests. Its methods may be called at the
// same time.
type Proxy struct {
	clock clock.Clock
	log   *log.Logger
	// machineLimits are the limits of this machineLimits; those for requests are in the
	// configuration in force, see limits.
	machineLimits settings.Limits
	snapshots     *snapshot.Store
	balancer      *balancer.Balancer
	stats         *runnerstats.Collector
	slowStart     *slowstart.Tracker
	upstream      *upstream.Client
	limiter       *ratelimit.Limiter
	canary        *canary.Gate
	// quotaRetryAfter is Options.QuotaRetryAfter.
	quotaRetryAfter time.Duration
	// revokedKeyTimeout is Options.RevokedKeyTimeout.
	revokedKeyTimeout time.Duration
	// onRequestBegan is Options.Began.
	onRequestBegan func(tenant ids.Tenant, age time.Duration)

	metrics *telemetry.Metrics
	monitor *invariant.Monitor

	draining atomic.Bool
	// acceptUntil is the clock.Instant until which a draining proxy takes requests.
	acceptUntil atomic.Int64
	// attemptSeq numbers the attempts for the statistics of runners.
	attemptSeq        atomic.Uint64
	inFlight          atomic.Int64
	failureLogLimiter logRateLimiter
	// bodyQuota bounds the memory of all bodies together; nil is unbounded.
	bodyQuota *memquota.Quota
	conns     connSet
}

// bodyMemoryDivisor says which part of the machine's memory bodies may take
// together, as 1/bodyMemoryDivisor: what is freed waits for the garbage
// collector, and connections need memory too.
const bodyMemoryDivisor = 4

// New returns a Proxy that serves the snapshots of options.Snapshots.
func New(options Options) *Proxy {
	p := &Proxy{
		clock: options.Clock, log: options.Log, machineLimits: options.Limits,
		snapshots: options.Snapshots, balancer: options.Balancer, stats: options.Stats, slowStart: options.SlowStart,
		upstream: options.Upstream, limiter: options.Limiter, canary: options.Canary, quotaRetryAfter: options.QuotaRetryAfter, revokedKeyTimeout: options.RevokedKeyTimeout, onRequestBegan: options.OnRequestBegan, metrics: options.Metrics, monitor: options.Monitor,
	}
	if memory := p.machineLimits.MemoryMB << 20; memory > 0 {
		p.bodyQuota = memquota.New(memory/bodyMemoryDivisor, p.monitor)
		p.metrics.GaugeFunc("body_bytes", "Bytes reserved for the bodies of requests and answers.", nil, func() float64 { return float64(p.bodyQuota.Reserved()) })
	}
	return p
}

// limits returns the limits for requests of the configuration in force.
func (p *Proxy) limits() config.Limits {
	if current := p.snapshots.Current(); current.Config != nil {
		return current.Config.Limits
	}
	return config.Limits{}
}

// Drain makes every response from now on ask its client to close the
// connection, and rejects requests that arrive after acceptUntil.
func (p *Proxy) Drain(acceptUntil clock.Instant) {
	p.acceptUntil.Store(int64(acceptUntil))
	p.draining.Store(true)
}

// InFlight returns how many requests are being served.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServeHTTP serves one request. It panics with http.ErrAbortHandler where the
// connection is to end without a complete response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	conn := clientConnOf(req)
	if conn != nil && !conn.deadlines.enter(phaseServing) {
		// It was closed as the request arrived: nobody would get the response.
		response.Abort()
	}
	e := &exchange{proxy: p, w: w, req: req, conn: conn, arrivedAt: p.clock.Now(), requestBody: p.bodyQuota.NewBody()}
	e.serve()
}
