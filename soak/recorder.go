package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"onyxwell/base/clock"
)

// recorder keeps the findings and writes what happens to a file, each line with
// the seconds since the start. It is safe for concurrent use.
type recorder struct {
	clock     clock.Clock
	startedAt clock.Instant

	mu       sync.Mutex
	findings []Finding
	events   *os.File
}

// newRecorder creates the file events.log in dir.
func newRecorder(clk clock.Clock, dir string) (*recorder, error) {
	events, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		return nil, err
	}
	return &recorder{clock: clk, startedAt: clk.Now(), events: events}, nil
}

func (r *recorder) addFinding(rule string, format string, args ...any) {
	finding := Finding{Rule: rule, Detail: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.findings = append(r.findings, finding)
	r.mu.Unlock()
	r.logEvent("FINDING %s: %s", finding.Rule, finding.Detail)
}

func (r *recorder) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", r.clock.Now().Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.events, line)
}

// allFindings returns the findings so far.
func (r *recorder) allFindings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.findings)
}

// close closes the file; later events are lost.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.events.Close()
}
