package balancer

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
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
	Kind   errkind.Kind
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
func (d *Decision) Service() ids.Service { return d.service }

// Ask tells what to do next.
func (d *Decision) Ask(now clock.Instant) Order {
	if !now.Before(d.asking.Limit) {
		return d.finally(errkind.DeadlineBeforeRun, errkind.DeadlineExceeded)
	}
	route := d.asking.Route
	if d.ran && !route.Idempotent() {
		return d.finally(errkind.RunnerLost, errkind.RunnerLost)
	}
	if d.sends >= max(1, route.MaxAttempts) {
		return d.finally(errkind.Overloaded, errkind.RunnerLost)
	}
	runner, pause := d.gate.choose(d, now)
	if runner == nil {
		// A short wait is no refusal that comes late.
		if pause > 0 && now.Add(pause).Since(d.asking.Since) < route.LatencyTarget()/4 {
			return Order{Act: Wait, Span: pause}
		}
		promise := errkind.NoRunner
		if d.crowded {
			promise = errkind.Overloaded
		}
		return d.finally(promise, errkind.RunnerLost)
	}
	if d.arrived && !d.gate.options.Budget.Spend(d.service, now) {
		return d.finally(errkind.RetryBudgetExhausted, errkind.RunnerLost)
	}
	return Order{Act: Send, Runner: runner}
}

// finally picks the last answer: a promise only where nothing can have run.
func (d *Decision) finally(promise errkind.Kind, broken errkind.Kind) Order {
	if !d.ran {
		return Order{Act: Answer, Kind: promise}
	}
	if d.garbled && broken == errkind.RunnerLost {
		broken = errkind.BadRunnerResponse
	}
	return Order{Act: Answer, Kind: broken}
}

// Holds asks again, right before the bytes are written, whether the runner may
// still be sent to; it takes the request's place at a cold one.
func (d *Decision) Holds(runner *snapshot.Runner, now clock.Instant) bool {
	options := d.gate.options
	seen := options.Frame.Now()
	if seen.Spec == nil || !seen.Usable(d.service, runner.ID) {
		return false
	}
	return options.Warmth.Take(runner.ID, d.gate.bound(seen.Spec.Service(d.service), runner.Zone), now)
}

// Tell notes the fate of a sending.
func (d *Decision) Tell(runner *snapshot.Runner, fate upstream.Fate) {
	d.tried[runner.ID] = true
	if fate == upstream.Unsent {
		return
	}
	d.sends++
	d.arrived = true
	d.ran = d.ran || fate != upstream.Refused
	d.garbled = fate == upstream.Garbled
}
