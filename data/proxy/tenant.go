package proxy

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// identifyTenant finds the tenant to which the request's key belongs, and checks
// the key if the route requires one. Keys are looked up for every request, not once
// per connection, because a key may be revoked while a connection is open.
func (e *exchange) identifyTenant() error {
	cfg := e.snapshot.Config
	if keys := e.req.Header[upstream.APIKeyHeader]; len(keys) == 1 {
		e.tenant = cfg.TenantByKey(keys[0])
	}
	if !cfg.RequiresKey(e.route) {
		return nil
	}
	if e.tenant == nil {
		return e.unknownError(errkind.UnknownKey)
	}
	if e.proxy.mayBeRevoked(e.snapshot, e.arrivedAt) {
		return errkind.Errorf(errkind.OutOfContact, "the key may have been revoked")
	}
	return nil
}

// mayBeRevoked reports whether this router has been cut off for revokedKeyTimeout or
// longer, so that it must not accept keys any more.
func (p *Proxy) mayBeRevoked(snap *snapshot.Snapshot, now clock.Instant) bool {
	return p.revokedKeyTimeout > 0 && snap.CutOffSince > 0 && now.Since(snap.CutOffSince) >= p.revokedKeyTimeout
}

// unknownError returns the error for a request whose route or key is not in this router's
// configuration. While the router is cut off, a newer configuration that it has not
// received may have it, so the kind is errkind.OutOfContact then.
func (e *exchange) unknownError(kind errkind.Kind) error {
	if e.snapshot.CutOffSince > 0 {
		kind = errkind.OutOfContact
	}
	return errkind.Errorf(kind, "")
}

// chargeQuota charges the request to its tenant's quota. It reports false if the quota
// is exhausted.
func (e *exchange) chargeQuota() bool {
	if e.tenant == nil || !e.tenant.HasQuota() {
		return true
	}
	ctx, cancel := e.proxy.clock.WithTimeout(e.req.Context(), e.proxy.limiter.MaxWait(e.route.LatencyTarget()))
	defer cancel()
	charge, ok := e.proxy.limiter.Admit(ctx, e.tenant, e.balancerRequest.QuotaCost())
	e.charge = charge
	return ok
}

// refundQuota refunds the charge of a request that no runner has executed.
func (e *exchange) refundQuota() {
	if !e.mayHaveRun() {
		e.proxy.limiter.Refund(e.charge)
	}
}

// countUsage counts a tenant's request when a runner's response with status 200 begins.
// A request counts once, also if it fails later or is retried or resumed at another runner.
func (e *exchange) countUsage(resp *http.Response) {
	if e.proxy.onRequestBegan == nil || e.tenant == nil || e.usageCounted || resp.StatusCode != http.StatusOK {
		return
	}
	e.usageCounted = true
	e.proxy.onRequestBegan(e.tenant.Name, 0)
}
