package proxy

import (
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestFailureLog_namesReasonAndAttempts lets requests fail in different ways: each
// log line must have the client's attempt id, the reason and all attempts.
func TestFailureLog_namesReasonAndAttempts(t *testing.T) {
	cases := []struct {
		name, path string
		headers    []string
		want       []string
	}{
		{"empty attempt id", "/safe/x", []string{"Onyxwell-Attempt-Id", ""},
			[]string{`"outcome":"bad-request"`, `"reason":"there must be one Onyxwell-Attempt-Id"`, `"attempt_id":""`}},
		{"only runner already tried", "/safe/x", nil,
			[]string{`"outcome":"runner-lost"`, `"attempt_id":"v1"`, `"reason":"left out: tried 1"`, `"attempts":["i-1 doubtful `}},
		{"no runner in a home region", "/home/x", nil,
			[]string{`"outcome":"no-runner"`, `"reason":"left out: away 1"`}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestProxy(t, 10, upstreamtest.Start(t, upstreamtest.HangUp()))
			p.do(tc.path, "", tc.headers...)
			p.server.Close()
			for _, want := range tc.want {
				if text := p.log.String(); !strings.Contains(text, want) {
					t.Errorf("log lacks %s: %s", want, text)
				}
			}
		})
	}
}

func TestLogRateLimiter_outcomesAreIndependent(t *testing.T) {
	limiter, now := &logRateLimiter{}, clock.Instant(time.Second)
	for range 40 {
		limiter.allow("bad-request", now)
	}
	if ok, _ := limiter.allow("runner-lost", now); !ok {
		t.Error("lines of bad-request suppress a line of runner-lost")
	}
	if ok, _ := limiter.allow("bad-request", now); ok {
		t.Error("a line of bad-request beyond the limit is allowed")
	}
	if ok, suppressed := limiter.allow("bad-request", now.Add(time.Second)); !ok || suppressed != 41-failureLinesPerSecond {
		t.Errorf("in the next second: allowed %v, %d suppressed", ok, suppressed)
	}
}
