package proxy

import (
	"fmt"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/data/upstream"
)

// recordOutcome counts how the visit ended, and logs one that failed.
func (e *exchange) recordOutcome() {
	options := e.proxy.options
	spent := options.Scope.Now().Since(e.arrivedAt)
	outcome := e.outcome
	if outcome == "" {
		outcome = outcomeAborted
		if e.clientGone || e.request.Context().Err() != nil {
			outcome = outcomeClientGone
		}
	}
	route := ""
	if e.route != nil {
		route = e.route.Name
	}
	options.Metrics.Request(route, outcome, spent)
	if unloggedOutcomes[outcome] {
		return
	}
	if told, suppressed := e.proxy.failureLog.allow(outcome, options.Scope.Now()); told {
		e.logFailure(outcome, route, spent, suppressed)
	}
}

// logFailure writes the line of a request that failed: how it ended and why, and what
// came of each sending.
func (e *exchange) logFailure(outcome string, route string, spent clock.Span, suppressed int64) {
	entry := e.proxy.options.Scope.Log.Warn().Str("part", "request").Str("outcome", outcome).Str("route", route).
		Str("attempt", e.request.Header.Get(upstream.AttemptIDHeader)).
		Dur("spent", spent).Int("body_bytes", e.balancerRequest.BodyBytes).Int64("running", e.proxy.InFlight()).Int64("suppressed", suppressed)
	if e.reason != "" {
		entry = entry.Str("reason", e.reason)
	}
	if e.snapshot != nil && e.snapshot.Config != nil {
		entry = entry.Int64("version", int64(e.snapshot.Config.Version))
	}
	if len(e.attempts) > 0 {
		var sendings []string
		for _, sent := range e.attempts {
			sendings = append(sendings, fmt.Sprintf("%s %s %s %s", sent.runner, sent.outcome, sent.cause, sent.duration))
		}
		entry = entry.Strs("sendings", sendings)
	}
	entry.Msg("a request was not served")
}

// failureLinesPerSecond bounds the log lines of requests that failed with one outcome:
// each outcome has its own, so that none hides another.
const failureLinesPerSecond = 2

// lineLimiter counts the log lines of the present second, by outcome.
type lineLimiter struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
	// suppressed are those that were not written since the last of the outcome.
	suppressed map[string]int64
}

// allow tells whether another line of an outcome may be written now, and how many
// were not since the last.
func (l *lineLimiter) allow(outcome string, now clock.Instant) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(clock.Second); second != l.second || l.counts == nil {
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
	suppressed := l.suppressed[outcome]
	delete(l.suppressed, outcome)
	return true, suppressed
}
