// Package proxy implements the client-facing side of a router: it reads
// requests, sends them to the runners that the balancer selects, and relays a
// runner's response or responds with an error of its own.
//
// It guarantees the following to clients and counts every violation that it
// detects:
//   - A request that must not be executed twice is sent to a second runner only
//     if the first certainly did not execute it.
//   - An error response that promises that the request was not executed is sent
//     only if that is certain.
//   - An incomplete response is never taken for a complete one: its connection
//     is aborted.
//   - The events of a stream are forwarded in order and without gaps, also when
//     another runner resumes the stream.
//
// Requests are processed in exchange.go. Connections are handled in listener.go
// (framing of request heads) and deadlines.go (timeouts).
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

// Options configure a Proxy. Metrics and Monitor may be nil.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Limits are the resource limits of this machine.
	Limits    settings.Limits
	Snapshots *snapshot.Store
	Balancer  *balancer.Balancer
	Stats     *runnerstats.Collector
	SlowStart *slowstart.Tracker
	Upstream  *upstream.Client
	Limiter   *ratelimit.Limiter
	// Canary receives the outcomes of attempts by runner version; it may be nil.
	Canary *canary.Gate
	// QuotaRetryAfter is the Retry-After sent when a tenant's quota is exhausted; at
	// least minRetryAfter is sent.
	QuotaRetryAfter time.Duration
	// RevokedKeyTimeout is how long a router that is cut off still accepts API
	// keys, which may have been revoked meanwhile; 0 is no limit.
	RevokedKeyTimeout time.Duration
	// OnRequestBegan is called once for each request of a tenant that a runner
	// has begun to execute, which its first response head with status 200 shows,
	// with the time since then. It may be nil.
	OnRequestBegan func(tenant ids.Tenant, age time.Duration)
	Metrics        *telemetry.Metrics
	Monitor        *invariant.Monitor
}

// Proxy is the HTTP handler for clients' requests. It is safe for concurrent use.
type Proxy struct {
	clock clock.Clock
	log   *log.Logger
	// machineLimits are the resource limits of this machine. The limits for
	// requests are part of the current configuration; see limits.
	machineLimits     settings.Limits
	snapshots         *snapshot.Store
	balancer          *balancer.Balancer
	stats             *runnerstats.Collector
	slowStart         *slowstart.Tracker
	upstream          *upstream.Client
	limiter           *ratelimit.Limiter
	canary            *canary.Gate
	quotaRetryAfter   time.Duration
	revokedKeyTimeout time.Duration
	onRequestBegan    func(tenant ids.Tenant, age time.Duration)

	metrics *telemetry.Metrics
	monitor *invariant.Monitor

	draining atomic.Bool
	// acceptUntil is the clock.Instant until which a draining proxy accepts requests.
	acceptUntil atomic.Int64
	// attemptSeq is the number of the last attempt, by which the runner statistics
	// identify attempts.
	attemptSeq        atomic.Uint64
	inFlight          atomic.Int64
	failureLogLimiter logRateLimiter
	// bodyQuota bounds the total memory of all bodies and large request heads; nil
	// is unlimited.
	bodyQuota *memquota.Quota
	conns     connSet
}

// bodyMemoryDivisor sets the share of the machine's memory for all bodies
// together to 1/bodyMemoryDivisor. The rest is for freed buffers that are not
// yet collected as garbage, and for connections.
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

// limits returns the limits for requests in the current configuration.
func (p *Proxy) limits() config.Limits {
	if current := p.snapshots.Current(); current.Config != nil {
		return current.Config.Limits
	}
	return config.Limits{}
}

// Drain makes every further response close its connection, and rejects requests
// that arrive after acceptUntil.
func (p *Proxy) Drain(acceptUntil clock.Instant) {
	p.acceptUntil.Store(int64(acceptUntil))
	p.draining.Store(true)
}

// InFlight returns the number of requests being served.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to close
// the connection without a complete response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	conn := clientConnOf(req)
	if conn != nil && !conn.deadlines.enter(phaseServing) {
		// CloseIdle closed the connection as the request arrived, so that no response
		// could be delivered.
		response.Abort()
	}
	e := &exchange{proxy: p, w: w, req: req, conn: conn, arrivedAt: p.clock.Now(), requestBody: p.bodyQuota.NewBody()}
	e.serve()
}
