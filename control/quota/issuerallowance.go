package quota

import (
	"maps"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// allowanceLeaseMargin is how long a relay's allowances remain valid after the issuer's
	// lease ends: the time in which another controller acquires the lease and relays
	// learn of it.
	allowanceLeaseMargin = 2 * time.Second
	// maxLeaseLookahead and leaseLookaheadStep are how far ahead and in which steps
	// leaseRemaining looks for the end of the lease.
	maxLeaseLookahead  = 10 * time.Second
	leaseLookaheadStep = 100 * time.Millisecond
	// fullContactShare is the share of all routers in contact from which the issuer assumes
	// that no routers are left at relays that it does not know.
	fullContactShare = 0.995
)

// grantedAllowances are the allowances of one relay, as known to the issuer.
type grantedAllowances struct {
	rates  map[ids.Tenant]float64
	expiry clock.Instant
}

// RenewAllowances grants and renews the allowances of a relay. The granted allowances of a
// tenant never sum to more than the share of its rate that belongs to the routers in
// contact, since the other routers may use their own shares.
func (i *Issuer) RenewAllowances(req AllowanceRequest, now clock.Instant) AllowanceResponse {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.enterEpoch(now) {
		return AllowanceResponse{}
	}
	relay := i.allowances[req.From]
	if relay == nil {
		relay = &grantedAllowances{rates: map[ids.Tenant]float64{}}
		i.allowances[req.From] = relay
	}
	if req.IsWhole {
		clear(relay.rates)
	}
	maps.DeleteFunc(i.allowances, func(address ids.Address, granted *grantedAllowances) bool {
		return address != req.From && !now.Before(granted.expiry)
	})
	cfg, share := i.options.Config(), i.shareInContact(now)
	rates := make([]float64, len(req.Allowances))
	for index, allowance := range req.Allowances {
		if cfg == nil {
			break
		}
		if tenant := cfg.Tenant(allowance.Tenant); tenant != nil && tenant.HasQuota() {
			left := share*tenant.RatePerSecond - i.allowancesOfOthers(req.From, allowance.Tenant, now)
			rates[index] = max(0, min(allowance.Wanted, left))
		}
		// Until its next request the relay may continue to use the rate that it held.
		relay.rates[allowance.Tenant] = max(rates[index], allowance.Held)
	}
	ttl := i.leaseRemaining(now) + allowanceLeaseMargin
	relay.expiry = max(relay.expiry, now.Add(ttl))
	return AllowanceResponse{Issuer: true, Epoch: i.epoch, TTLMS: ttl.Milliseconds(), Rates: rates}
}

// leaseRemaining returns how long the lease is still held if it is not renewed.
func (i *Issuer) leaseRemaining(now clock.Instant) time.Duration {
	remaining := time.Duration(0)
	for next := leaseLookaheadStep; next <= maxLeaseLookahead; next += leaseLookaheadStep {
		epoch, held := i.options.Held(now.Add(next))
		if !held || epoch != i.epoch {
			break
		}
		remaining = next
	}
	return remaining
}

// allowancesOfOthers sums a tenant's allowances at other relays. The caller holds i.mu.
func (i *Issuer) allowancesOfOthers(relay ids.Address, tenant ids.Tenant, now clock.Instant) float64 {
	sum := 0.0
	for address, allowances := range i.allowances {
		if address != relay && now.Before(allowances.expiry) {
			sum += allowances.rates[tenant]
		}
	}
	return sum
}

// allowancesOutOfContact sums a tenant's allowances that relays may be using: those of the
// relays that are out of contact with the issuer. The caller holds i.mu.
func (i *Issuer) allowancesOutOfContact(tenant ids.Tenant, now clock.Instant) float64 {
	sum := 0.0
	for address, allowances := range i.allowances {
		contact, known := i.relays[address]
		inContact := known && contact.routers > 0 && now.Since(contact.at) <= i.options.Policy.ContactTimeout()
		if !inContact && now.Before(allowances.expiry) {
			sum += allowances.rates[tenant]
		}
	}
	return sum
}

// capIssueRate returns the rate at which a tenant's credit may be issued while relays that
// this issuer does not know may still use allowances of the previous issuer: at most the sum
// of the allowances of the relays that it knows. There is no such cap if these have no
// allowances at all, if nearly all routers are in contact, or once all allowances of the
// previous issuer have expired. The caller holds i.mu.
func (i *Issuer) capIssueRate(tenant ids.Tenant, rate, share float64, now clock.Instant) float64 {
	if share >= fullContactShare || !now.Before(i.priorAllowancesUntil) {
		return rate
	}
	known, held := 0.0, false
	for _, allowances := range i.allowances {
		known += allowances.rates[tenant]
		held = held || len(allowances.rates) > 0
	}
	if !held {
		return rate
	}
	return min(rate, known)
}
