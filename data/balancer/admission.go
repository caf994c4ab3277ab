package balancer

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/data/canary"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Action is the proxy's next step for a request.
type Action int

const (
	// Send means to send the request to the decision's runner.
	Send Action = iota
	// Wait means to wait for the decision's delay and call Next again.
	Wait
	// Fail means to fail the request with the decision's error kind.
	Fail
)

// Decision is the next step for a request. Runner is set for Send, Delay for Wait and
// Kind for Fail.
type Decision struct {
	Action Action
	Runner *snapshot.Runner
	Delay  time.Duration
	Kind   errkind.Kind
}

// maxWaitDivisor bounds the wait for a runner: a request waits for less than
// 1/maxWaitDivisor of its route's latency target before it is rejected, since an early
// rejection is better than a late one.
const maxWaitDivisor = 4

// Admission tracks one request from its arrival to its end. It is not safe for
// concurrent use.
type Admission struct {
	balancer *Balancer
	request  Request
	service  ids.Service
	// tried holds the runners with a recorded outcome, whether the request reached
	// them or not. attempts counts those that it may have reached.
	tried    map[ids.RunnerID]bool
	attempts int
	// reachedRunner reports whether any runner may have received the request,
	// mayHaveRun whether any may have executed it, and garbled whether the last one
	// that it may have reached returned an invalid response.
	reachedRunner bool
	mayHaveRun    bool
	garbled       bool
	// overloaded reports whether the queues of all available runners were too long for
	// the request to meet its latency target.
	overloaded bool
	exclusions Exclusions
	// arm is the arm of the service's rollout that the request belongs to.
	arm canary.Arm
	// rarePrefix reports whether the request's prompt begins with a rare part, which a
	// subset of the runners serves.
	rarePrefix bool
}

// Service returns the service that was picked for the request.
func (a *Admission) Service() ids.Service { return a.service }

// Arm returns the rollout arm of the next attempt.
func (a *Admission) Arm() canary.Arm { return a.arm }

// Exclusions counts the runners excluded from the last selection, by reason.
func (a *Admission) Exclusions() Exclusions { return a.exclusions }

// Next returns the next step for the request.
func (a *Admission) Next(now clock.Instant) Decision {
	if !now.Before(a.request.Deadline) {
		return a.fail(errkind.DeadlineBeforeRun, errkind.DeadlineExceeded)
	}
	route := a.request.Route
	if a.mayHaveRun && !route.Idempotent() {
		return a.fail(errkind.RunnerLost, errkind.RunnerLost)
	}
	if a.attempts >= max(1, route.MaxAttempts) {
		return a.fail(errkind.Overloaded, errkind.RunnerLost)
	}
	runner, delay := a.balancer.selectRunner(a, now)
	if runner == nil {
		return a.waitOrFail(delay, now)
	}
	if a.reachedRunner && !a.balancer.options.RetryBudget.TrySpend(a.service, now) {
		return a.fail(errkind.RetryBudgetExhausted, errkind.RunnerLost)
	}
	return Decision{Action: Send, Runner: runner}
}

// waitOrFail returns the next step if no runner was selected. delay is the time after
// which there may be one, 0 if unknown.
func (a *Admission) waitOrFail(delay time.Duration, now clock.Instant) Decision {
	if delay > 0 && now.Add(delay).Since(a.request.ArrivedAt) < a.request.Route.LatencyTarget()/maxWaitDivisor {
		return Decision{Action: Wait, Delay: delay}
	}
	if a.overloaded {
		return a.fail(errkind.Overloaded, errkind.RunnerLost)
	}
	return a.fail(errkind.NoRunner, errkind.RunnerLost)
}

// fail returns the decision to fail the request. Its kind is notRun, which tells the
// client that the request was not executed, only if that is certain.
func (a *Admission) fail(notRun errkind.Kind, mayHaveRun errkind.Kind) Decision {
	if !a.mayHaveRun {
		return Decision{Action: Fail, Kind: notRun}
	}
	if a.garbled && mayHaveRun == errkind.RunnerLost {
		mayHaveRun = errkind.BadRunnerResponse
	}
	return Decision{Action: Fail, Kind: mayHaveRun}
}

// Confirm reports whether the request may still be sent to a runner. It must be called
// immediately before the first byte is written. It counts the request against the
// runner's slow-start limit. If it returns true, Release must be called later.
func (a *Admission) Confirm(runner *snapshot.Runner, now clock.Instant) bool {
	options := a.balancer.options
	snap := options.Snapshots.Current()
	if snap.Config == nil || !snap.AvailableByID(a.service, runner.ID) {
		return false
	}
	if !options.Versions.Begin(a.service, runner, a.arm, now) {
		return false
	}
	if !options.SlowStart.Admit(runner.ID, a.balancer.slowStartLimit(snap.Config.Service(a.service), runner.Zone), now) {
		options.Versions.End(a.service, runner)
		return false
	}
	return true
}

// Release ends the in-flight count that a successful Confirm began. It must be called
// once the runner is no longer involved in the request.
func (a *Admission) Release(runner *snapshot.Runner) {
	a.balancer.options.Versions.End(a.service, runner)
}

// RecordOutcome records the outcome of an attempt to send the request to a runner.
func (a *Admission) RecordOutcome(runner *snapshot.Runner, outcome upstream.Outcome) {
	a.tried[runner.ID] = true
	if outcome == upstream.Unsent {
		return
	}
	a.attempts++
	a.reachedRunner = true
	// A retry is not a sample of the new version, so it goes to the old arm.
	a.arm = canary.Old
	a.mayHaveRun = a.mayHaveRun || outcome != upstream.Rejected
	a.garbled = outcome == upstream.InvalidResponse || outcome == upstream.Unusable
}
