// Package slowstart bounds what cold runners get: all routers together stay under
// a runner's rate, each within its own part and without saving any up.
package slowstart

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Bound is what a service says of its cold runners, and among how many routers
// their rate is shared; with no sharers a cold runner is not this router's.
type Bound struct {
	PerS    float64
	Sharers int
}

// Warmth knows until when each runner is cold.
type Warmth struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*standing
	listed  bool
	chance  func() float64
}

type standing struct {
	coldUntil clock.Instant
	next      clock.Instant
	// began is when the cold spell was learnt of; placed says that this router's
	// first turn in it is set.
	began  clock.Instant
	placed bool
}

// New makes a warmth that knows nobody yet. Chance gives numbers from 0 to below
// 1: routers that learn of a cold runner at once must not all begin with it at
// once.
func New(chance func() float64) *Warmth {
	return &Warmth{runners: map[ids.RunnerID]*standing{}, chance: chance}
}

// Entry is one runner of a list.
type Entry struct {
	ID       ids.RunnerID
	ColdLeft clock.Span
	Warmup   clock.Span
}

// List takes a list of runners. One that was not on the list before is cold
// for its whole warm-up, whatever the list says; on the first list of all the
// list's own word counts.
func (w *Warmth) List(entries []Entry, lag clock.Span, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := map[ids.RunnerID]bool{}
	for _, entry := range entries {
		present[entry.ID] = true
		known := w.runners[entry.ID]
		if known == nil {
			known = &standing{}
			w.runners[entry.ID] = known
			if w.listed && entry.Warmup > 0 {
				known.chill(now.Add(entry.Warmup+lag), now)
			}
		}
		if entry.ColdLeft > 0 {
			known.chill(now.Add(entry.ColdLeft+lag), now)
		}
	}
	for id := range w.runners {
		if !present[id] {
			delete(w.runners, id)
		}
	}
	w.listed = w.listed || len(entries) > 0
}

// Chill holds a runner for cold until an instant.
func (w *Warmth) Chill(id ids.RunnerID, until clock.Instant, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.runners[id]; known != nil {
		known.chill(until, now)
	}
}

// chill lengthens a cold spell, or begins one.
func (s *standing) chill(until clock.Instant, now clock.Instant) {
	if !now.Before(s.coldUntil) {
		s.began, s.placed = now, false
	}
	if s.coldUntil.Before(until) {
		s.coldUntil = until
	}
}

// Cold tells whether a runner is held for cold.
func (w *Warmth) Cold(id ids.RunnerID, now clock.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.runners[id]
	return known != nil && now.Before(known.coldUntil)
}

// Open tells whether a runner could take a request now, without taking it.
func (w *Warmth) Open(id ids.RunnerID, bound Bound, now clock.Instant) bool {
	return w.ask(id, bound, now, false)
}

// Take takes one request's place at a runner; a warm one always has place.
func (w *Warmth) Take(id ids.RunnerID, bound Bound, now clock.Instant) bool {
	return w.ask(id, bound, now, true)
}

func (w *Warmth) ask(id ids.RunnerID, bound Bound, now clock.Instant, take bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.runners[id]
	if known == nil || bound.PerS <= 0 || !now.Before(known.coldUntil) {
		return true
	}
	if bound.Sharers <= 0 {
		return false
	}
	gap := float64(clock.Second) * float64(bound.Sharers) / bound.PerS
	if !known.placed {
		known.placed, known.next = true, known.began.Add(clock.Span(gap*w.chance()))
	}
	if now.Before(known.next) {
		return false
	}
	if take {
		known.next = now.Add(clock.Span(gap))
	}
	return true
}
