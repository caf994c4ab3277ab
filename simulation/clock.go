package simulation

import (
	"context"

	"onyxwell/base/clock"
)

// steady is a machine's steady clock: no two machines' can be compared, and it
// runs on while the machine is frozen, though nobody there sees it.
type steady struct {
	machine *Machine
	offset  clock.Span
}

// Now gives the present instant.
func (s steady) Now() clock.Instant {
	now := s.machine.world.now()
	if pace := s.machine.pace(); pace != 1 {
		now = slowFrom + clock.Span(float64(now-slowFrom)*pace)
	}
	return clock.Instant(now + s.offset)
}

// After gives a channel that is closed once the span has passed.
func (s steady) After(span clock.Span) <-chan struct{} {
	done := make(chan struct{})
	s.machine.timer(s.stretched(span), func() { close(done) })
	return done
}

// WithTimeout gives a context that ends when the span has passed.
func (s steady) WithTimeout(parent context.Context, span clock.Span) (context.Context, context.CancelFunc) {
	deepen(0)
	ctx, cancel := context.WithCancelCause(parent)
	limit := s.machine.timer(s.stretched(span), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		cancel(context.Canceled)
		s.machine.world.forget(limit)
	}
}

// stretched is how long a span of this clock really is.
func (s steady) stretched(span clock.Span) clock.Span {
	if pace := s.machine.pace(); pace != 1 {
		return clock.Span(float64(span) / pace)
	}
	return span
}

// timer wakes somebody on the machine; one that is frozen wakes late.
func (m *Machine) timer(span clock.Span, act func()) *event {
	return m.world.after(span, func() { m.deliver(act) })
}

// deliver has something reach the machine: now, or when it thaws.
func (m *Machine) deliver(act func()) {
	if m.frozen {
		m.late = append(m.late, act)
		return
	}
	act()
}
