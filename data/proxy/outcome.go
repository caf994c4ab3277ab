package proxy

import (
	"fmt"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/excerpt"
	"onyxwell/data/upstream"
)

// Outcomes of requests besides the names of error kinds. They are values of a
// metric label.
const (
	// outcomeAnswered is a runner's response below 500, completely forwarded.
	outcomeAnswered = "answered"
	// outcomeUpstreamError is a runner's own 5xx, completely forwarded.
	outcomeUpstreamError = "runner-failed"
	// outcomeAborted is a connection closed by the router without a complete response.
	outcomeAborted = "cut"
	// outcomeClientGone is a client that disconnected before the response was complete.
	outcomeClientGone = "left"
)

// unloggedOutcomes are the outcomes that are no failures of this router and are not
// logged.
var unloggedOutcomes = map[string]bool{
	outcomeAnswered: true, outcomeUpstreamError: true, outcomeClientGone: true,
	errkind.NoRoute.String(): true, errkind.OutOfContact.String(): true, errkind.Overloaded.String(): true,
	errkind.UnknownKey.String(): true, errkind.QuotaExceeded.String(): true,
}

// recordOutcome counts the outcome of the exchange in the metrics, and logs a
// failure.
func (e *exchange) recordOutcome() {
	now := e.proxy.clock.Now()
	duration := now.Since(e.arrivedAt)
	outcome := e.outcome
	if outcome == "" {
		outcome = outcomeAborted
		if e.clientGone || e.req.Context().Err() != nil {
			outcome = outcomeClientGone
		}
	}
	route := ""
	if e.route != nil {
		route = e.route.Name
	}
	e.proxy.metrics.ObserveRequest(route, outcome, duration)
	if unloggedOutcomes[outcome] {
		return
	}
	if ok, suppressed := e.proxy.failureLogLimiter.allow(outcome, now); ok {
		e.logFailure(outcome, route, duration, suppressed)
	}
}

// logFailure logs a failed request with its outcome, the reason and the result of
// each attempt. suppressed is the number of lines with the same outcome that were
// suppressed since the last one.
func (e *exchange) logFailure(outcome string, route string, duration time.Duration, suppressed int64) {
	entry := e.proxy.log.Warn().Str("part", "request").Str("outcome", outcome).Str("route", route).
		Str("attempt_id", excerpt.Of(e.req.Header.Get(upstream.AttemptIDHeader), maxLoggedAttemptID)).
		Dur("duration_ms", duration).Int("body_bytes", e.balancerRequest.BodyBytes).
		Int64("in_flight", e.proxy.InFlight()).Int64("suppressed", suppressed)
	if e.reason != "" {
		entry = entry.Str("reason", e.reason)
	}
	if e.snapshot != nil && e.snapshot.Config != nil {
		entry = entry.Int64("config_version", int64(e.snapshot.Config.Version))
	}
	if len(e.attempts) > 0 {
		var attempts []string
		for _, record := range e.attempts {
			attempts = append(attempts, fmt.Sprintf("%s %s %s %s", record.runner, record.outcome, record.cause, record.duration))
		}
		entry = entry.Strs("attempts", attempts)
	}
	entry.Msg("request failed")
}

// maxLoggedAttemptID is the length, in bytes, to which a client's attempt ID is cut in the
// log.
const maxLoggedAttemptID = 128

// failureLinesPerSecond bounds the log lines for failed requests per outcome, so
// that frequent failures of one kind don't suppress the lines of another.
const failureLinesPerSecond = 2

// logRateLimiter limits the log lines per second by outcome. The zero value is
// ready to use. It is safe for concurrent use.
type logRateLimiter struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
	// suppressed counts the suppressed lines of each outcome since its last line.
	suppressed map[string]int64
}

// allow reports whether another line of an outcome may be written now, and if so,
// how many were suppressed since the last one.
func (l *logRateLimiter) allow(outcome string, now clock.Instant) (ok bool, suppressed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(time.Second); second != l.second || l.counts == nil {
		l.second, l.counts = second, map[string]int{}
	}
	if l.suppressed == nil {
		l.suppressed = map[string]int64{}
	}
	if l.counts[outcome] >= failureLinesPerSecond {
		l.suppressed[outcome]++
		return false, 0
	}
	l.counts[outcome]++
	suppressed = l.suppressed[outcome]
	delete(l.suppressed, outcome)
	return true, suppressed
}
