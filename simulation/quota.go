package simulation

import (
	"context"
	"fmt"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/quota"
	"onyxwell/data/ratelimit"
)

// quotaTenant is the tenant whose requests arrive at the routers. All configurations
// of the clients give it the same quota.
const quotaTenant ids.Tenant = "alpha"

// quotaTenantJSON is its part of a configuration, rate and burst those of it.
const (
	quotaTenantJSON = `{"name":"alpha","api_keys":["key"],"rate_per_s":100,"burst":100}`
	quotaRate       = 100.0
	quotaBurst      = 100.0
)

const (
	// quotaRequestInterval is the time between the requests that arrive at a router,
	// quotaRequests of them at a time: together six times the quota.
	quotaRequestInterval = 50 * time.Millisecond
	quotaRequests        = 15
)

// admittedRequests are requests of quotaTenant that routers admitted at an instant.
type admittedRequests struct {
	at    time.Duration
	count int
}

// quotaRandom returns the source of a limiter's draws; those of one instant differ.
func (c *Cluster) quotaRandom() func() float64 {
	draws := 0
	return func() float64 {
		draws++
		return c.drawFraction(fmt.Sprint("quota ", draws))
	}
}

// limitRequests has a tenant's requests arrive at a router until ctx ends, and
// records those that its limiter admits.
func (r *router) limitRequests(env scope.Scope, cluster *Cluster) {
	limiter := ratelimit.New(ratelimit.Options{
		Clock: env.Clock, Policy: r.daemon.QuotaPolicy(), Config: r.config, Routers: r.daemon.Zones.LargestRouterCount,
		Acquire: r.daemon.AcquireQuota, Random: cluster.quotaRandom(),
	})
	r.daemon.AddService("quota", limiter.Run)
	r.daemon.AddService("quota requests", func(ctx context.Context) error {
		for clock.Wait(ctx, env.Clock, quotaRequestInterval) {
			cfg := r.config()
			if cfg == nil || cfg.Tenant(quotaTenant) == nil {
				continue
			}
			cluster.admitRequests(ctx, limiter, cfg.Tenant(quotaTenant))
		}
		return nil
	})
}

// admitRequests has one batch of requests ask a limiter.
func (c *Cluster) admitRequests(ctx context.Context, limiter *ratelimit.Limiter, tenant *config.Tenant) {
	admitted := admittedRequests{}
	for range quotaRequests {
		if _, ok := limiter.Admit(ctx, tenant, 1); ok {
			admitted.count++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	admitted.at = c.now()
	c.admitted = append(c.admitted, admitted)
}

// checkQuota checks, after the run, that the requests admitted in no window exceed
// what may run in one.
func (c *Cluster) checkQuota() {
	policy := quota.NewPolicy(c.options.Site.Bounds)
	allowed := (quotaRate*policy.Window.Seconds()+quotaBurst)*(1+policy.Excess) + policy.Slack
	sum, first, total := 0, 0, 0
	for _, request := range c.admitted {
		sum += request.count
		total += request.count
		for c.admitted[first].at+policy.Window < request.at {
			sum -= c.admitted[first].count
			first++
		}
		if float64(sum) > allowed {
			c.violations = append(c.violations, fmt.Sprintf("%s: the routers admitted more of a tenant's requests in %s than the %.0f that its quota allows",
				request.at, policy.Window, allowed))
			return
		}
	}
	c.counts["requests within the quota"] = total
}
