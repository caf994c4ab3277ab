// Package slowstart bounds the rate of requests to runners that are warming up.
//
// Invariant: within any second, all routers together send a runner at most its
// rate plus one request each. Each router spaces its requests by the number of
// routers over the rate, and saves up nothing.
package slowstart

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Limit is the rate of a service's runners in slow start.
type Limit struct {
	// RequestsPerSecond is the rate per runner; 0 is no limit.
	RequestsPerSecond float64
	// Routers is among how many routers the rate is shared; with 0 this router may
	// not send to a runner in slow start.
	Routers int
}

// Tracker knows which runners are in slow start, and when each may get its next
// request from this router. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runnerState
	// hasList is set once a list of runners was not empty.
	hasList bool
	random  func() float64
}

type runnerState struct {
	// startedAt is when this router learnt of the slow start, until is its end.
	startedAt clock.Instant
	until     clock.Instant
	// nextAdmission is when the next request is admitted, valid if scheduled.
	nextAdmission clock.Instant
	scheduled     bool
}

// New returns a tracker without runners. random returns a number in [0, 1): it
// spreads the first requests of routers that learn of a runner at the same time.
func New(random func() float64) *Tracker {
	return &Tracker{runners: map[ids.RunnerID]*runnerState{}, random: random}
}

// Runner is an entry of a list of runners.
type Runner struct {
	ID ids.RunnerID
	// Remaining is how much of its warm-up is left, as the list says.
	Remaining time.Duration
	// Warmup is how long a warm-up of its service takes.
	Warmup time.Duration
}

// Update replaces the list of runners, which may be outdated by lag. A runner that
// was not on the list before is in slow start for its whole warm-up, whatever the
// list says, except on the first list.
func (t *Tracker) Update(runners []Runner, lag time.Duration, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[ids.RunnerID]bool{}
	for _, runner := range runners {
		listed[runner.ID] = true
		state := t.runners[runner.ID]
		if state == nil {
			state = &runnerState{}
			t.runners[runner.ID] = state
			if t.hasList && runner.Warmup > 0 {
				state.extend(now.Add(runner.Warmup+lag), now)
			}
		}
		if runner.Remaining > 0 {
			state.extend(now.Add(runner.Remaining+lag), now)
		}
	}
	for id := range t.runners {
		if !listed[id] {
			delete(t.runners, id)
		}
	}
	t.hasList = t.hasList || len(runners) > 0
}

// Extend has a listed runner be in slow start until an instant, at least. A
// runner that is not listed is ignored.
func (t *Tracker) Extend(id ids.RunnerID, until clock.Instant, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.runners[id]; state != nil {
		state.extend(until, now)
	}
}

// extend lengthens a slow start, or begins one.
func (r *runnerState) extend(until clock.Instant, now clock.Instant) {
	if !r.active(now) {
		r.startedAt, r.scheduled = now, false
	}
	if r.until.Before(until) {
		r.until = until
	}
}

func (r *runnerState) active(now clock.Instant) bool { return now.Before(r.until) }

// Active reports whether a runner is in slow start.
func (t *Tracker) Active(id ids.RunnerID, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.runners[id]
	return state != nil && state.active(now)
}

// CanAdmit reports whether Admit would admit a request now.
func (t *Tracker) CanAdmit(id ids.RunnerID, limit Limit, now clock.Instant) bool {
	return t.admit(id, limit, now, false)
}

// Admit admits one request to a runner, unless it would exceed the limit of its
// slow start. Other runners, unknown ones too, are not limited.
func (t *Tracker) Admit(id ids.RunnerID, limit Limit, now clock.Instant) bool {
	return t.admit(id, limit, now, true)
}

// admit reports whether a request is within the limit; with take it is counted.
func (t *Tracker) admit(id ids.RunnerID, limit Limit, now clock.Instant, consume bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.runners[id]
	if state == nil || limit.RequestsPerSecond <= 0 || !state.active(now) {
		return true
	}
	if limit.Routers <= 0 {
		return false
	}
	interval := float64(time.Second) * float64(limit.Routers) / limit.RequestsPerSecond
	if !state.scheduled {
		state.scheduled, state.nextAdmission = true, state.startedAt.Add(time.Duration(interval*t.random()))
	}
	if now.Before(state.nextAdmission) {
		return false
	}
	if consume {
		state.nextAdmission = now.Add(time.Duration(interval))
	}
	return true
}
