package quota

import (
	"context"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

const (
	// denialDivisor divides the refill interval into the time for which, after the issuer
	// denied a tenant's need, a relay does not ask it for the same or a larger amount.
	denialDivisor = 4
	// idleIntervals is the number of intervals without a need after which a tenant's
	// credit is no longer refilled.
	idleIntervals = 8
)

// RelayOptions configure a Relay. All are required.
type RelayOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Policy  Policy
	// Zones is the number of zones of the deployment.
	Zones int
	// Config returns the active configuration, or nil if there is none.
	Config func() *config.Config
	// Routers returns the largest number of routers that may exist; 0 means unknown.
	Routers func() int
	// Issue requests credit from the issuer. An error means that no issuer responded.
	Issue func(ctx context.Context, req AcquireRequest) (AcquireResponse, error)
	// RenewAllowances requests allowances from the issuer. An error means that no issuer
	// responded.
	RenewAllowances func(ctx context.Context, req AllowanceRequest) (AllowanceResponse, error)
}

// Relay grants the issuer's credit to the routers of its zone. While the issuer is
// unavailable, it grants from its unspent credit, its allowances and its zone's share.
// Every daemon has a relay; it is active while routers send requests to it. It is safe for
// concurrent use.
type Relay struct {
	options RelayOptions

	mu sync.Mutex
	// routers has the last request of each router.
	routers map[ids.Address]routerContact
	pools   map[ids.Tenant]*pool
	// lastContactAt is when the latest request that the issuer answered was sent; 0 means
	// never.
	lastContactAt clock.Instant
	issuerState   issuerState
	// lastIssueFailed says that the last request to the issuer failed.
	lastIssueFailed bool
	// routersCounted says that the issuer may count this relay's routers, so that the
	// allowances must not be used. routersCountedAt is when a request last reported
	// routers; 0 means never.
	routersCounted   bool
	routersCountedAt clock.Instant
	// zoneShareFrom is the time from which the zone's share accrues here while the issuer
	// is out of contact: by then the issuer no longer counts any of the routers.
	zoneShareFrom clock.Instant
	// allowances are the rates that the relay may use while the issuer is unavailable.
	allowances relayAllowances
}

// routerContact describes the last request of a router.
type routerContact struct {
	at clock.Instant
	// isAttached says that the router received the response to its previous request.
	// usesOwnShare says that it may use its own share.
	isAttached, usesOwnShare bool
	// delegatingSince is the time since which the router has continuously delegated its own
	// share to this relay; 0 if it does not.
	delegatingSince clock.Instant
}

// pool holds the unspent credit of a tenant.
type pool struct {
	Bucket
	// zoneShare holds what the zone's share has accrued. It is used only while the issuer
	// is out of contact, and is never returned to the issuer.
	zoneShare Bucket
	// allowance holds what the tenant's allowance has accrued since the issuer stopped
	// counting this relay's routers.
	allowance Bucket
	// granted is the credit granted since demand, the average use per second, was last
	// updated.
	granted, demand float64
	usedAt          clock.Instant
	denial          Denial
}

// NewRelay returns a Relay without credit.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{
		options: options, routers: map[ids.Address]routerContact{}, pools: map[ids.Tenant]*pool{},
		zoneShareFrom: options.Clock.Now().Add(options.Policy.DetachTimeout(false)),
	}
}

// Run refills the credit of tenants in use and keeps the relay in contact with the issuer,
// until ctx is canceled.
func (r *Relay) Run(ctx context.Context) {
	for clock.Wait(ctx, r.options.Clock, r.options.Policy.RefillInterval()) {
		r.Refill(ctx)
	}
}

// Acquire grants credit to a router, from the unspent credit and the allowances or, for an
// immediate need that these do not cover, from the issuer. While the issuer is unavailable,
// it grants from the unspent credit, the allowances and the zone's share, without waiting.
// It returns an error if there is no configuration or if ctx ended.
func (r *Relay) Acquire(ctx context.Context, req AcquireRequest) (AcquireResponse, error) {
	cfg := r.options.Config()
	if cfg == nil {
		return AcquireResponse{}, errkind.Errorf(errkind.NotReady, "no configuration available")
	}
	if !r.inContact(req) {
		if _, err := r.issueIfAvailable(ctx, nil); err != nil && ctx.Err() != nil {
			return AcquireResponse{}, ctx.Err()
		} else if err != nil {
			r.markIssuerUnavailable()
			return r.grantDetached(cfg, req), nil
		}
	}
	resp := AcquireResponse{Issuer: true, Routers: int64(r.options.Routers()), Amounts: make([]float64, len(req.Needs))}
	uncovered := r.grantUnspent(cfg, req, resp.Amounts)
	if len(uncovered) == 0 {
		return resp, nil
	}
	var needs []Need
	for _, partial := range uncovered {
		needs = append(needs, partial.remainder())
	}
	issued, err := r.issueIfAvailable(ctx, needs)
	if err != nil {
		r.putBack(uncovered)
		return r.completeWithoutIssuer(ctx, cfg, req, resp)
	}
	for position, partial := range uncovered {
		if issued[position] > 0 {
			resp.Amounts[partial.index] = partial.need.Amount
			r.recordGrant(partial.need)
			continue
		}
		r.putBack(uncovered[position : position+1])
		r.recordDenial(partial.remainder())
	}
	return resp, nil
}

