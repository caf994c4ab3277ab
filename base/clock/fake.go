package clock

import (
	"context"
	"sync"
)

// Fake is a clock for tests: it stands still until it is moved.
type Fake struct {
	mu      sync.Mutex
	now     Instant
	waiters []waiter
}

type waiter struct {
	until Instant
	wake  func()
}

// NewFake gives a fake clock that stands one second after its start.
func NewFake() *Fake { return &Fake{now: Instant(Second)} }

// Now gives the present instant.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After gives a channel that is closed once the clock was moved by the span.
func (f *Fake) After(span Span) <-chan struct{} {
	done := make(chan struct{})
	f.schedule(span, func() { close(done) })
	return done
}

// WithTimeout gives a context that ends once the clock was moved by the span.
func (f *Fake) WithTimeout(parent context.Context, span Span) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	f.schedule(span, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { cancel(context.Canceled) }
}

// Advance lets the span pass and wakes all whose time has come.
func (f *Fake) Advance(span Span) {
	f.mu.Lock()
	f.now = f.now.Add(span)
	var due []waiter
	var rest []waiter
	for _, waiting := range f.waiters {
		if f.now.Before(waiting.until) {
			rest = append(rest, waiting)
		} else {
			due = append(due, waiting)
		}
	}
	f.waiters = rest
	f.mu.Unlock()
	for _, waiting := range due {
		waiting.wake()
	}
}

// AdvanceToNext moves the clock to the first instant that somebody waits for; false
// says that nobody waits.
func (f *Fake) AdvanceToNext() bool {
	f.mu.Lock()
	if len(f.waiters) == 0 {
		f.mu.Unlock()
		return false
	}
	first := f.waiters[0].until
	for _, waiting := range f.waiters {
		first = min(first, waiting.until)
	}
	span := first.Since(f.now)
	f.mu.Unlock()
	f.Advance(span)
	return true
}

func (f *Fake) schedule(span Span, wake func()) {
	f.mu.Lock()
	if span > 0 {
		f.waiters = append(f.waiters, waiter{until: f.now.Add(span), wake: wake})
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	wake()
}
