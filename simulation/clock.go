package simulation

import (
	"context"

	"onyxwell/base/clock"
)

// machineClock is a machine's steady clock: no two machines' can be compared, and it
// runs on while the machine is frozen, though nobody there sees it.
type machineClock struct {
	machine *Machine
	offset  clock.Span
}

// Now gives the present instant.
func (m machineClock) Now() clock.Instant {
	now := m.machine.cluster.now()
	if pace := m.machine.clockRate(); pace != 1 {
		now = clockSkewStart + clock.Span(float64(now-clockSkewStart)*pace)
	}
	return clock.Instant(now + m.offset)
}

// After gives a channel that is closed once the span has passed.
func (m machineClock) After(span clock.Span) <-chan struct{} {
	done := make(chan struct{})
	m.machine.timer(m.realDuration(span), func() { close(done) })
	return done
}

// WithTimeout gives a context that ends when the span has passed.
func (m machineClock) WithTimeout(parent context.Context, span clock.Span) (context.Context, context.CancelFunc) {
	growStack(0)
	ctx, cancel := context.WithCancelCause(parent)
	limit := m.machine.timer(m.realDuration(span), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		cancel(context.Canceled)
		m.machine.cluster.cancel(limit)
	}
}

// realDuration is how long a span of this clock really is.
func (m machineClock) realDuration(span clock.Span) clock.Span {
	if pace := m.machine.clockRate(); pace != 1 {
		return clock.Span(float64(span) / pace)
	}
	return span
}

// timer wakes somebody on the machine; one that is frozen wakes late.
func (m *Machine) timer(span clock.Span, act func()) *event {
	return m.cluster.after(span, func() { m.deliver(act) })
}

// deliver has something reach the machine: now, or when it thaws.
func (m *Machine) deliver(act func()) {
	if m.frozen {
		m.deferred = append(m.deferred, act)
		return
	}
	act()
}