// completeWithoutIssuer completes a response after the request to the issuer for the
// uncovered needs failed. Unless the issuer is known to be unavailable, needs that no
// allowance covers are denied and the routers stay in contact.
func (r *Relay) completeWithoutIssuer(ctx context.Context, cfg *config.Config, req AcquireRequest, resp AcquireResponse) (AcquireResponse, error) {
	if ctx.Err() != nil {
		return AcquireResponse{}, ctx.Err()
	}
	if !r.isIssuerUnavailable() {
		r.grantFromAllowances(cfg, req, resp.Amounts)
		return resp, nil
	}
	resp.Issuer = false
	return r.completeDetached(cfg, req, resp), nil
}

// uncoveredNeed is an immediate need that the pool does not cover in full. What the pool
// had is taken out until the issuer has responded to the request for the remainder.
type uncoveredNeed struct {
	index int
	need  Need
	taken float64
}

// remainder returns the need that has to be requested from the issuer.
func (u uncoveredNeed) remainder() Need {
	rest := u.need
	rest.Amount -= u.taken
	return rest
}

// putBack returns to the pools what was taken for needs that are not granted.
func (r *Relay) putBack(uncovered []uncoveredNeed) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, partial := range uncovered {
		r.pool(partial.need.Tenant, now).Tokens += partial.taken
	}
}

// inContact records a router's request, and reports whether the issuer is available and
// answered a request that was sent within ContactTimeout.
func (r *Relay) inContact(req AcquireRequest) bool {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := routerContact{at: now, isAttached: req.Routers > 0, usesOwnShare: req.Routers == 0}
	if req.Routers < 0 {
		contact.delegatingSince = now
		if req.Routers == Withheld {
			contact.delegatingSince = now.Add(-r.options.Policy.DetachTimeout(false) - 1)
		}
		if last, ok := r.routers[req.From]; ok && last.delegatingSince > 0 && now.Since(last.at) <= r.options.Policy.ContactTimeout() {
			contact.delegatingSince = min(contact.delegatingSince, last.delegatingSince)
		}
	}
	r.routers[req.From] = contact
	return r.issuerState == issuerAvailable && now.Since(r.lastContactAt) <= r.options.Policy.ContactTimeout()
}

// grantUnspent grants needs from the pools and the allowances. It returns the immediate
// needs whose remainder has to be requested from the issuer.
func (r *Relay) grantUnspent(cfg *config.Config, req AcquireRequest, amounts []float64) (uncovered []uncoveredNeed) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for index, need := range req.Needs {
		tenant := cfg.Tenant(need.Tenant)
		if tenant == nil {
			continue
		}
		p := r.pool(need.Tenant, now)
		p.usedAt = now
		switch {
		case need.Amount < 0:
			p.Tokens -= need.Amount
			p.granted += need.Amount
		case !need.Immediate:
			amounts[index] = p.TakeUpTo(need.Amount, maxPrefetchFraction)
			p.granted += amounts[index]
		case p.Take(need.Amount) || r.takeAllowance(p, tenant, need.Amount, now):
			amounts[index] = need.Amount
			p.granted += need.Amount
		case !p.denial.Covers(need.Amount-p.Tokens, now):
			uncovered = append(uncovered, uncoveredNeed{index: index, need: need, taken: p.TakeUpTo(need.Amount, 1)})
		}
	}
	return uncovered
}

// routersInContact counts the routers that sent a request within ContactTimeout and do not
// use their own share: those that are attached, and those that have delegated their share
// to this relay for long enough. The caller holds r.mu.
func (r *Relay) routersInContact(now clock.Instant) int64 {
	return r.countRouters(now, func(contact routerContact) bool { return contact.isAttached || r.hasDelegated(contact, now) })
}

// countRouters counts the routers that sent a request within ContactTimeout and for which
// counts returns true. It removes those that sent none. The caller holds r.mu.
func (r *Relay) countRouters(now clock.Instant, counts func(routerContact) bool) int64 {
	count := int64(0)
	for address, contact := range r.routers {
		if now.Since(contact.at) > r.options.Policy.ContactTimeout() {
			delete(r.routers, address)
		} else if counts(contact) {
			count++
		}
	}
	return count
}

// pool returns a tenant's pool, and adds an empty one if there is none. The caller holds
// r.mu.
func (r *Relay) pool(tenant ids.Tenant, now clock.Instant) *pool {
	p := r.pools[tenant]
	if p == nil {
		p = &pool{}
		r.pools[tenant] = p
	}
	return p
}

// recordGrant counts the whole amount of a need as granted, once the issuer has granted its
// remainder.
func (r *Relay) recordGrant(need Need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(need.Tenant, r.options.Clock.Now()).granted += need.Amount
}

// recordDenial records that the issuer denied a need. For a fraction of an interval, the
// issuer is not asked again for that amount or more.
func (r *Relay) recordDenial(need Need) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(need.Tenant, now).denial.Extend(need.Amount, now.Add(r.options.Policy.RefillInterval()/denialDivisor), now)
}
