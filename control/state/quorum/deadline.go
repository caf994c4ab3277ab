package quorum

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

const (
	// readingLifetime is the age, in multiples of MaxAge, from which a clock reading
	// is no longer used and a new one is requested.
	readingLifetime = 4
	// clockDriftDivisor determines by how much the remaining time is shortened, as
	// the clocks may run at different rates: by 1/clockDriftDivisor.
	clockDriftDivisor = 100
)

// Deadline is the instant from which on a forwarded command must not be started,
// as a reading of the receiver's monotonic clock. It is valid for one incarnation
// of the receiver's process.
type Deadline struct {
	Incarnation int64 `avro:"Life"`
	End         int64 `avro:"End"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Deadline) SchemaName() string { return "Stamp_24" }

// RemoteDeadline converts the local instant at which this controller gives up on a
// forwarded command into a deadline on the receiver's clock. If no recent reading
// of that clock is known, it requests one with a heartbeat.
func (t *Tracker) RemoteDeadline(ctx context.Context, receiver ids.Address, giveUpAt clock.Instant) (Deadline, error) {
	p, ok := t.peerReading(receiver)
	if !ok || t.options.Clock.Now().Since(p.readingAt) > readingLifetime*t.options.MaxAge {
		if err := t.heartbeat(ctx, receiver); err != nil {
			return Deadline{}, err
		}
		if p, ok = t.peerReading(receiver); !ok {
			return Deadline{}, errkind.Errorf(errkind.NoQuorum, "heartbeat response of %s has no clock reading", receiver)
		}
	}
	remaining := giveUpAt.Since(p.readingAt)
	return Deadline{Incarnation: p.reading.Incarnation, End: p.reading.Reading + int64(remaining-remaining/clockDriftDivisor)}, nil
}

// peerReading returns the peer's entry, or false if its clock was never read.
func (t *Tracker) peerReading(address ids.Address) (peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	return p, p.reading.Incarnation != 0
}

// WithinDeadline reports whether a command that was forwarded to this controller
// may still be started.
func (t *Tracker) WithinDeadline(deadline Deadline, now clock.Instant) bool {
	return deadline.Incarnation == t.options.Incarnation && int64(now) < deadline.End
}
