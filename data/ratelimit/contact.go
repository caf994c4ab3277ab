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
	req.Routers, delegate = l.shareStatus()
	answer, err := l.options.Acquire(ctx, req, delegate)
	answered := answer.Relay != "" && len(answer.Amounts) == len(needs)
	refused := err == nil && !answer.Issuer
	if refused || (err == nil && !answered) {
		err = errNoRelay
	}
	if err == nil || refused || answered || ctx.Err() == nil {
		// That the caller waited no longer says nothing of the relay.
		l.recordContact(err, refused, answer, answered)
	}
	if answered {
		return answer.Amounts, err
	}
	return nil, err
}

// shareStatus returns what requests say of this router's own part.
func (l *Limiter) shareStatus() (routers int64, delegate ids.Address) {
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
	if !l.isShareUnused || now.Since(l.startedAt) < timeout || (l.withheldClaimedAt > 0 && now.Since(l.withheldClaimedAt) > timeout) {
		return false
	}
	if l.withheldClaimedAt == 0 {
		l.withheldClaimedAt, l.delegatingSince = now, l.startedAt
		l.deferOwnShare(now)
	}
	return true
}

// recordContact takes over whether a relay answered, or refused, and how many routers it
// knows of. The first failure after an answer sets when this router's own part of the
// rate begins; those that follow don't put it off, since their requests don't count
// this router in. The answer of a relay out of contact with the issuer does: the part is
// left to that relay until it may count this router in no more.
func (l *Limiter) recordContact(err error, refused bool, answer quota.RelayAnswer, answered bool) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedRouters = max(l.reportedRouters, int(answer.Routers))
	if err == nil {
		l.isAttached, l.delegate, l.skipRelaysUntil = true, "", 0
		l.isShareUnused = false
		return
	}
	if l.isAttached {
		l.ownShareFrom = now.Add(l.options.Policy.DetachTimeout(refused))
	}
	if !answered || answer.Relay != l.delegate {
		// Requests that are on their way delegate, too.
		l.deferOwnShare(now)
		l.isShareUnused = l.isShareUnused && l.withheldClaimedAt == 0
		l.delegate, l.delegatingSince = "", now
	}
	l.isAttached = false
	if answered {
		l.delegate, l.skipRelaysUntil = answer.Relay, 0
		l.deferOwnShare(now)
		return
	}
	l.skipRelaysUntil = now.Add(l.options.Policy.RefillInterval())
}

// deferOwnShare puts this router's own part off until the relay that it is left to counts it
// in no more, if that may count it in by now. The caller holds l.mu.
func (l *Limiter) deferOwnShare(now clock.Instant) {
	if l.delegate != "" && now.Since(l.delegatingSince) >= l.options.Policy.DelegationDelay() {
		l.ownShareFrom = max(l.ownShareFrom, now.Add(l.options.Policy.DetachTimeout(false)))
	}
}

// routers returns how many routers there may be, as known here or to a relay, whichever
// knows of more; 0 is not known. The caller holds l.mu.
func (l *Limiter) routers() int { return max(l.options.Routers(), l.reportedRouters) }
