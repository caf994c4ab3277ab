package quorum

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Run sends heartbeats to keep contact recent, and logs its loss and return, until
// ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	maxAge := t.options.MaxAge
	t.mu.Lock()
	t.lastTick = t.options.Clock.Now()
	t.mu.Unlock()
	for clock.Wait(ctx, t.options.Clock, maxAge*2/3) {
		t.detectStall(t.options.Clock.Now())
		_, _ = t.AllVotersContactAge(t.options.Clock.Now())
		age, ok := t.MajorityContactAge(t.options.Clock.Now())
		if !ok || age > maxAge/3 {
			t.heartbeatRound(ctx)
		}
		t.logTransition(ok && age <= maxAge+t.options.RoundTimeout && t.contactAfterLoss(t.options.Clock.Now().Add(-age)))
	}
}

// heartbeatRound sends a heartbeat to every other voter without waiting for the
// responses. It does nothing within one heartbeat interval of the previous round,
// so that concurrent commands share rounds.
func (t *Tracker) heartbeatRound(ctx context.Context) {
	now := t.options.Clock.Now()
	t.mu.Lock()
	tooSoon := t.lastRound > 0 && now.Since(t.lastRound) < t.heartbeatInterval()
	if !tooSoon {
		t.lastRound = now
	}
	t.mu.Unlock()
	if tooSoon {
		return
	}
	for _, member := range t.options.Voters().Members {
		if member.Address != t.options.Address {
			t.options.Spawn(func() {
				// A late response still proves contact as of when its request was
				// sent, so the heartbeat may outlive the caller.
				ctx, cancel := t.options.Clock.WithTimeout(context.WithoutCancel(ctx), 2*t.options.MaxAge)
				defer cancel()
				_ = t.heartbeat(ctx, member.Address)
			})
		}
	}
}

// heartbeat sends a heartbeat to one voter and records its response.
func (t *Tracker) heartbeat(ctx context.Context, address ids.Address) error {
	sent := t.options.Clock.Now()
	resp, err := t.options.Heartbeat(ctx, address)
	if err != nil {
		return err
	}
	received := t.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p.lastContact < sent {
		// Otherwise a later request was answered first, and this round-trip time
		// reflects a lost packet rather than the latency of the path.
		p.lastContact, p.rtts = sent, p.rtts.with(received.Since(sent))
	}
	if p.reading.Incarnation != resp.Incarnation || resp.clockOffset(received) >= p.reading.clockOffset(p.readingAt) ||
		received.Since(p.readingAt) > t.options.MaxAge {
		p.readingAt, p.reading = received, resp
	}
	t.updatePeer(address, p)
	return nil
}
