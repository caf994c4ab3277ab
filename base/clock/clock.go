// Package clock is the only source of time for what the daemons do. Everything
// that waits or measures takes a Clock, so that tests and simulations run on a
// Fake and never sleep.
package clock

import (
	"context"
	"time"
)

// Instant is a reading of a monotonic clock, in nanoseconds. Instants of
// different processes can't be compared, and changes of the time of day have no
// effect on them. The zero Instant is before every reading of a clock.
type Instant int64

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time from the earlier instant to i.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i is before the other instant.
func (i Instant) Before(other Instant) bool { return i < other }

// Clock reads the time and wakes who waits for it. It is safe for concurrent
// use.
type Clock interface {
	// Now returns the present instant. It never decreases.
	Now() Instant
	// After returns a channel that is closed once d has passed.
	After(d time.Duration) <-chan struct{}
	// WithTimeout returns a context that ends with context.DeadlineExceeded once
	// the timeout has passed. The caller must call the cancel function.
	WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc)
}

// origin is the instant at which clocks start: after the zero Instant, which
// callers use for "never".
const origin = time.Second

// monotonic is the clock of the machine.
type monotonic struct{ zero time.Time }

// NewMonotonic returns the monotonic clock of the machine.
func NewMonotonic() Clock { return monotonic{zero: time.Now().Add(-origin)} }

func (m monotonic) Now() Instant { return Instant(time.Since(m.zero)) }

func (m monotonic) After(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(d, func() { close(done) })
	return done
}

func (m monotonic) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, timeout)
}

// Wait blocks until d has passed on the clock or the context ends, and reports
// whether d has passed.
func Wait(ctx context.Context, clock Clock, d time.Duration) bool {
	if _, ok := clock.(monotonic); ok {
		return waitMonotonic(ctx, d)
	}
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}

// waitMonotonic leaves no timer behind when the context ends first.
func waitMonotonic(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
