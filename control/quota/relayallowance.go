package quota

import (
	"context"
	"math"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

const (
	// renewIntervals is the number of intervals between two renewals of a relay's
	// allowances.
	renewIntervals = 4
	// demandTimeConstant is the time constant of the moving average of used credit.
	demandTimeConstant = 2 * time.Second
	// allowanceMargin is the ratio of the requested allowance to the average use.
	allowanceMargin = 1.5
	// A relay requests a new allowance if the wanted rate is more than
	// allowanceRiseThreshold times, or less than allowanceFallThreshold times, the held one.
	allowanceRiseThreshold = 1.1
	allowanceFallThreshold = 0.5
	// minAllowanceFraction is the lowest rate that is requested, as a fraction of the
	// tenant's rate.
	minAllowanceFraction = 0.005
)

// relayAllowances are the rates at which a relay may grant credit while the issuer is
// unavailable. The relay's mutex guards them.
type relayAllowances struct {
	// rates are valid until expiry and were granted in epoch.
	rates  map[ids.Tenant]float64
	expiry clock.Instant
	epoch  int64
	// routers is the number of routers in contact with this relay at the last renewal.
	routers int64
	// isSynced says that the issuer of that epoch knows all rates. renewedAt is when the
	// last renewal was started.
	isSynced  bool
	renewedAt clock.Instant
	// measuredAt is when the average use of credit was last updated.
	measuredAt clock.Instant
	// lastActiveAt is when the relay last ran a refill. A relay that was suspended for
	// longer than DetachTimeout gives up its allowances, since its routers may have carried
	// on without it.
	lastActiveAt clock.Instant
}

// renewAllowances reports the zone's use of credit to the issuer, and stores the rates that
// the relay may use if the issuer becomes unavailable.
func (r *Relay) renewAllowances(ctx context.Context, cfg *config.Config) {
	now := r.options.Clock.Now()
	req, due := r.allowanceRequest(cfg, now)
	if !due {
		return
	}
	resp, err := r.options.RenewAllowances(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.allowances
	if err != nil || !resp.Issuer || len(resp.Rates) != len(req.Allowances) {
		// The outcome of the request is unknown, so the next one lists all allowances.
		a.isSynced = false
		return
	}
	if resp.Epoch != a.epoch && !req.IsWhole {
		a.isSynced = false
		return
	}
	a.isSynced, a.epoch, a.routers = true, resp.Epoch, r.routersInContact(now)
	a.expiry = now.Add(time.Duration(resp.TTLMS) * time.Millisecond)
	for index, allowance := range req.Allowances {
		a.set(allowance.Tenant, resp.Rates[index])
	}
}

func (a *relayAllowances) set(tenant ids.Tenant, rate float64) {
	if rate <= 0 {
		delete(a.rates, tenant)
		return
	}
	if a.rates == nil {
		a.rates = map[ids.Tenant]float64{}
	}
	a.rates[tenant] = rate
}

// allowanceRequest returns the next request for allowances. due is false until the next
// renewal.
func (r *Relay) allowanceRequest(cfg *config.Config, now clock.Instant) (req AllowanceRequest, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measureDemand(now)
	a := &r.allowances
	if now.Since(a.renewedAt) < renewIntervals*r.options.Policy.RefillInterval() {
		return AllowanceRequest{}, false
	}
	a.renewedAt = now
	if !now.Before(a.expiry) {
		clear(a.rates)
	}
	req = AllowanceRequest{From: r.options.Address, IsWhole: !a.isSynced}
	for name, p := range r.pools {
		tenant, held := cfg.Tenant(name), a.rates[name]
		if tenant == nil || !tenant.HasQuota() {
			continue
		}
		wanted := allowanceMargin * p.demand
		if wanted < minAllowanceFraction*tenant.RatePerSecond {
			wanted = 0
		}
		changed := wanted > allowanceRiseThreshold*held || wanted < allowanceFallThreshold*held
		if changed || (req.IsWhole && held > 0) {
			req.Allowances = append(req.Allowances, Allowance{Tenant: name, Wanted: wanted, Held: held})
		}
	}
	for name, held := range a.rates {
		if r.pools[name] == nil {
			req.Allowances = append(req.Allowances, Allowance{Tenant: name, Held: held})
		}
	}
	return req, true
}

// measureDemand updates the average use per second of each pool. The caller holds r.mu.
func (r *Relay) measureDemand(now clock.Instant) {
	a := &r.allowances
	elapsed := now.Since(a.measuredAt)
	if elapsed <= 0 {
		return
	}
	a.measuredAt = now
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	for _, p := range r.pools {
		p.demand += weight * (max(0, p.granted)/elapsed.Seconds() - p.demand)
		p.granted = 0
	}
}

// recordActivity records that the relay runs a refill. If the last one was more than
// DetachTimeout ago, the allowances expire.
func (r *Relay) recordActivity() {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.allowances
	if now.Since(a.lastActiveAt) > r.options.Policy.DetachTimeout(false) {
		a.expiry = min(a.expiry, now)
	}
	a.lastActiveAt = now
}

// takeAllowance takes an amount from what a tenant's allowance has accrued since the issuer
// stopped counting this relay's routers. It takes nothing while the issuer may count them.
// The caller holds r.mu.
func (r *Relay) takeAllowance(p *pool, tenant *config.Tenant, amount float64, now clock.Instant) bool {
	a := &r.allowances
	rate := a.rates[tenant.Name]
	if r.routersCounted || r.routersCountedAt == 0 || rate <= 0 || now.Since(a.lastActiveAt) > r.options.Policy.DetachTimeout(false) {
		return false
	}
	if since := r.routersCountedAt.Add(r.options.Policy.ContactTimeout()); p.allowance.FilledAt < since {
		// Before that time the issuer itself issues the allowed rate.
		if now.Before(since) || !now.Before(a.expiry) {
			return false
		}
		p.allowance = Bucket{FilledAt: since, Tokens: r.options.Policy.AllowanceBurst(tenant, rate)}
	}
	if all := r.options.Routers(); all > 0 {
		rate -= float64(r.missingRouters(now)) / float64(all) * tenant.RatePerSecond
	}
	p.allowance.Fill(Limit{RatePerSecond: max(0, rate), Burst: math.Inf(1)}, min(now, a.expiry))
	return p.allowance.Take(amount)
}

// missingRouters returns how many fewer routers now send requests here without using their
// own share than were in contact when the allowances were last renewed. The missing routers
// may be using their own shares. The caller holds r.mu.
func (r *Relay) missingRouters(now clock.Instant) int64 {
	asking := r.countRouters(now, func(contact routerContact) bool { return !contact.usesOwnShare })
	return max(0, r.allowances.routers-asking)
}

// grantFromAllowances grants from the allowances the immediate needs that are not granted
// yet.
func (r *Relay) grantFromAllowances(cfg *config.Config, req AcquireRequest, amounts []float64) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for index, need := range req.Needs {
		tenant := cfg.Tenant(need.Tenant)
		if tenant == nil || !need.Immediate || need.Amount <= 0 || amounts[index] > 0 {
			continue
		}
		if r.takeAllowance(r.pool(need.Tenant, now), tenant, need.Amount, now) {
			amounts[index] = need.Amount
		}
	}
}

// zoneShareStart returns the time from which the zone's share accrues here for a tenant. If
// the relay has an allowance for the tenant, that is not before the allowance expires. The
// caller holds r.mu.
func (r *Relay) zoneShareStart(tenant ids.Tenant) clock.Instant {
	if r.allowances.rates[tenant] > 0 {
		return max(r.zoneShareFrom, r.allowances.expiry)
	}
	return r.zoneShareFrom
}
