package ratelimit

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/control/config"
	"onyxwell/control/quota"
)

// Run fills the credit of tenants in use up, and keeps in contact with a relay while
// any tenant has a quota, until ctx ends.
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

// refillNeeds returns what the credits of tenants in use lack or have to give back.
func (l *Limiter) refillNeeds(cfg *config.Config) []quota.Need {
	var needs []quota.Need
	now := l.options.Clock.Now()
	idle := idleIntervals * l.options.Policy.RefillInterval()
	l.mu.Lock()
	defer l.mu.Unlock()
	routers := l.routers()
	for name, c := range l.credits {
		tenant := cfg.Tenant(name)
		if tenant == nil || !tenant.Limited() || now.Since(c.usedAt) > forgetAfter {
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
