package proxy

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// attemptRecord is one sending of a request, as it is told afterwards.
type attemptRecord struct {
	runner   ids.RunnerID
	outcome  upstream.Outcome
	cause    string
	duration clock.Span
}

// mayHaveRun tells whether the runner may have begun to work.
func (a attemptRecord) mayHaveRun() bool {
	return a.outcome != upstream.Unsent && a.outcome != upstream.Rejected
}

// reachedRunner tells whether the runner counts it as an arrival.
func (a attemptRecord) reachedRunner() bool { return a.outcome != upstream.Unsent }

// Outcomes of requests beside the names of the kinds of failures.
const (
	outcomeAnswered = "answered"
	// outcomeUpstreamError is of a runner's own 5xx, passed on.
	outcomeUpstreamError = "runner-failed"
	// outcomeAborted is of a connection that ended without a whole answer.
	outcomeAborted = "cut"
	// outcomeClientGone is of a client that left first.
	outcomeClientGone = "left"
)

// unloggedOutcomes are outcomes that need no line in the log.
var unloggedOutcomes = map[string]bool{
	outcomeAnswered: true, outcomeUpstreamError: true, outcomeClientGone: true, "no-route": true, "crowded": true,
}

// mayHaveRun tells whether any sending so far may have run.
func (e *exchange) mayHaveRun() bool {
	for _, sent := range e.attempts {
		if sent.mayHaveRun() {
			return true
		}
	}
	return false
}

// checkAttempt looks at a sending right before it is made: what the decision
// and the snapshot should have seen to already.
func (e *exchange) checkAttempt(runner *snapshot.Runner, left clock.Span, now clock.Instant) {
	monitor, route := e.proxy.options.Monitor, e.route
	arrivals := 0
	for _, sent := range e.attempts {
		if sent.reachedRunner() {
			arrivals++
		}
	}
	if !route.Idempotent() && e.mayHaveRun() {
		monitor.Violated(invariant.RunOnce, "attempt %s of route %s is sent to %s after %v", e.upstreamRequest.AttemptID, route.Name, runner.ID, e.attempts)
	}
	if arrivals >= max(1, route.MaxAttempts) {
		monitor.Violated(invariant.Tries, "attempt %s of route %s is sent to %s after %d of %d", e.upstreamRequest.AttemptID, route.Name, runner.ID, arrivals, route.MaxAttempts)
	}
	if !route.AllowsRegion(runner.Region) {
		monitor.Violated(invariant.Home, "attempt %s of route %s is sent to %s in %s", e.upstreamRequest.AttemptID, route.Name, runner.ID, runner.Region)
	}
	if told := e.clientTimeout; told > 0 && now.Add(left).Since(e.arrivedAt) > told {
		monitor.Violated(invariant.TimeLeft, "attempt %s: %v left of %v", e.upstreamRequest.AttemptID, left, told)
	}
}

// recordAttempt notes what came of a sending, and counts it.
func (e *exchange) recordAttempt(runner *snapshot.Runner, fate upstream.Outcome, cause string, spent clock.Span) {
	e.attempts = append(e.attempts, attemptRecord{runner: runner.ID, outcome: fate, cause: cause, duration: spent})
	e.proxy.options.Metrics.Send(fate.String(), cause)
}
