package clock

import (
	"context"
	"sync"
)

// Fake is a clock for tests: it stands still until it is moved.
type Fake struct {
	lock    sync.Mutex
	now     Instant
	waiting []sleeper
}

type sleeper struct {
	until Instant
	wake  func()
}

// NewFake gives a fake clock that stands one second after its start.
func NewFake() *Fake { return &Fake{now: Instant(Second)} }

// Now gives the present instant.
func (fake *Fake) Now() Instant {
	fake.lock.Lock()
	defer fake.lock.Unlock()
	return fake.now
}

// After gives a channel that is closed once the clock was moved by the span.
func (fake *Fake) After(span Span) <-chan struct{} {
	done := make(chan struct{})
	fake.at(span, func() { close(done) })
	return done
}

// WithLimit gives a context that ends once the clock was moved by the span.
func (fake *Fake) WithLimit(parent context.Context, span Span) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	fake.at(span, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { cancel(context.Canceled) }
}

// Move lets the span pass and wakes all whose time has come.
func (fake *Fake) Move(span Span) {
	fake.lock.Lock()
	fake.now = fake.now.Add(span)
	var due []sleeper
	var rest []sleeper
	for _, waiting := range fake.waiting {
		if fake.now.Before(waiting.until) {
			rest = append(rest, waiting)
		} else {
			due = append(due, waiting)
		}
	}
	fake.waiting = rest
	fake.lock.Unlock()
	for _, waiting := range due {
		waiting.wake()
	}
}

// Next moves the clock to the first instant that somebody waits for; false
// says that nobody waits.
func (fake *Fake) Next() bool {
	fake.lock.Lock()
	if len(fake.waiting) == 0 {
		fake.lock.Unlock()
		return false
	}
	first := fake.waiting[0].until
	for _, waiting := range fake.waiting {
		first = min(first, waiting.until)
	}
	span := first.Since(fake.now)
	fake.lock.Unlock()
	fake.Move(span)
	return true
}

func (fake *Fake) at(span Span, wake func()) {
	fake.lock.Lock()
	if span > 0 {
		fake.waiting = append(fake.waiting, sleeper{until: fake.now.Add(span), wake: wake})
		fake.lock.Unlock()
		return
	}
	fake.lock.Unlock()
	wake()
}
