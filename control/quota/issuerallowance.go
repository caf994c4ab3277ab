package quota

import (
	"maps"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// allowanceLeaseMargin is for how long a relay's allowances outlast the issuer's lease: until
	// another has the lease and relays have heard of it.
	allowanceLeaseMargin = 2 * time.Second
	// maxLeaseLookahead and leaseStep bound how far ahead the end of the lease is looked for, and
	// how exactly.
	maxLeaseLookahead  = 10 * time.Second
	leaseLookaheadStep = 100 * time.Millisecond
	// fullContactShare is the part of all routers from which on none is taken to be left to a relay
	// that the issuer does not know.
	fullContactShare = 0.995
)

// grantedAllowances are those of one relay, as the issuer knows them.
type grantedAllowances struct {
	rates  map[ids.Tenant]float64
	expiry clock.Instant
}

// RenewAllowances grants and renews the allowances of a relay. All of a tenant's together never exceed
// the part of its rate that falls to the routers in contact: the others may use their own.
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
		if tenant := cfg.Tenant(allowance.Tenant); tenant != nil && tenant.Limited() {
			left := share*tenant.RatePerSecond - i.allowancesOfOthers(req.From, allowance.Tenant, now)
			rates[index] = max(0, min(allowance.Wanted, left))
		}
		// Until the relay asks again it may go on with what it held.
		relay.rates[allowance.Tenant] = max(rates[index], allowance.Held)
	}
	ttl := i.leaseRemaining(now) + allowanceLeaseMargin
	relay.expiry = max(relay.expiry, now.Add(ttl))
	return AllowanceResponse{Issuer: true, Epoch: i.epoch, TTLMS: ttl.Milliseconds(), Rates: rates}
}

// leaseRemaining returns for how long the lease is held from now on if it is not renewed.
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

// allowancesOfOthers adds up the allowances of a tenant at other relays. The caller holds i.mu.
func (i *Issuer) allowancesOfOthers(relay ids.Address, tenant ids.Tenant, now clock.Instant) float64 {
	sum := 0.0
	for address, allowances := range i.allowances {
		if address != relay && now.Before(allowances.expiry) {
			sum += allowances.rates[tenant]
		}
	}
	return sum
}

// allowancesOutOfContact adds up the allowances of a tenant that relays may be using: those out
// of contact with the issuer. The caller holds i.mu.
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

// capIssueRate returns the rate up to which a tenant's credit may be issued though relays that
// this issuer does not know may use allowances of the one before it: what the relays that it
// knows held. There is no such bound where nobody held any, nor once all have ended. The caller
// holds i.mu.
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
