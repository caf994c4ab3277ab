package quota

import (
	"onyxwell/base/clock"
	"onyxwell/control/config"
)

// While the issuer is out of contact, a relay grants from the credit it holds unspent,
// which was issued; from what its allowances accrue; and, for tenants without an allowance
// or after its expiry, from its zone's share of the rate: 1/N, for N routers in all, for
// each router that has delegated its own share to the relay. By then the issuer no longer
// counts these routers: a router's share counts here only once it has delegated for longer
// than any other relay may still count it, and the router takes its share back only once
// this relay no longer counts it.

// grantDetached grants immediate needs without the issuer.
func (r *Relay) grantDetached(cfg *config.Config, req AcquireRequest) AcquireResponse {
	resp := AcquireResponse{Routers: int64(r.options.Routers()), Amounts: make([]float64, len(req.Needs))}
	return r.completeDetached(cfg, req, resp)
}

// completeDetached grants, without the issuer, the immediate needs that the response does
// not grant yet.
func (r *Relay) completeDetached(cfg *config.Config, req AcquireRequest, resp AcquireResponse) AcquireResponse {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := r.routers[req.From]
	contact.isAttached = false
	r.routers[req.From] = contact
	share := r.delegatedShare(now)
	for index, need := range req.Needs {
		tenant := cfg.Tenant(need.Tenant)
		if tenant == nil || !need.Immediate || need.Amount <= 0 || resp.Amounts[index] > 0 {
			continue
		}
		p := r.pool(need.Tenant, now)
		p.usedAt = now
		if p.Take(need.Amount) || r.takeAllowance(p, tenant, need.Amount, now) || r.takeZoneShare(p, tenant, need.Amount, share, now) {
			resp.Amounts[index] = need.Amount
		}
	}
	return resp
}

// delegatedShare returns the share of all routers that have delegated to this relay for
// long enough. The caller holds r.mu.
func (r *Relay) delegatedShare(now clock.Instant) float64 {
	all := r.options.Routers()
	if all == 0 {
		return 0
	}
	count := r.countRouters(now, func(contact routerContact) bool { return r.hasDelegated(contact, now) })
	return min(1, float64(count)/float64(all))
}

// hasDelegated reports whether a router has delegated its own share to this relay for long
// enough that no other relay counts it.
func (r *Relay) hasDelegated(contact routerContact, now clock.Instant) bool {
	return contact.delegatingSince > 0 && now.Since(contact.delegatingSince) > r.options.Policy.DetachTimeout(false)
}

// takeZoneShare takes an amount from what the zone's share has accrued for a tenant. The
// caller holds r.mu.
func (r *Relay) takeZoneShare(p *pool, tenant *config.Tenant, amount float64, share float64, now clock.Instant) bool {
	since := r.zoneShareStart(tenant.Name)
	if r.issuerState == issuerAvailable || now.Before(since) {
		return false
	}
	if p.zoneShare.FilledAt < since {
		// Discard what accrued before the last contact with the issuer.
		p.zoneShare = Bucket{FilledAt: since}
	}
	p.zoneShare.Fill(DetachedLimit(tenant, share), now)
	return p.zoneShare.Take(amount)
}
