package balancer

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Action is what the executor is to do next.
type Action int

// The acts.
const (
	// Send the request to the order's runner.
	Send Action = iota
	// Wait for the order's span and ask again.
	Wait
	// Fail with the order's kind of failure.
	Fail
)

// Decision is what a decision says when it is asked.
type Decision struct {
	Action Action
	Runner *snapshot.Runner
	Delay  clock.Span
	Kind   errkind.Kind
}

// Admission is the state of one request on its way.
type Admission struct {
	balancer      *Balancer
	request       Request
	service       ids.Service
	tried         map[ids.RunnerID]bool
	attempts      int
	reachedRunner bool
	mayHaveRun    bool
	garbled       bool
	overloaded    bool
	exclusions    Exclusions
	// rarePrefix says that the first shared part belongs to some runners only.
	rarePrefix bool
}

// Service is the service that the request goes to.
func (a *Admission) Service() ids.Service { return a.service }

// Next tells what to do next.
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
	runner, pause := a.balancer.selectRunner(a, now)
	if runner == nil {
		// A short wait is no refusal that comes late.
		if pause > 0 && now.Add(pause).Since(a.request.ArrivedAt) < route.LatencyTarget()/4 {
			return Decision{Action: Wait, Delay: pause}
		}
		promise := errkind.NoRunner
		if a.overloaded {
			promise = errkind.Overloaded
		}
		return a.fail(promise, errkind.RunnerLost)
	}
	if a.reachedRunner && !a.balancer.options.RetryBudget.TrySpend(a.service, now) {
		return a.fail(errkind.RetryBudgetExhausted, errkind.RunnerLost)
	}
	return Decision{Action: Send, Runner: runner}
}

// fail picks the last answer: a promise only where nothing can have run.
func (a *Admission) fail(promise errkind.Kind, broken errkind.Kind) Decision {
	if !a.mayHaveRun {
		return Decision{Action: Fail, Kind: promise}
	}
	if a.garbled && broken == errkind.RunnerLost {
		broken = errkind.BadRunnerResponse
	}
	return Decision{Action: Fail, Kind: broken}
}

// Confirm asks again, right before the bytes are written, whether the runner may
// still be sent to; it takes the request's place at a cold one.
func (a *Admission) Confirm(runner *snapshot.Runner, now clock.Instant) bool {
	options := a.balancer.options
	seen := options.Snapshots.Current()
	if seen.Config == nil || !seen.AvailableByID(a.service, runner.ID) {
		return false
	}
	return options.SlowStart.Admit(runner.ID, a.balancer.slowStartLimit(seen.Config.Service(a.service), runner.Zone), now)
}

// RecordOutcome notes the fate of a sending.
func (a *Admission) RecordOutcome(runner *snapshot.Runner, fate upstream.Outcome) {
	a.tried[runner.ID] = true
	if fate == upstream.Unsent {
		return
	}
	a.attempts++
	a.reachedRunner = true
	a.mayHaveRun = a.mayHaveRun || fate != upstream.Rejected
	a.garbled = fate == upstream.Garbled
}
