package proxy

import (
	"fmt"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/data/upstream"
)

// record counts how the visit ended, and logs one that failed.
func (v *visit) record() {
	options := v.front.options
	spent := options.Scope.Now().Since(v.since)
	outcome := v.outcome
	if outcome == "" {
		outcome = outcomeCut
		if v.gone || v.request.Context().Err() != nil {
			outcome = outcomeLeft
		}
	}
	route := ""
	if v.route != nil {
		route = v.route.Name
	}
	options.Metrics.Request(route, outcome, spent)
	if ordinary[outcome] {
		return
	}
	if told, suppressed := v.front.lines.take(outcome, options.Scope.Now()); told {
		v.log(outcome, route, spent, suppressed)
	}
}

// log writes the line of a request that failed: how it ended and why, and what
// came of each sending.
func (v *visit) log(outcome string, route string, spent clock.Span, suppressed int64) {
	entry := v.front.options.Scope.Log.Warn().Str("part", "request").Str("outcome", outcome).Str("route", route).
		Str("attempt", v.request.Header.Get(upstream.AttemptIDHeader)).
		Dur("spent", spent).Int("body_bytes", v.asking.BodyBytes).Int64("running", v.front.Running()).Int64("suppressed", suppressed)
	if v.reason != "" {
		entry = entry.Str("reason", v.reason)
	}
	if v.seen != nil && v.seen.Spec != nil {
		entry = entry.Int64("version", int64(v.seen.Spec.Version))
	}
	if len(v.sends) > 0 {
		var sendings []string
		for _, sent := range v.sends {
			sendings = append(sendings, fmt.Sprintf("%s %s %s %s", sent.runner, sent.fate, sent.cause, sent.spent))
		}
		entry = entry.Strs("sendings", sendings)
	}
	entry.Msg("a request was not served")
}

// linesPerSecond bounds the log lines of requests that failed with one outcome:
// each outcome has its own, so that none hides another.
const linesPerSecond = 2

// lines counts the log lines of the present second, by outcome.
type lines struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
	// suppressed are those that were not written since the last of the outcome.
	suppressed map[string]int64
}

// take tells whether another line of an outcome may be written now, and how many
// were not since the last.
func (l *lines) take(outcome string, now clock.Instant) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(clock.Second); second != l.second || l.counts == nil {
		l.second, l.counts = second, map[string]int{}
	}
	if l.suppressed == nil {
		l.suppressed = map[string]int64{}
	}
	if l.counts[outcome] >= linesPerSecond {
		l.suppressed[outcome]++
		return false, 0
	}
	l.counts[outcome]++
	suppressed := l.suppressed[outcome]
	delete(l.suppressed, outcome)
	return true, suppressed
}
