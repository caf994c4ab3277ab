package simulation

import (
	"context"
	"time"

	"onyxwell/base/clock"
)

// clockSkewStart is when a planted clock rate takes effect.
const clockSkewStart = 4 * time.Second

// machineClock is the monotonic clock of one process. Those of two processes
// differ by an unknown offset, so that nothing may compare them. It goes on while
// the machine is frozen, though its timers fire only afterwards.
type machineClock struct {
	machine *Machine
	offset  time.Duration
}

// Now implements clock.Clock.
func (m machineClock) Now() clock.Instant {
	now := m.machine.cluster.now()
	if rate := m.machine.clockRate(); rate != 1 {
		now = clockSkewStart + time.Duration(float64(now-clockSkewStart)*rate)
	}
	return clock.Instant(now + m.offset)
}

// After implements clock.Clock.
func (m machineClock) After(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	m.machine.timer(m.realDuration(d), func() { close(done) })
	return done
}

// WithTimeout implements clock.Clock.
func (m machineClock) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	growStack(0)
	ctx, cancel := context.WithCancelCause(parent)
	timer := m.machine.timer(m.realDuration(timeout), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		cancel(context.Canceled)
		m.machine.cluster.cancel(timer)
	}
}

// realDuration returns the simulated time that passes while this clock advances
// by d.
func (m machineClock) realDuration(d time.Duration) time.Duration {
	if rate := m.machine.clockRate(); rate != 1 {
		return time.Duration(float64(d) / rate)
	}
	return d
}

// clockRate is how fast the machine's clock advances; 1 unless a bug is planted.
func (m *Machine) clockRate() float64 {
	if m.cluster.options.bug.ClockRate == nil || m.cluster.now() < clockSkewStart {
		return 1
	}
	return m.cluster.options.bug.ClockRate(m)
}

// timer runs an action on the machine once d has passed, later if it is frozen
// then.
func (m *Machine) timer(d time.Duration, action func()) *event {
	return m.cluster.after(d, func() { m.deliver(action) })
}

// deliver runs an action on the machine: now, or when it is no longer frozen.
func (m *Machine) deliver(action func()) {
	if m.frozen {
		m.deferred = append(m.deferred, action)
		return
	}
	action()
}
