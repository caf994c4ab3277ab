// Package clock is the project's only door to time. Everything that waits or
// measures asks a Clock, so tests run on a Fake and never sleep.
package clock

import (
	"context"
	"time"
)

// Span is a length of time.
type Span = time.Duration

// Lengths of time in common use.
const (
	Millisecond = time.Millisecond
	Second      = time.Second
)

// Instant is a moment on the steady clock of one process. Instants of two
// processes can't be compared, and the time of day plays no part in them.
type Instant int64

// Add moves an instant by a span.
func (i Instant) Add(span Span) Instant { return i + Instant(span) }

// Since tells how much later this instant is than the earlier one.
func (i Instant) Since(earlier Instant) Span { return Span(i - earlier) }

// Before tells whether this instant comes before the other.
func (i Instant) Before(other Instant) bool { return i < other }

// Clock tells the steady time and wakes its callers.
type Clock interface {
	// Now gives the present instant.
	Now() Instant
	// After gives a channel that is closed once the span has passed.
	After(span Span) <-chan struct{}
	// WithTimeout gives a context that ends when the span has passed.
	WithTimeout(parent context.Context, span Span) (context.Context, context.CancelFunc)
}

type monotonic struct{ begin time.Time }

// NewMonotonic gives the clock of the machine.
func NewMonotonic() Clock { return monotonic{begin: time.Now().Add(-time.Second)} }

func (m monotonic) Now() Instant { return Instant(time.Since(m.begin)) }

func (m monotonic) After(span Span) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(span, func() { close(done) })
	return done
}

func (m monotonic) WithTimeout(parent context.Context, span Span) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, span)
}

// Wait blocks for the span or until the context ends; it tells whether the
// span passed whole.
func Wait(ctx context.Context, source Clock, span Span) bool {
	if machine, real := source.(monotonic); real {
		return machine.wait(ctx, span)
	}
	select {
	case <-ctx.Done():
		return false
	case <-source.After(span):
		return true
	}
}

func (m monotonic) wait(ctx context.Context, span Span) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
