package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestMonitor_countsAllLogsFirst(t *testing.T) {
	var text bytes.Buffer
	monitor := &Monitor{Tolerant: true, Log: &log.Logger{Writer: &log.IOWriter{Writer: &text}}}
	for range maxLogged + 3 {
		monitor.Violated(RunOnce, "attempt %s", "a1")
	}
	if got := monitor.Count(RunOnce); got != maxLogged+3 || monitor.Count(Home) != 0 {
		t.Errorf("%d violations counted, and %d of a promise that was kept", got, monitor.Count(Home))
	}
	if lines := strings.Count(text.String(), `"invariant":"run-once"`); lines != maxLogged || !strings.Contains(text.String(), "attempt a1") {
		t.Errorf("%d lines: %s", lines, text.String())
	}
}

func TestMonitor_violationPanicsInTests(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a test goes on after a violation")
		}
	}()
	(&Monitor{}).Violated(Home, "planted")
}
