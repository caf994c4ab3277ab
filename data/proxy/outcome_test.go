package proxy

import (
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestFailureLog_namesReasonAndAttempts has requests fail in different ways: each line names
// the client's attempt, the reason, and every sending.
func TestFailureLog_namesReasonAndAttempts(t *testing.T) {
	cases := []struct {
		name, path string
		heads      []string
		want       []string
	}{
		{"two attempts in one", "/safe/x", []string{"Onyxwell-Attempt-Id", ""},
			[]string{`"outcome":"bad-request"`, `"reason":"there must be one Onyxwell-Attempt-Id"`, `"attempt":""`}},
		{"no runner left", "/safe/x", nil,
			[]string{`"outcome":"runner-lost"`, `"attempt":"v1"`, `"reason":"left out: tried 1"`, `"sendings":["i-1 doubtful `}},
		{"no home", "/home/x", nil,
			[]string{`"outcome":"no-runner"`, `"reason":"left out: away 1"`}},
	}
	for _, example := range cases {
		house := newTestProxy(t, 10, upstreamtest.Start(t, upstreamtest.HangUp()))
		house.do(example.path, "", example.heads...)
		house.server.Close()
		for _, want := range example.want {
			if text := house.log.String(); !strings.Contains(text, want) {
				t.Errorf("%s: %s is missing in %s", example.name, want, text)
			}
		}
	}
}

func TestLineLimiter_outcomesAreIndependent(t *testing.T) {
	kept, now := &lineLimiter{}, clock.Instant(clock.Second)
	for range 40 {
		kept.allow("bad-request", now)
	}
	if told, _ := kept.allow("runner-lost", now); !told {
		t.Error("bad requests hide a lost runner")
	}
	if told, _ := kept.allow("bad-request", now); told {
		t.Error("lines of one outcome are not rationed")
	}
	if told, suppressed := kept.allow("bad-request", now.Add(clock.Second)); !told || suppressed != 41-failureLinesPerSecond {
		t.Errorf("told %v, %d suppressed", told, suppressed)
	}
}
