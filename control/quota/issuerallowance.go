package quota

import (
	"maps"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// allowanceTail is for how long a relay's allowances outlast the issuer's lease: until
	// another has the lease and relays have heard of it.
	allowanceTail = 2 * time.Second
	// maxLeaseTime and leaseStep bound how far ahead the end of the lease is looked for, and
	// how exactly.
	maxLeaseTime = 10 * time.Second
	leaseStep    = 100 * time.Millisecond
	// wholeContact is the part of all routers from which on none is taken to be left to a relay
	// that the issuer does not know.
	wholeContact = 0.995
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
	if !i.begin(now) {
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
	cfg, part := i.options.Config(), i.partInContact(now)
	rates := make([]float64, len(req.Allowances))
	for index, allowance := range req.Allowances {
		if cfg == nil {
			break
		}
		if tenant := cfg.Tenant(allowance.Tenant); tenant != nil && tenant.Limited() {
			left := part*tenant.RatePerSecond - i.allowedToOthers(req.From, allowance.Tenant, now)
			rates[index] = max(0, min(allowance.Wanted, left))
		}
		// Until the relay asks again it may go on with what it held.
		relay.rates[allowance.Tenant] = max(rates[index], allowance.Held)
	}
	ttl := i.leaseLeft(now) + allowanceTail
	relay.expiry = max(relay.expiry, now.Add(ttl))
	return AllowanceResponse{Issuer: true, Epoch: i.epoch, TTLMS: ttl.Milliseconds(), Rates: rates}
}

// leaseLeft returns for how long the lease is held from now on if it is not renewed.
func (i *Issuer) leaseLeft(now clock.Instant) time.Duration {
	left := time.Duration(0)
	for next := leaseStep; next <= maxLeaseTime; next += leaseStep {
		epoch, held := i.options.Held(now.Add(next))
		if !held || epoch != i.epoch {
			break
		}
		left = next
	}
	return left
}

// allowedToOthers adds up the allowances of a tenant at other relays. The caller holds i.mu.
func (i *Issuer) allowedToOthers(relay ids.Address, tenant ids.Tenant, now clock.Instant) float64 {
	sum := 0.0
	for address, allowances := range i.allowances {
		if address != relay && now.Before(allowances.expiry) {
			sum += allowances.rates[tenant]
		}
	}
	return sum
}

// allowedOutOfContact adds up the allowances of a tenant that relays may be using: those out
// of contact with the issuer. The caller holds i.mu.
func (i *Issuer) allowedOutOfContact(tenant ids.Tenant, now clock.Instant) float64 {
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

// mostToIssue returns the rate up to which a tenant's credit may be issued though relays that
// this issuer does not know may use allowances of the one before it: what the relays that it
// knows held. There is no such bound where nobody held any, nor once all have ended. The caller
// holds i.mu.
func (i *Issuer) mostToIssue(tenant ids.Tenant, rate, part float64, now clock.Instant) float64 {
	if part >= wholeContact || !now.Before(i.unknownUntil) {
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
