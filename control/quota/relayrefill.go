package quota

import (
	"context"

	"onyxwell/control/config"
)

// Refill prefetches credit from the issuer for each tenant in use. While routers send
// requests here, it contacts the issuer even if no credit is needed, so as to stay in
// contact. Run calls it.
func (r *Relay) Refill(ctx context.Context) {
	cfg := r.options.Config()
	if cfg == nil {
		return
	}
	r.recordActivity()
	needs, active := r.refillNeeds(cfg)
	if !active {
		return
	}
	issued, err := r.issue(ctx, needs)
	if err != nil {
		r.markIssuerUnavailable()
		return
	}
	r.addIssued(needs, issued)
	r.renewAllowances(ctx, cfg)
}

// addIssued adds the issued credit to the pools.
func (r *Relay) addIssued(needs []Need, issued []float64) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for index, need := range needs {
		if issued[index] > 0 {
			r.pool(need.Tenant, now).Tokens += issued[index]
		}
	}
}

// refillNeeds returns the credit that the pools of tenants in use lack or have to return, and
// takes the latter out of them. active reports whether any router sends requests here. Pools
// that were idle for IdleTimeout are removed and returned in full.
func (r *Relay) refillNeeds(cfg *config.Config) (needs []Need, active bool) {
	now := r.options.Clock.Now()
	idle := idleIntervals * r.options.Policy.RefillInterval()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routersInContact(now)
	if len(r.routers) == 0 {
		return nil, false
	}
	for name, p := range r.pools {
		tenant := cfg.Tenant(name)
		switch {
		case tenant == nil || !tenant.HasQuota():
			delete(r.pools, name)
		case now.Since(p.usedAt) > r.options.Policy.IdleTimeout():
			delete(r.pools, name)
			needs = append(needs, Need{Tenant: name, Amount: -p.Tokens})
		case now.Since(p.usedAt) <= idle:
			if amount, due := p.Rebalance(r.options.Policy.RelayCreditLimit(tenant, r.options.Zones)); due {
				needs = append(needs, Need{Tenant: name, Amount: amount})
			}
		}
	}
	return needs, true
}
