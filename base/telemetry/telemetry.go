// Package telemetry keeps a daemon's figures and serves them in Prometheus'
// text format. Labels are bounded: names of routes, of kinds and of causes,
// never a tenant, a key or the id of a request. Times are in seconds.
package telemetry

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"onyxwell/base/clock"
	"onyxwell/base/invariant"
)

// namespace begins the names of all figures.
const namespace = "onyxwell"

// maxRoutes is how many routes have figures of their own; further ones are
// counted together as otherRoutes.
const (
	maxRoutes   = 256
	otherRoutes = "(other)"
	// noRoute stands for requests that no route has.
	noRoute = "(none)"
)

// Metrics are the figures of one daemon. A nil one counts nothing.
type Metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	sends          *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	lookups        *prometheus.CounterVec
	calls          *prometheus.CounterVec
	callSeconds    *prometheus.HistogramVec

	mu     sync.Mutex
	routes map[string]bool
}

// latencyBuckets are the upper ends of the histograms' classes: from a millisecond to
// half a minute.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// New makes the figures of a daemon, with those of its process and of the
// invariants that the monitor counts.
func New(monitor *invariant.Monitor) *Metrics {
	metrics := &Metrics{registry: prometheus.NewRegistry(), routes: map[string]bool{}}
	metrics.requests = newCounterVec("requests_total", "Requests of clients that ended, by route and outcome: answered, or the kind of failure told, or cut, or left.", "route", "outcome")
	metrics.sends = newCounterVec("sends_total", "Requests sent to runners, by what is known of their fate and by cause.", "fate", "cause")
	metrics.requestSeconds = newHistogramVec("request_seconds", "Time from a request's head to the end of its answer, by outcome.", "outcome")
	metrics.lookups = newCounterVec("lookups_total", "Answers of the directory, by the circle that the routers are in: zone, region, away, or none.", "circle")
	metrics.calls = newCounterVec("calls_total", "Calls of operators and of other daemons that were answered, by call and status.", "call", "status")
	metrics.callSeconds = newHistogramVec("call_seconds", "Time to the answer of such calls.", "call")
	metrics.registry.MustRegister(metrics.requests, metrics.sends, metrics.requestSeconds, metrics.lookups, metrics.calls, metrics.callSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, name := range invariant.Names {
		metrics.CounterFunc("invariant_violations_total", "Violations of a promise that the code checks while it runs.",
			map[string]string{"invariant": string(name)}, func() float64 { return float64(monitor.Count(name)) })
	}
	return metrics
}

func newCounterVec(name string, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogramVec(name string, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

// CounterFunc adds a figure that only rises and is read when it is asked for.
func (m *Metrics) CounterFunc(name string, help string, labels map[string]string, read func() float64) {
	if m == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}

// GaugeFunc adds a figure that is read when it is asked for.
func (m *Metrics) GaugeFunc(name string, help string, labels map[string]string, read func() float64) {
	if m == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}

// Request counts a client's request that ended, with the time that it took.
func (m *Metrics) Request(route string, outcome string, spent clock.Span) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(m.routeLabel(route), outcome).Inc()
	m.requestSeconds.WithLabelValues(outcome).Observe(spent.Seconds())
}

// routeLabel gives the label of a route: the first ones have their own.
func (m *Metrics) routeLabel(route string) string {
	if route == "" {
		return noRoute
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] && len(m.routes) >= maxRoutes {
		return otherRoutes
	}
	m.routes[route] = true
	return route
}

// Send counts a request sent to a runner, by its fate and the cause of a
// further try.
func (m *Metrics) Send(fate string, cause string) {
	if m != nil {
		m.sends.WithLabelValues(fate, cause).Inc()
	}
}

// Lookup counts an answer of the directory by its circle.
func (m *Metrics) Lookup(circle string) {
	if m != nil {
		m.lookups.WithLabelValues(circle).Inc()
	}
}

// Call counts an answered call, with the time that it took.
func (m *Metrics) Call(call string, status string, spent clock.Span) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(call, status).Inc()
	m.callSeconds.WithLabelValues(call).Observe(spent.Seconds())
}

// Handler serves the figures as text.
func (m *Metrics) Handler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
