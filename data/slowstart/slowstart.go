// Package slowstart bounds what cold runners get: all routers together stay under
// a runner's rate, each within its own part and without saving any up.
package slowstart

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Limit is what a service says of its cold runners, and among how many routers
// their rate is shared; with no sharers a cold runner is not this router's.
type Limit struct {
	RequestsPerSecond float64
	Routers           int
}

// Tracker knows until when each runner is cold.
type Tracker struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runnerState
	hasList bool
	random  func() float64
}

type runnerState struct {
	until         clock.Instant
	nextAdmission clock.Instant
	// startedAt is when the cold spell was learnt of; placed says that this router's
	// first turn in it is set.
	startedAt clock.Instant
	scheduled bool
}

// New makes a warmth that knows nobody yet. Chance gives numbers from 0 to below
// 1: routers that learn of a cold runner at once must not all begin with it at
// once.
func New(chance func() float64) *Tracker {
	return &Tracker{runners: map[ids.RunnerID]*runnerState{}, random: chance}
}

// Runner is one runner of a list.
type Runner struct {
	ID        ids.RunnerID
	Remaining clock.Span
	Warmup    clock.Span
}

// Update takes a list of runners. One that was not on the list before is cold
// for its whole warm-up, whatever the list says; on the first list of all the
// list's own word counts.
func (t *Tracker) Update(entries []Runner, lag clock.Span, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[ids.RunnerID]bool{}
	for _, entry := range entries {
		present[entry.ID] = true
		known := t.runners[entry.ID]
		if known == nil {
			known = &runnerState{}
			t.runners[entry.ID] = known
			if t.hasList && entry.Warmup > 0 {
				known.extend(now.Add(entry.Warmup+lag), now)
			}
		}
		if entry.Remaining > 0 {
			known.extend(now.Add(entry.Remaining+lag), now)
		}
	}
	for id := range t.runners {
		if !present[id] {
			delete(t.runners, id)
		}
	}
	t.hasList = t.hasList || len(entries) > 0
}

// Extend holds a runner for cold until an instant.
func (t *Tracker) Extend(id ids.RunnerID, until clock.Instant, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.runners[id]; known != nil {
		known.extend(until, now)
	}
}

// extend lengthens a cold spell, or begins one.
func (r *runnerState) extend(until clock.Instant, now clock.Instant) {
	if !now.Before(r.until) {
		r.startedAt, r.scheduled = now, false
	}
	if r.until.Before(until) {
		r.until = until
	}
}

// Active tells whether a runner is held for cold.
func (t *Tracker) Active(id ids.RunnerID, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.runners[id]
	return known != nil && now.Before(known.until)
}

// CanAdmit tells whether a runner could take a request now, without taking it.
func (t *Tracker) CanAdmit(id ids.RunnerID, bound Limit, now clock.Instant) bool {
	return t.tryAdmit(id, bound, now, false)
}

// Admit takes one request's place at a runner; a warm one always has place.
func (t *Tracker) Admit(id ids.RunnerID, bound Limit, now clock.Instant) bool {
	return t.tryAdmit(id, bound, now, true)
}

func (t *Tracker) tryAdmit(id ids.RunnerID, bound Limit, now clock.Instant, take bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.runners[id]
	if known == nil || bound.RequestsPerSecond <= 0 || !now.Before(known.until) {
		return true
	}
	if bound.Routers <= 0 {
		return false
	}
	gap := float64(clock.Second) * float64(bound.Routers) / bound.RequestsPerSecond
	if !known.scheduled {
		known.scheduled, known.nextAdmission = true, known.startedAt.Add(clock.Span(gap*t.random()))
	}
	if now.Before(known.nextAdmission) {
		return false
	}
	if take {
		known.nextAdmission = now.Add(clock.Span(gap))
	}
	return true
}
