package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestMonitor_countsAllLogsFirst(t *testing.T) {
	var lines bytes.Buffer
	monitor := &Monitor{Tolerant: true, Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}}
	for range maxLogged + 3 {
		monitor.Violated(RunOnce, "attempt %s", "a1")
	}
	if got := monitor.Count(RunOnce); got != maxLogged+3 {
		t.Errorf("counted %d violations, want %d", got, maxLogged+3)
	}
	if got := monitor.Count(Home); got != 0 {
		t.Errorf("counted %d violations of a property that holds", got)
	}
	if logged := strings.Count(lines.String(), `"invariant":"run-once"`); logged != maxLogged || !strings.Contains(lines.String(), "attempt a1") {
		t.Errorf("logged %d lines, want %d with the facts: %s", logged, maxLogged, lines.String())
	}
}

func TestMonitor_violationPanicsInTests(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	(&Monitor{}).Violated(Home, "planted")
}
