package ratelimit

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/quota"
)

// acquire requests credit from the relays, records whether they responded, and returns the
// amount granted for each need. An error means that no relay in contact with the issuer gave
// a usable response. The amounts may still be set then: they were granted by a relay that is
// out of contact with the issuer.
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
		// Otherwise the caller stopped waiting, which does not show that the relays are
		// unavailable.
		l.recordContact(err, refused, answer, answered)
	}
	if answered {
		return answer.Amounts, err
	}
	return nil, err
}

// shareStatus returns what the next request reports about this router's own share: the value
// of AcquireRequest.Routers, and the relay to which the share is delegated, "" for none.
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

// claimWithheld reports whether the next request to the delegate may send quota.Withheld. From
// the first such request on, the use of the router's own share is deferred as if the share had
// been delegated since the router started. Withheld is sent for no longer than DetachTimeout,
// since a relay that knows the value needs it only once: it keeps counting the router while
// requests that send quota.Delegating follow. The caller holds l.mu.
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

// recordContact records the outcome of a request to the relays, and the number of routers that
// they reported. err is nil if a relay in contact with the issuer responded. refused says that
// no call failed, but no relay was in contact with the issuer. answered says that the response
// is usable, also if its relay is out of contact.
//
// The first failure while attached sets the time from which this router's own share accrues.
// Later failures do not defer it, since requests sent meanwhile do not report this router as
// attached. A response from a relay out of contact with the issuer does defer it: the share is
// then delegated to that relay, until the relay can no longer count this router.
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
		// Requests that are still in flight may delegate the share to the previous relay.
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

// deferOwnShare defers this router's use of its own share until its delegate can no longer
// count it, if the share has been delegated for so long that the delegate may soon count it.
// The caller holds l.mu.
func (l *Limiter) deferOwnShare(now clock.Instant) {
	if l.delegate != "" && now.Since(l.delegatingSince) >= l.options.Policy.DelegationDelay() {
		l.ownShareFrom = max(l.ownShareFrom, now.Add(l.options.Policy.DetachTimeout(false)))
	}
}

// routers returns the largest number of routers that may exist, as known to this router or as
// reported by a relay, whichever is larger; 0 means unknown. The caller holds l.mu.
func (l *Limiter) routers() int { return max(l.options.Routers(), l.reportedRouters) }
