package answer

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/data/forward"
	"onyxwell/data/snapshot"
)

// sending is one sending of a request, as it is told afterwards.
type sending struct {
	runner ids.RunnerID
	fate   forward.Fate
	cause  string
	spent  clock.Span
}

// mayHaveRun tells whether the runner may have begun to work.
func (sending sending) mayHaveRun() bool {
	return sending.fate != forward.Unsent && sending.fate != forward.Refused
}

// arrived tells whether the runner counts it as an arrival.
func (sending sending) arrived() bool { return sending.fate != forward.Unsent }

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
func (visit *visit) mayHaveRun() bool {
	for _, sent := range visit.sends {
		if sent.mayHaveRun() {
			return true
		}
	}
	return false
}

// checkSending looks at a sending right before it is made: what the decision
// and the snapshot should have seen to already.
func (visit *visit) checkSending(runner *snapshot.Runner, left clock.Span, now clock.Instant) {
	monitor, route := visit.front.options.Monitor, visit.route
	arrivals := 0
	for _, sent := range visit.sends {
		if sent.arrived() {
			arrivals++
		}
	}
	if !route.Repeatable() && visit.mayHaveRun() {
		monitor.Violated(invariant.RunOnce, "attempt %s of route %s is sent to %s after %v", visit.sent.Attempt, route.Name, runner.ID, visit.sends)
	}
	if arrivals >= max(1, route.Tries) {
		monitor.Violated(invariant.Tries, "attempt %s of route %s is sent to %s after %d of %d", visit.sent.Attempt, route.Name, runner.ID, arrivals, route.Tries)
	}
	if !route.AtHome(runner.Region) {
		monitor.Violated(invariant.Home, "attempt %s of route %s is sent to %s in %s", visit.sent.Attempt, route.Name, runner.ID, runner.Region)
	}
	if told := visit.clientLeft; told > 0 && now.Add(left).Since(visit.since) > told {
		monitor.Violated(invariant.TimeLeft, "attempt %s: %v left of %v", visit.sent.Attempt, left, told)
	}
}

// sentTo notes what came of a sending, and counts it.
func (visit *visit) sentTo(runner *snapshot.Runner, fate forward.Fate, cause string, spent clock.Span) {
	visit.sends = append(visit.sends, sending{runner: runner.ID, fate: fate, cause: cause, spent: spent})
	visit.front.options.Metrics.Send(fate.String(), cause)
}
