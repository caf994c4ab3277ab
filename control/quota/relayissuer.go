package quota

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// errNoIssuer says that no issuer answered.
var errNoIssuer = errkind.Errorf(errkind.NotReady, "no issuer of quotas")

// issuerState is what came of a relay's last request to the issuer; 0 is that there was
// none.
type issuerState int

const (
	// issuerAvailable: it was answered.
	issuerAvailable issuerState = iota + 1
	// issuerUnavailable: it was not. No router's need is passed on until FillUp has an answer:
	// a router would wait no longer than this relay, and be granted nothing.
	issuerUnavailable
)

// issueIfAvailable is issue, but while the issuer is silent.
func (r *Relay) issueIfAvailable(ctx context.Context, needs []Need) ([]float64, error) {
	if r.isIssuerUnavailable() {
		return nil, errNoIssuer
	}
	return r.issue(ctx, needs)
}

// issue asks the issuer and returns what it granted of each need. That it failed says nothing
// of the issuer yet: a request that needs a new connection to another region may take as long
// as a router waits. FillUp, which asks all the time, decides.
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

// recordIssuerResponse takes over that the issuer answered a request.
func (r *Relay) recordIssuerResponse(askedAt clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issuerState, r.lastContactAt = issuerAvailable, max(r.lastContactAt, askedAt)
	r.lastIssueFailed = false
}

// recordIssuerFailure takes over that a request was not answered: the next one counts no router in.
func (r *Relay) recordIssuerFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastIssueFailed, r.routersCounted = true, false
}

// markIssuerUnavailable takes over that the issuer did not answer. The first time sets when the zone's
// part begins.
func (r *Relay) markIssuerUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.issuerState == issuerAvailable {
		r.zoneShareFrom = r.options.Clock.Now().Add(r.options.Policy.DetachTimeout(false))
	}
	r.issuerState, r.routersCounted = issuerUnavailable, false
}

// isIssuerUnavailable reports whether the issuer did not answer FillUp.
func (r *Relay) isIssuerUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuerState == issuerUnavailable
}
