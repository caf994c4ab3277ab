package proxy

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// identifyTenant finds the tenant that holds the request's key. It reads the
// configuration in force for every request, also on a connection that was let in
// before: a key may be taken away in between.
func (e *exchange) identifyTenant() error {
	cfg := e.snapshot.Config
	if keys := e.req.Header[upstream.KeyHeader]; len(keys) == 1 {
		e.tenant = cfg.TenantByKey(keys[0])
	}
	if !cfg.RequiresKey(e.route) {
		return nil
	}
	if e.tenant == nil {
		return e.unknown(errkind.UnknownKey)
	}
	if e.proxy.mayBeRevoked(e.snapshot, e.arrivedAt) {
		return errkind.Errorf(errkind.OutOfContact, "the key may have been revoked")
	}
	return nil
}

// mayBeRevoked reports whether this router has been cut off for so long that it must serve no
// keys.
func (p *Proxy) mayBeRevoked(snap *snapshot.Snapshot, now clock.Instant) bool {
	return p.revokedKeyTimeout > 0 && snap.CutOffSince > 0 && now.Since(snap.CutOffSince) >= p.revokedKeyTimeout
}

// unknown returns the error of a request whose route or key the configuration in force here
// does not have. While this router is cut off a newer one may have it.
func (e *exchange) unknown(kind errkind.Kind) error {
	if e.snapshot.CutOffSince > 0 {
		kind = errkind.OutOfContact
	}
	return errkind.Errorf(kind, "")
}

// chargeQuota charges the request to its tenant's quota. It returns false where that
// is used up.
func (e *exchange) chargeQuota() bool {
	if e.tenant == nil || !e.tenant.Limited() {
		return true
	}
	ctx, cancel := e.proxy.clock.WithTimeout(e.req.Context(), e.proxy.limiter.MaxWait(e.route.LatencyTarget()))
	defer cancel()
	charge, ok := e.proxy.limiter.Admit(ctx, e.tenant, e.balancerRequest.QuotaCost())
	e.charge = charge
	return ok
}

// refundQuota gives the charge of a request back that no runner ran.
func (e *exchange) refundQuota() {
	if !e.mayHaveRun() {
		e.proxy.limiter.Refund(e.charge)
	}
}

// countUsage counts the request once a runner has begun it, at the head of its first
// response: whatever comes of it later, and wherever it is resumed, it counts once.
func (e *exchange) countUsage(resp *http.Response) {
	if e.proxy.began == nil || e.tenant == nil || e.counted || resp.StatusCode != http.StatusOK {
		return
	}
	e.counted = true
	e.proxy.began(e.tenant.Name, 0)
}
