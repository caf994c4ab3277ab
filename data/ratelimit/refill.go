package ratelimit

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/control/config"
	"onyxwell/control/quota"
)

// Run refills the credit of tenants in use and, while any tenant has a quota, keeps the router
// in contact with a relay, until ctx is canceled.
func (l *Limiter) Run(ctx context.Context) error {
	for clock.Wait(ctx, l.options.Clock, l.options.Policy.RefillInterval()) {
		cfg := l.options.Config()
		if cfg == nil || !cfg.HasQuotas() {
			continue
		}
		l.refill(ctx, cfg)
		l.logAdmissions()
	}
	return nil
}

// refill sends one request to the relays, for the credit that the tenants in use lack or have
// to return, and adds the granted credit. It sends a request even if no credit is needed, so
// as to stay in contact.
func (l *Limiter) refill(ctx context.Context, cfg *config.Config) {
	needs := l.refillNeeds(cfg)
	granted, _ := l.acquire(ctx, needs)
	if len(granted) == 0 {
		return
	}
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for index, need := range needs {
		c := l.credit(need.Tenant, now)
		c.Tokens += granted[index]
		if granted[index] > 0 {
			c.denial.Clear()
		}
	}
}

// refillNeeds returns the credit that tenants in use lack or have to return, and takes the
// latter out of their buckets. It removes the credit of tenants that have no quota or that
// were idle for forgetAfter.
func (l *Limiter) refillNeeds(cfg *config.Config) []quota.Need {
	var needs []quota.Need
	now := l.options.Clock.Now()
	idle := idleIntervals * l.options.Policy.RefillInterval()
	l.mu.Lock()
	defer l.mu.Unlock()
	routers := l.routers()
	for name, c := range l.credits {
		tenant := cfg.Tenant(name)
		if tenant == nil || !tenant.HasQuota() || now.Since(c.usedAt) > forgetAfter {
			delete(l.credits, name)
			continue
		}
		limit := 0.0
		if routers > 0 {
			limit = l.options.Policy.RouterCreditLimit(tenant, routers)
		}
		if amount, due := c.Rebalance(limit); due && (amount < 0 || now.Since(c.usedAt) <= idle) {
			needs = append(needs, quota.Need{Tenant: name, Amount: amount})
		}
	}
	return needs
}
