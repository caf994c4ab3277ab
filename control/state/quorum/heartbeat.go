package quorum

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Run keeps contact fresh, or finds that it is lost, until ctx ends.
func (t *Tracker) Run(ctx scope.Scope) {
	maxAge := t.options.MaxAge
	t.mu.Lock()
	t.lastTick = ctx.Now()
	t.mu.Unlock()
	for ctx.Wait(maxAge * 2 / 3) {
		t.recentlyStalled(ctx.Now())
		_, _ = t.AllVotersAge(ctx.Now())
		age, ok := t.MajorityAge(ctx.Now())
		if !ok || age > maxAge/3 {
			t.heartbeatRound(ctx)
		}
		t.logTransition(ctx, ok && age <= maxAge+t.options.RoundTimeout && t.answeredSinceSilence(ctx.Now().Add(-age)))
	}
}

// heartbeatRound sends a heartbeat to every other voter and does not wait for
// the responses. It does nothing within one interval of the round before, so
// concurrent commands share their rounds.
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
	for _, member := range t.options.Voters().Members {
		if member.Address != t.options.Address {
			t.options.Spawn(func() {
				// A late response still shows contact as of when its request was
				// sent, so it may outlive the caller.
				ctx, cancel := ctx.WithoutCancel().WithTimeout(2 * t.options.MaxAge)
				defer cancel()
				_ = t.heartbeat(ctx, member.Address)
			})
		}
	}
}

// heartbeat sends a heartbeat to one voter and records its response.
func (t *Tracker) heartbeat(ctx scope.Scope, address ids.Address) error {
	sent := ctx.Now()
	resp, err := t.options.Heartbeat(ctx, address)
	if err != nil {
		return err
	}
	received := ctx.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p.lastContact < sent {
		// Otherwise a later request was answered first: this round trip says more
		// of a lost packet than of the path.
		p.lastContact, p.rtts = sent, p.rtts.with(received.Since(sent))
	}
	if p.reading.Incarnation != resp.Incarnation || resp.clockLead(received) >= p.reading.clockLead(p.readingAt) ||
		received.Since(p.readingAt) > t.options.MaxAge {
		p.readingAt, p.reading = received, resp
	}
	t.updatePeer(address, p)
	return nil
}
