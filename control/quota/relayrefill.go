package quota

import (
	"context"

	"onyxwell/control/config"
)

// Refill asks the issuer for credit to be kept, for each tenant in use. It asks for
// none but to be in contact, too, while routers ask here. Run calls it.
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

// addIssued adds what was issued to the pools.
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

// refillNeeds returns what the pools of tenants in use lack or have to give back,
// and whether any router asks here. Pools that were not used for long are given back
// whole.
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
		case tenant == nil || !tenant.Limited():
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
