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
	// denialDivisor is for which part of an interval, one in so many, a relay does not
	// ask again for a tenant whose bucket the issuer found empty.
	denialDivisor = 4
	// idleIntervals is after how many intervals without a need a tenant's credit is
	// filled up no more.
	idleIntervals = 8
)

// RelayOptions configure a Relay. All are required.
type RelayOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Policy  Policy
	// Zones is how many zones the deployment has.
	Zones int
	// Config returns the configuration in force, nil for none.
	Config func() *config.Config
	// Routers returns how many routers there may be; 0 is not known.
	Routers func() int
	// Issue asks the issuer; its error says that none answered.
	Issue func(ctx context.Context, req AcquireRequest) (AcquireResponse, error)
	// RenewAllowances asks the issuer for allowances; its error says that none answered.
	RenewAllowances func(ctx context.Context, req AllowanceRequest) (AllowanceResponse, error)
}

// Relay passes credit on to the routers of its zone, while the issuer is in contact.
// Every daemon has one; it works while routers ask it. It is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu sync.Mutex
	// routers has when each router asked last, and whether it counts in.
	routers map[ids.Address]routerContact
	pools   map[ids.Tenant]*pool
	// lastContactAt is when the issuer was asked last that answered; 0 is never.
	lastContactAt clock.Instant
	issuerState   issuerState
	// lastIssueFailed says that the last request to the issuer was not answered.
	lastIssueFailed bool
	// routersCounted says that the issuer may count routers in by this relay, so that its allowances
	// are not to be used; countedAt is when the last request said so.
	routersCounted   bool
	routersCountedAt clock.Instant
	// zoneShareFrom is from when on the zone's part accrues here while the issuer is out of
	// contact: it counts in none of the routers any more.
	zoneShareFrom clock.Instant
	// allowances are what the relay goes on with while the issuer is silent.
	allowances relayAllowances
}

// routerContact is the last request of a router.
type routerContact struct {
	at clock.Instant
	// isAttached says that the router got the answer to the request before it; usesOwnShare that it
	// may use its own part.
	isAttached, usesOwnShare bool
	// delegatingSince is since when the router has left its own part to this relay without
	// a break, 0 if it does not.
	delegatingSince clock.Instant
}

// pool is the unspent credit for a tenant.
type pool struct {
	Bucket
	// zoneShare has what accrued of the zone's part. It is used while the issuer is out of
	// contact alone, and never given back.
	zoneShare Bucket
	// allowance has what the tenant's allowance made since the issuer fell silent.
	allowance Bucket
	// granted was granted since demand, the average a second, was measured.
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

// Run fills the credit of tenants in use up, and tells the issuer that the relay is
// in contact, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for clock.Wait(ctx, r.options.Clock, r.options.Policy.RefillInterval()) {
		r.Refill(ctx)
	}
}

// Acquire grants credit to a router: from the unspent, or, for an immediate need
// that it does not cover, from the issuer. While that is silent it grants what is unspent
// and the zone's part, without waiting. An error says that the caller waited no longer.
func (r *Relay) Acquire(ctx context.Context, req AcquireRequest) (AcquireResponse, error) {
	cfg := r.options.Config()
	if cfg == nil {
		return AcquireResponse{}, errkind.Errorf(errkind.NotReady, "no configuration")
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

// completeWithoutIssuer completes a response where the issuer granted nothing of the rest: while it
// is not known to be silent, what no allowance covers is denied, and the routers stay in contact.
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

// uncoveredNeed is an immediate need that the pool covers in part: what it had is taken
// out until the issuer has answered for the rest.
type uncoveredNeed struct {
	index int
	need  Need
	taken float64
}

// remainder is what the issuer has to be asked for.
func (u uncoveredNeed) remainder() Need {
	rest := u.need
	rest.Amount -= u.taken
	return rest
}

// putBack puts what was taken for needs that are not granted back into the pools.
func (r *Relay) putBack(uncovered []uncoveredNeed) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, partial := range uncovered {
		r.pool(partial.need.Tenant, now).Tokens += partial.taken
	}
}

// inContact records that a router asks, and reports whether the issuer answered of
// late.
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

// grantUnspent grants what the pools hold. It returns the immediate needs for whose rest
// the issuer has to be asked.
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

// routersInContact counts the routers that asked of late and use no part of their own: the
// attached ones, and those that have left theirs to this relay for long enough. The caller
// holds r.mu.
func (r *Relay) routersInContact(now clock.Instant) int64 {
	return r.countRouters(now, func(contact routerContact) bool { return contact.isAttached || r.hasDelegated(contact, now) })
}

// countRouters counts the routers that asked of late for which counts is true; it forgets those
// that did not ask. The caller holds r.mu.
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

// pool returns a tenant's pool, an empty one where there was none.
func (r *Relay) pool(tenant ids.Tenant, now clock.Instant) *pool {
	p := r.pools[tenant]
	if p == nil {
		p = &pool{}
		r.pools[tenant] = p
	}
	return p
}

// recordGrant counts what the issuer granted a router's need in addition to the pool's part.
func (r *Relay) recordGrant(need Need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(need.Tenant, r.options.Clock.Now()).granted += need.Amount
}

// recordDenial has the issuer not asked again for a moment for as much as it denied.
func (r *Relay) recordDenial(need Need) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(need.Tenant, now).denial.Extend(need.Amount, now.Add(r.options.Policy.RefillInterval()/denialDivisor), now)
}
