package quota

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// errNoIssuer reports that no issuer gave a usable response.
var errNoIssuer = errkind.Errorf(errkind.NotReady, "no quota issuer available")

// issuerState says whether the issuer is taken to be available; 0 means that this is not
// known yet.
type issuerState int

const (
	// issuerAvailable: the issuer responded, and has not been found unavailable since.
	issuerAvailable issuerState = iota + 1
	// issuerUnavailable: a Refill, or an Acquire without recent contact, got no response.
	// Until Refill gets one, no router's need is passed on to the issuer: a router would
	// wait no longer than this relay does, and be granted nothing.
	issuerUnavailable
)

// issueIfAvailable calls issue unless the issuer is known to be unavailable.
func (r *Relay) issueIfAvailable(ctx context.Context, needs []Need) ([]float64, error) {
	if r.isIssuerUnavailable() {
		return nil, errNoIssuer
	}
	return r.issue(ctx, needs)
}

// issue requests credit from the issuer and returns the amount granted for each need. A
// failure alone does not make the issuer unavailable: a request that needs a new connection
// to another region may take as long as a router waits. Refill, which sends a request every
// interval, decides that, and so does Acquire once the last contact is too old.
func (r *Relay) issue(ctx context.Context, needs []Need) ([]float64, error) {
	req := AcquireRequest{From: r.options.Address, Needs: needs}
	r.mu.Lock()
	if r.issuerState == issuerAvailable && !r.lastIssueFailed {
		req.Routers = r.routersInContact(r.options.Clock.Now())
		if req.Routers > 0 {
			r.routersCounted, r.routersCountedAt = true, r.options.Clock.Now()
		}
	}
	r.mu.Unlock()
	started := r.options.Clock.Now()
	resp, err := r.options.Issue(ctx, req)
	if err == nil && (!resp.Issuer || len(resp.Amounts) != len(needs)) {
		err = errNoIssuer
	}
	if err != nil {
		r.recordIssuerFailure()
		return nil, err
	}
	r.recordIssuerResponse(started)
	return resp.Amounts, nil
}

// recordIssuerResponse records that the issuer responded to a request sent at askedAt.
func (r *Relay) recordIssuerResponse(askedAt clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issuerState, r.lastContactAt = issuerAvailable, max(r.lastContactAt, askedAt)
	r.lastIssueFailed = false
}

// recordIssuerFailure records that a request failed. The next one reports no routers.
func (r *Relay) recordIssuerFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastIssueFailed, r.routersCounted = true, false
}

// markIssuerUnavailable records that the issuer is unavailable. If it was available before,
// the zone's share starts to accrue after DetachTimeout.
func (r *Relay) markIssuerUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.issuerState == issuerAvailable {
		r.zoneShareFrom = r.options.Clock.Now().Add(r.options.Policy.DetachTimeout(false))
	}
	r.issuerState, r.routersCounted = issuerUnavailable, false
}

// isIssuerUnavailable reports whether the issuer is known to be unavailable.
func (r *Relay) isIssuerUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuerState == issuerUnavailable
}
