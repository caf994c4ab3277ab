package quorum

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

const (
	// readingLifetime is how many times MaxAge a clock reading is used before a
	// new one is requested.
	readingLifetime = 4
	// clockDriftDivisor is the part of a deadline, one in so many, that is taken off
	// for clocks that run at different rates.
	clockDriftDivisor = 100
)

// Deadline is the instant from which a forwarded command must not be begun, as a
// reading of the receiver's monotonic clock within one incarnation of its process.
type Deadline struct {
	Incarnation int64 `avro:"Life"`
	End         int64 `avro:"End"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Deadline) SchemaName() string { return "Stamp_24" }

// RemoteDeadline converts the instant at which a forwarded command is given up
// here into a deadline on the receiver's clock. Where no recent reading of that
// clock is known, the receiver is asked for one.
func (t *Tracker) RemoteDeadline(ctx context.Context, receiver ids.Address, giveUpAt clock.Instant) (Deadline, error) {
	p, ok := t.peerReading(receiver)
	if !ok || t.options.Clock.Now().Since(p.readingAt) > readingLifetime*t.options.MaxAge {
		if err := t.heartbeat(ctx, receiver); err != nil {
			return Deadline{}, err
		}
		if p, ok = t.peerReading(receiver); !ok {
			return Deadline{}, errkind.Errorf(errkind.NoQuorum, "%s tells no reading of its clock", receiver)
		}
	}
	remaining := giveUpAt.Since(p.readingAt)
	return Deadline{Incarnation: p.reading.Incarnation, End: p.reading.Reading + int64(remaining-remaining/clockDriftDivisor)}, nil
}

// peerReading returns the peer's entry; false where its clock was never read.
func (t *Tracker) peerReading(address ids.Address) (peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	return p, p.reading.Incarnation != 0
}

// WithinDeadline reports whether a command that was forwarded here may still be
// begun.
func (t *Tracker) WithinDeadline(deadline Deadline, now clock.Instant) bool {
	return deadline.Incarnation == t.options.Incarnation && int64(now) < deadline.End
}
