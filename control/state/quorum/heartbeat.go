package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Deadline ends an order that is passed on: a reading of the receiver's steady
// clock, in the life that it was learnt of.
type Deadline struct {
	Incarnation int64 `avro:"Life"`
	End         int64 `avro:"End"`
}

// SchemaName names the stored and sent form; it must never change.
func (Deadline) SchemaName() string { return "Stamp_24" }

// heartbeatRound asks all voters, unless they were asked just now.
func (t *Tracker) heartbeatRound(ctx scope.Scope) {
	now := ctx.Now()
	t.mu.Lock()
	early := t.lastRound > 0 && now.Since(t.lastRound) < t.heartbeatInterval()
	if !early {
		t.lastRound = now
	}
	t.mu.Unlock()
	if early {
		return
	}
	for _, seat := range t.options.Voters().Members {
		if seat.Address != t.options.Address {
			t.options.Spawn(func() {
				// A late answer still shows contact as of its question.
				message, release := ctx.WithoutCancel().WithTimeout(2 * t.options.MaxAge)
				defer release()
				_ = t.heartbeat(message, seat.Address)
			})
		}
	}
}

// heartbeat asks one voter and notes its answer.
func (t *Tracker) heartbeat(ctx scope.Scope, address ids.Address) error {
	begin := ctx.Now()
	told, err := t.options.Heartbeat(ctx, address)
	if err != nil {
		return err
	}
	came := ctx.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[address]
	if known.lastContact < begin {
		// The answer to a later question came already where this one was late.
		known.lastContact, known.rtts = begin, known.rtts.with(came.Since(begin))
	}
	if known.reading.Incarnation != told.Incarnation || told.clockLead(came) >= known.reading.clockLead(known.readingAt) || came.Since(known.readingAt) > t.options.MaxAge {
		known.readingAt, known.reading = came, told
	}
	t.updatePeer(address, known)
	return nil
}

// clockLead is by how much the other's clock was ahead when its answer came: the
// answer that was quickest underway leaves an order the most time.
func (h HeartbeatResponse) clockLead(came clock.Instant) int64 { return h.Reading - int64(came) }

// readingLifetime is how many times Fresh a reading is used before it is asked for
// again.
const readingLifetime = 4

// RemoteDeadline makes the end of an order that is passed on now and given up at the
// instant named. Where the receiver's clock is not known it is asked.
func (t *Tracker) RemoteDeadline(ctx scope.Scope, address ids.Address, giveUp clock.Instant) (Deadline, error) {
	known, found := t.peerReading(address)
	if !found || ctx.Now().Since(known.readingAt) > readingLifetime*t.options.MaxAge {
		if err := t.heartbeat(ctx, address); err != nil {
			return Deadline{}, err
		}
		if known, found = t.peerReading(address); !found {
			return Deadline{}, errkind.Errorf(errkind.NoQuorum, "%s tells no reading of its clock", address)
		}
	}
	left := giveUp.Since(known.readingAt)
	return Deadline{Incarnation: known.reading.Incarnation, End: known.reading.Reading + int64(left-left/100)}, nil
}

func (t *Tracker) peerReading(address ids.Address) (peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[address]
	return known, known.reading.Incarnation != 0
}

// WithinDeadline tells whether an order that was passed here may still be begun.
func (t *Tracker) WithinDeadline(stamp Deadline, now clock.Instant) bool {
	return stamp.Incarnation == t.options.Incarnation && int64(now) < stamp.End
}

// Run keeps contact fresh, or finds that it is lost, until the scope ends.
func (t *Tracker) Run(ctx scope.Scope) {
	fresh := t.options.MaxAge
	t.mu.Lock()
	t.lastTick = ctx.Now()
	t.mu.Unlock()
	for ctx.Wait(fresh * 2 / 3) {
		t.recentlyStalled(ctx.Now())
		_, _ = t.AllVotersAge(ctx.Now())
		age, known := t.MajorityAge(ctx.Now())
		if !known || age > fresh/3 {
			t.heartbeatRound(ctx)
		}
		t.logTransition(ctx, known && age <= fresh+t.options.RoundTimeout && t.answeredSinceSilence(ctx.Now().Add(-age)))
	}
}
