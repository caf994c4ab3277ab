package ratelimit

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/quota"
)

// acquire asks for credit and returns what is granted of each need. With an error there
// may be grants, too: of a relay out of contact with the issuer.
func (l *Limiter) acquire(ctx context.Context, needs []quota.Need) ([]float64, error) {
	req := quota.AcquireRequest{Needs: needs}
	var delegate ids.Address
	req.Routers, delegate = l.contact()
	answer, err := l.options.Acquire(ctx, req, delegate)
	answered := answer.Relay != "" && len(answer.Amounts) == len(needs)
	refused := err == nil && !answer.Issuer
	if refused || (err == nil && !answered) {
		err = errNoRelay
	}
	if err == nil || refused || answered || ctx.Err() == nil {
		// That the caller waited no longer says nothing of the relay.
		l.noteContact(err, refused, answer, answered)
	}
	if answered {
		return answer.Amounts, err
	}
	return nil, err
}

// contact returns what requests say of this router's own part.
func (l *Limiter) contact() (routers int64, delegate ids.Address) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.isAttached:
		return 1, ""
	case l.delegate != "" && l.claimWithheld(l.options.Clock.Now()):
		return quota.Withheld, l.delegate
	case l.delegate != "":
		return quota.Delegating, l.delegate
	}
	return 0, ""
}

// claimWithheld reports whether this router may tell its delegate that it has used no part of its
// own since it started, and has it use none from then on. Relays that know of that need to be told
// for a moment only. The caller holds l.mu.
func (l *Limiter) claimWithheld(now clock.Instant) bool {
	timeout := l.options.Policy.DetachTimeout(false)
	if !l.isUntouched || now.Since(l.startedAt) < timeout || (l.claimedAt > 0 && now.Since(l.claimedAt) > timeout) {
		return false
	}
	if l.claimedAt == 0 {
		l.claimedAt, l.delegateSince = now, l.startedAt
		l.withholdOwn(now)
	}
	return true
}

// noteContact takes over whether a relay answered, or refused, and how many routers it
// knows of. The first failure after an answer sets when this router's own part of the
// rate begins; those that follow don't put it off, since their requests don't count
// this router in. The answer of a relay out of contact with the issuer does: the part is
// left to that relay until it may count this router in no more.
func (l *Limiter) noteContact(err error, refused bool, answer quota.RelayAnswer, answered bool) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relayRouters = max(l.relayRouters, int(answer.Routers))
	if err == nil {
		l.isAttached, l.delegate, l.detachedUntil = true, "", 0
		l.isUntouched = false
		return
	}
	if l.isAttached {
		l.ownSince = now.Add(l.options.Policy.DetachTimeout(refused))
	}
	if !answered || answer.Relay != l.delegate {
		// Requests that are on their way delegate, too.
		l.withholdOwn(now)
		l.isUntouched = l.isUntouched && l.claimedAt == 0
		l.delegate, l.delegateSince = "", now
	}
	l.isAttached = false
	if answered {
		l.delegate, l.detachedUntil = answer.Relay, 0
		l.withholdOwn(now)
		return
	}
	l.detachedUntil = now.Add(l.options.Policy.RefillInterval())
}

// withholdOwn puts this router's own part off until the relay that it is left to counts it
// in no more, if that may count it in by now. The caller holds l.mu.
func (l *Limiter) withholdOwn(now clock.Instant) {
	if l.delegate != "" && now.Since(l.delegateSince) >= l.options.Policy.DelegationDelay() {
		l.ownSince = max(l.ownSince, now.Add(l.options.Policy.DetachTimeout(false)))
	}
}

// routers returns how many routers there may be, as known here or to a relay, whichever
// knows of more; 0 is not known. The caller holds l.mu.
func (l *Limiter) routers() int { return max(l.options.Routers(), l.relayRouters) }
