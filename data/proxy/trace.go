package proxy

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// sending is one sending of a request, as it is told afterwards.
type sending struct {
	runner ids.RunnerID
	fate   upstream.Outcome
	cause  string
	spent  clock.Span
}

// mayHaveRun tells whether the runner may have begun to work.
func (s sending) mayHaveRun() bool {
	return s.fate != upstream.Unsent && s.fate != upstream.Rejected
}

// arrived tells whether the runner counts it as an arrival.
func (s sending) arrived() bool { return s.fate != upstream.Unsent }

// Outcomes of requests beside the names of the kinds of failures.
const (
	outcomeAnswered = "answered"
	// outcomeRunnerFailed is of a runner's own 5xx, passed on.
	outcomeRunnerFailed = "runner-failed"
	// outcomeCut is of a connection that ended without a whole answer.
	outcomeCut = "cut"
	// outcomeLeft is of a client that left first.
	outcomeLeft = "left"
)

// ordinary are outcomes that need no line in the log.
var ordinary = map[string]bool{
	outcomeAnswered: true, outcomeRunnerFailed: true, outcomeLeft: true, "no-route": true, "crowded": true,
}

// mayHaveRun tells whether any sending so far may have run.
func (v *visit) mayHaveRun() bool {
	for _, sent := range v.sends {
		if sent.mayHaveRun() {
			return true
		}
	}
	return false
}

// checkSending looks at a sending right before it is made: what the decision
// and the snapshot should have seen to already.
func (v *visit) checkSending(runner *snapshot.Runner, left clock.Span, now clock.Instant) {
	monitor, route := v.front.options.Monitor, v.route
	arrivals := 0
	for _, sent := range v.sends {
		if sent.arrived() {
			arrivals++
		}
	}
	if !route.Idempotent() && v.mayHaveRun() {
		monitor.Violated(invariant.RunOnce, "attempt %s of route %s is sent to %s after %v", v.sent.AttemptID, route.Name, runner.ID, v.sends)
	}
	if arrivals >= max(1, route.MaxAttempts) {
		monitor.Violated(invariant.Tries, "attempt %s of route %s is sent to %s after %d of %d", v.sent.AttemptID, route.Name, runner.ID, arrivals, route.MaxAttempts)
	}
	if !route.AllowsRegion(runner.Region) {
		monitor.Violated(invariant.Home, "attempt %s of route %s is sent to %s in %s", v.sent.AttemptID, route.Name, runner.ID, runner.Region)
	}
	if told := v.clientLeft; told > 0 && now.Add(left).Since(v.since) > told {
		monitor.Violated(invariant.TimeLeft, "attempt %s: %v left of %v", v.sent.AttemptID, left, told)
	}
}

// sentTo notes what came of a sending, and counts it.
func (v *visit) sentTo(runner *snapshot.Runner, fate upstream.Outcome, cause string, spent clock.Span) {
	v.sends = append(v.sends, sending{runner: runner.ID, fate: fate, cause: cause, spent: spent})
	v.front.options.Metrics.Send(fate.String(), cause)
}
