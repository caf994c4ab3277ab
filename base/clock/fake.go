package clock

import (
	"context"
	"sync"
	"time"
)

// Fake is a Clock for tests and simulations: it stands still until it is
// advanced. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	now     Instant
	waiters []waiter
}

// waiter is a function to call at an instant.
type waiter struct {
	until Instant
	wake  func()
}

// NewFake returns a fake clock at the instant at which other clocks start.
func NewFake() *Fake { return &Fake{now: Instant(origin)} }

// Now returns the present instant.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that is closed once the clock was advanced by d, at
// once if d is not above 0.
func (f *Fake) After(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	f.schedule(d, func() { close(done) })
	return done
}

// WithTimeout returns a context that ends once the clock was advanced by the
// timeout.
func (f *Fake) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	f.schedule(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { cancel(context.Canceled) }
}

// Advance moves the clock by d, then wakes who is due, in the order in which they
// began to wait.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	f.now = f.now.Add(d)
	var due, rest []waiter
	for _, waiter := range f.waiters {
		if f.now.Before(waiter.until) {
			rest = append(rest, waiter)
		} else {
			due = append(due, waiter)
		}
	}
	f.waiters = rest
	f.mu.Unlock()
	for _, waiter := range due {
		waiter.wake()
	}
}

// AdvanceToNext advances the clock to the first instant that is waited for. It
// returns false if there is none.
func (f *Fake) AdvanceToNext() bool {
	f.mu.Lock()
	if len(f.waiters) == 0 {
		f.mu.Unlock()
		return false
	}
	next := f.waiters[0].until
	for _, waiter := range f.waiters {
		next = min(next, waiter.until)
	}
	d := next.Since(f.now)
	f.mu.Unlock()
	f.Advance(d)
	return true
}

// schedule calls wake once the clock was advanced by d.
func (f *Fake) schedule(d time.Duration, wake func()) {
	f.mu.Lock()
	if d > 0 {
		f.waiters = append(f.waiters, waiter{until: f.now.Add(d), wake: wake})
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	wake()
}
