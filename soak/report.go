package soak

import (
	"fmt"
	"io"
	"os"
	"time"
)

// Finding is a guarantee that was broken, or that could not be checked.
type Finding struct {
	// Rule is that of package oracle, or one of CONFIG, STALE, COUNTER, ACKS, EVAC, RECOVER,
	// LOST, EXIT, LEAVE, MEMORY, INVARIANT, SIGHT; SOAK is a failure of the run
	// itself. docs/promises.md lists the guarantees behind them.
	Rule   string
	Detail string
}

// Report is the result of a run.
type Report struct {
	Options  Options
	Findings []Finding
	// Requests counts what clients sent, Served the complete responses of status 200.
	Requests, Served int64
	// Acknowledged, Rejected and Unknown count the changes of the configuration by
	// their outcome; Unknown is no clear answer. LongestAck is the longest time that
	// an acknowledgement took.
	Acknowledged, Rejected, Unknown int
	LongestAck                      time.Duration
	// Reads counts the reads of the configuration.
	Reads int
	// ProcessStarts counts the daemons that were started, the first time included.
	ProcessStarts int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Recovery is the time from the end of all faults until every router was ready,
	// Propagation that from the acknowledgement of the last change until every router
	// served it.
	Recovery, Propagation time.Duration
	// Rollout is what the run's rollout came to.
	Rollout string
	// PeakMemoryMB is the most resident memory that a daemon had.
	PeakMemoryMB float64
}

// Print writes the report; where there are findings, with the command line that
// runs the seed again.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d served; changes: %d acknowledged, %d rejected, %d unknown, longest acknowledgement %.2f s; %d reads; %d processes started; faults %v; ready %.2f s after the last fault, a change in force everywhere after %.2f s; rollout %s; peak memory %.0f MB\n",
		r.Options.Seed, r.Requests, r.Served, r.Acknowledged, r.Rejected, r.Unknown, r.LongestAck.Seconds(), r.Reads,
		r.ProcessStarts, r.Faults, r.Recovery.Seconds(), r.Propagation.Seconds(), r.Rollout, r.PeakMemoryMB)
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "  %s: %s\n", finding.Rule, finding.Detail)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintf(out, "  again: %s\n  logs: %s\n", r.Options.ReproduceCommand(), r.Options.Dir)
	}
}

// RemoveDirIfClean removes the directory of a run without findings.
func (r Report) RemoveDirIfClean() error {
	if len(r.Findings) > 0 {
		return nil
	}
	return os.RemoveAll(r.Options.Dir)
}
