package admit

import (
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/data/forward"
	"onyxwell/data/snapshot"
)

// Act is what the executor is to do next.
type Act int

// The acts.
const (
	// Send the request to the order's runner.
	Send Act = iota
	// Wait for the order's span and ask again.
	Wait
	// Answer with the order's kind of failure.
	Answer
)

// Order is what a decision says when it is asked.
type Order struct {
	Act    Act
	Runner *snapshot.Runner
	Span   clock.Span
	Kind   failure.Kind
}

// Decision is the state of one request on its way.
type Decision struct {
	gate    *Gate
	asking  Asking
	service ids.Service
	tried   map[ids.RunnerID]bool
	sends   int
	arrived bool
	ran     bool
	garbled bool
	crowded bool
	left    LeftOut
	// rareFirst says that the first shared part belongs to some runners only.
	rareFirst bool
}

// Service is the service that the request goes to.
func (decision *Decision) Service() ids.Service { return decision.service }

// Ask tells what to do next.
func (decision *Decision) Ask(now clock.Instant) Order {
	if !now.Before(decision.asking.Limit) {
		return decision.finally(failure.LimitBeforeRun, failure.LimitReached)
	}
	route := decision.asking.Route
	if decision.ran && !route.Repeatable() {
		return decision.finally(failure.RunnerLost, failure.RunnerLost)
	}
	if decision.sends >= max(1, route.Tries) {
		return decision.finally(failure.Crowded, failure.RunnerLost)
	}
	runner, pause := decision.gate.choose(decision, now)
	if runner == nil {
		// A short wait is no refusal that comes late.
		if pause > 0 && now.Add(pause).Since(decision.asking.Since) < route.Goal()/4 {
			return Order{Act: Wait, Span: pause}
		}
		promise := failure.NoRunner
		if decision.crowded {
			promise = failure.Crowded
		}
		return decision.finally(promise, failure.RunnerLost)
	}
	if decision.arrived && !decision.gate.options.Budget.Spend(decision.service, now) {
		return decision.finally(failure.BudgetSpent, failure.RunnerLost)
	}
	return Order{Act: Send, Runner: runner}
}

// finally picks the last answer: a promise only where nothing can have run.
func (decision *Decision) finally(promise failure.Kind, broken failure.Kind) Order {
	if !decision.ran {
		return Order{Act: Answer, Kind: promise}
	}
	if decision.garbled && broken == failure.RunnerLost {
		broken = failure.RunnerGarbled
	}
	return Order{Act: Answer, Kind: broken}
}

// Holds asks again, right before the bytes are written, whether the runner may
// still be sent to; it takes the request's place at a cold one.
func (decision *Decision) Holds(runner *snapshot.Runner, now clock.Instant) bool {
	options := decision.gate.options
	seen := options.Frame.Now()
	if seen.Spec == nil || !seen.Usable(decision.service, runner.ID) {
		return false
	}
	return options.Warmth.Take(runner.ID, decision.gate.bound(seen.Spec.Service(decision.service), runner.Zone), now)
}

// Tell notes the fate of a sending.
func (decision *Decision) Tell(runner *snapshot.Runner, fate forward.Fate) {
	decision.tried[runner.ID] = true
	if fate == forward.Unsent {
		return
	}
	decision.sends++
	decision.arrived = true
	decision.ran = decision.ran || fate != forward.Refused
	decision.garbled = fate == forward.Garbled
}
