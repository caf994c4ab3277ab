// Package telemetry holds a daemon's Prometheus metrics and serves them as text.
//
// Labels are bounded: routes, error kinds and causes, never a tenant, a key or a
// request's id. Times are in seconds.
package telemetry

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"onyxwell/base/invariant"
)

// namespace prefixes the names of all metrics.
const namespace = "onyxwell"

// Labels of routes.
const (
	// maxRoutes bounds the routes with a label of their own; the others share
	// otherRoutes.
	maxRoutes   = 256
	otherRoutes = "(other)"
	// noRoute is the label of requests that match no route.
	noRoute = "(none)"
)

// Metrics are the metrics of one daemon. They are safe for concurrent use; a nil
// Metrics counts nothing.
type Metrics struct {
	// registry has the product's own counters and gauges, timings its histograms,
	// runtime the figures of the Go runtime and the process. They are served in this
	// order: a collector that keeps only the beginning of the text gets the
	// product's own.
	registry *prometheus.Registry
	timings  *prometheus.Registry
	runtime  *prometheus.Registry

	requests       *prometheus.CounterVec
	sends          *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	lookups        *prometheus.CounterVec
	calls          *prometheus.CounterVec
	callSeconds    *prometheus.HistogramVec

	mu sync.Mutex
	// routes are those with a label of their own, the first that were seen.
	routes map[string]bool
}

// latencyBuckets are the upper bounds of the histograms' buckets, in seconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// New returns the metrics of a daemon, with those of its process and the counts
// of the monitor.
func New(monitor *invariant.Monitor) *Metrics {
	metrics := &Metrics{
		registry:       prometheus.NewRegistry(),
		timings:        prometheus.NewRegistry(),
		runtime:        prometheus.NewRegistry(),
		requests:       newCounterVec("requests_total", "Requests of clients that ended, by route and outcome: answered, or the kind of failure told, or cut, or left.", "route", "outcome"),
		sends:          newCounterVec("sends_total", "Requests sent to runners, by what is known of their fate and by cause.", "fate", "cause"),
		requestSeconds: newHistogramVec("request_seconds", "Time from a request's head to the end of its answer, by outcome.", "outcome"),
		lookups:        newCounterVec("lookups_total", "Answers of the directory, by the circle that the routers are in: zone, region, away, or none.", "circle"),
		calls:          newCounterVec("calls_total", "Calls of operators and of other daemons that were answered, by call and status.", "call", "status"),
		callSeconds:    newHistogramVec("call_seconds", "Time to the answer of such calls.", "call"),
		routes:         map[string]bool{},
	}
	metrics.registry.MustRegister(metrics.requests, metrics.sends, metrics.lookups, metrics.calls)
	metrics.timings.MustRegister(metrics.requestSeconds, metrics.callSeconds)
	metrics.runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
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

// CounterFunc registers a counter that is read when the metrics are scraped. The
// labels are constant, and may be nil. It panics if the counter is registered
// already.
func (m *Metrics) CounterFunc(name string, help string, labels map[string]string, read func() float64) {
	if m == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}

// GaugeFunc registers a gauge, as CounterFunc does a counter.
func (m *Metrics) GaugeFunc(name string, help string, labels map[string]string, read func() float64) {
	if m == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}

// ObserveRequest counts a client's request that ended. The route is empty if none
// matched; the outcome is one of the help text of requests_total.
func (m *Metrics) ObserveRequest(route string, outcome string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(m.routeLabel(route), outcome).Inc()
	m.requestSeconds.WithLabelValues(outcome).Observe(elapsed.Seconds())
}

// routeLabel returns the label of a route.
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

// CountAttempt counts an attempt at a runner, by what is known of its outcome and by the
// cause of the attempt.
func (m *Metrics) CountAttempt(fate string, cause string) {
	if m != nil {
		m.sends.WithLabelValues(fate, cause).Inc()
	}
}

// CountLookup counts a response of the directory by how near the routers in it are.
func (m *Metrics) CountLookup(circle string) {
	if m != nil {
		m.lookups.WithLabelValues(circle).Inc()
	}
}

// ObserveCall counts a call of an operator or a daemon that was answered. The call is
// its method and the path of its handler.
func (m *Metrics) ObserveCall(call string, status string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(call, status).Inc()
	m.callSeconds.WithLabelValues(call).Observe(elapsed.Seconds())
}

// Handler returns the handler that serves the metrics at the path.
func (m *Metrics) Handler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, m.serve)
	return mux
}

// serve writes the registries one after another.
func (m *Metrics) serve(w http.ResponseWriter, _ *http.Request) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, registry := range []*prometheus.Registry{m.registry, m.timings, m.runtime} {
		families, err := registry.Gather()
		if err != nil {
			// What was gathered is complete in itself.
			_, _ = fmt.Fprintf(w, "# %v\n", err)
		}
		for _, family := range families {
			if encoder.Encode(family) != nil {
				return
			}
		}
	}
}
