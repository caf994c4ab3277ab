package quota

import (
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/config"
)

// Policy is how far the requests of a tenant may exceed its quota, and what follows
// from it for the credit that is held unspent.
type Policy struct {
	// Window is the time over which a quota is measured. Within one, (rate * Window +
	// burst) * (1 + Excess) + Slack may run.
	Window time.Duration
	Excess float64
	Slack  float64
}

// Where the settings have no figures, because no rule measures quotas.
const (
	defaultWindow = 5 * time.Second
	defaultExcess = 0.1
)

const (
	// intervalsPerWindow is how often in a window unspent credit is filled up.
	intervalsPerWindow = 48
	minInterval        = 100 * time.Millisecond
	maxInterval        = 500 * time.Millisecond
	// contactTimeoutIntervals is after how many intervals of silence a relay counts a router as
	// out of contact, and the issuer a relay: each asks once an interval.
	contactTimeoutIntervals = 2
)

// The tolerated excess of a window is divided among what may exceed the quota, in
// parts of 1. What is left is for what no bucket counts: requests that are admitted in
// one window and run in the next, and routers that start.
const (
	// relayCreditShare and routerStock are what all relays and all routers hold unspent. Relays
	// hold a part of the burst as well, relayBurst.
	relayCreditShare  = 0.12
	routerCreditShare = 0.12
	// surplusShare is issued beyond the rate, for credit that is charged and not used: of
	// requests that no runner got, and of processes that ended.
	surplusShare = 0.12
	// detachedReserveShare is issued though it falls to routers that are out of contact:
	// most of them are gone and use none.
	detachedReserveShare = 0.15
	// refundShare is what may be charged at a time and given back later: it is spent in a later
	// window than the one in which it was issued.
	refundShare = 0.12
	// graceShare is what all routers together may use in a window while no relay answers
	// them, before the issuer is sure to count them as out of contact no more.
	graceShare = 0.15
)

// relayRequestBurstShare and relayTokenBurstShare are the parts of a tenant's burst that the relays of
// all zones hold in advance, for quotas of requests and of tokens; the issuer's bucket holds
// the rest. A request within the quota so finds credit in its own zone, and does not wait for
// an issuer that may be far away, or lost. One long prompt may need more tokens than the
// relay of a zone holds, so the issuer keeps more of these.
const (
	relayRequestBurstShare = 0.4
	relayTokenBurstShare   = 0.2
	// allowanceBurstShare is the part of the issuer's burst that goes with allowances for a whole rate.
	allowanceBurstShare = 0.4
)

// relayBurstShare is the part of a tenant's burst that relays hold in advance.
func relayBurstShare(tenant *config.Tenant) float64 {
	if tenant.Unit == config.Tokens {
		return relayTokenBurstShare
	}
	return relayRequestBurstShare
}

// NewPolicy takes the policy from the settings' bounds.
func NewPolicy(bounds settings.Bounds) Policy {
	if bounds.QuotaWindowS <= 0 {
		return Policy{Window: defaultWindow, Excess: defaultExcess}
	}
	return Policy{Window: settings.Seconds(bounds.QuotaWindowS), Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// RefillInterval is the time between two requests for credit to be kept.
func (p Policy) RefillInterval() time.Duration {
	return min(max(p.Window/intervalsPerWindow, minInterval), maxInterval)
}

// ContactTimeout is after how long without a request a relay counts a router, and the
// issuer a relay, as out of contact; a relay counts the issuer so likewise.
func (p Policy) ContactTimeout() time.Duration { return contactTimeoutIntervals * p.RefillInterval() }

// IssuerTimeout bounds how long an answer is waited for: the time after which whoever asks
// counts as out of contact.
func (p Policy) IssuerTimeout() time.Duration { return p.ContactTimeout() }

// RelayTimeout bounds how long a router waits for a relay: longer than that waits for the
// issuer, so that a late answer of the issuer is a need denied, and no relay that is silent.
func (p Policy) RelayTimeout() time.Duration { return p.IssuerTimeout() + p.ContactTimeout()/2 }

// DetachTimeout is how long the issuer may count a router in after a request of it
// failed: only then does the router's own part of the rate begin, so that contact which
// comes and goes doubles nothing. A request whose fate is unknown may have reached a
// relay, and by its next request the issuer; a relay that refused tells the issuer of
// no router any more.
func (p Policy) DetachTimeout(refused bool) time.Duration {
	if refused {
		return p.ContactTimeout()
	}
	return 2 * p.ContactTimeout()
}

// DelegationDelay is for how long a router goes on with its own part after it has left it
// to a relay: that counts it in only once it has delegated for a DetachTimeout.
func (p Policy) DelegationDelay() time.Duration { return 3 * p.RefillInterval() }

// RetryAfter is when a client whose request was rejected may come back: credit has
// been filled up by then.
func (p Policy) RetryAfter() time.Duration { return p.RefillInterval() }

// toleratedExcess is what may run in a window beyond the quota.
func (p Policy) toleratedExcess(tenant *config.Tenant) float64 {
	return p.Excess*(tenant.RatePerSecond*p.Window.Seconds()+tenant.Burst) + p.Slack
}

// RelayCreditLimit is how much unspent credit the relay of one zone of several may hold: a part
// of the burst, which the issuer's bucket lacks (IssueLimit), and of what is tolerated.
func (p Policy) RelayCreditLimit(tenant *config.Tenant, zones int) float64 {
	return (relayBurstShare(tenant)*tenant.Burst + relayCreditShare*p.toleratedExcess(tenant)) / float64(max(1, zones))
}

// RouterCreditLimit is how much unspent credit one router of several may hold.
func (p Policy) RouterCreditLimit(tenant *config.Tenant, routers int) float64 {
	return routerCreditShare * p.toleratedExcess(tenant) / float64(max(1, routers))
}

// RefundFraction returns which part of a charge may be given back at that age: all of it at
// once, nothing once the requests of the time since make up what is tolerated.
func (p Policy) RefundFraction(tenant *config.Tenant, age time.Duration) float64 {
	// On average, half of what is charged in the time is given back.
	maxAge := 2 * refundShare * p.toleratedExcess(tenant) / tenant.RatePerSecond
	return max(0, 1-age.Seconds()/maxAge)
}

// GraceLimit is what one router of several may use while no relay answers, whether it
// is still counted in or not.
func (p Policy) GraceLimit(tenant *config.Tenant, routers int) Limit {
	credit := graceShare * p.toleratedExcess(tenant) / float64(max(1, routers))
	return Limit{RatePerSecond: credit / p.Window.Seconds(), Burst: credit}
}

// IssueLimit is what the issuer fills a tenant's bucket by while the relays in contact speak
// for a part of all routers, and relays out of contact go on with an allowed rate. A router
// that is out of contact uses its own part, or its relay's allowance.
func (p Policy) IssueLimit(tenant *config.Tenant, share, allowance float64) Limit {
	toleratedRate := p.toleratedExcess(tenant) / p.Window.Seconds()
	elsewhere := max((1-share)*tenant.RatePerSecond, allowance)
	rate := min(tenant.RatePerSecond, max(0, tenant.RatePerSecond-elsewhere)+detachedReserveShare*toleratedRate)
	burst := (1-relayBurstShare(tenant))*tenant.Burst - p.AllowanceBurst(tenant, allowance)
	return Limit{RatePerSecond: rate + surplusShare*toleratedRate, Burst: max(0, burst)}
}

// AllowanceBurst is what a relay with an allowed rate may grant at once when it loses the issuer,
// whose bucket lacks it from then on.
func (p Policy) AllowanceBurst(tenant *config.Tenant, allowance float64) float64 {
	return allowanceBurstShare * (1 - relayBurstShare(tenant)) * tenant.Burst * min(1, allowance/tenant.RatePerSecond)
}

// MaxWait is how long a request may wait for the answer of a relay: half of its latency
// target, since a late answer is worth more than a rejection, and at least an interval,
// in which the issuer of another region answers.
func (p Policy) MaxWait(latencyTarget time.Duration) time.Duration {
	return max(latencyTarget/2, p.RefillInterval())
}

// IdleTimeout is after how long without a request of a tenant a relay gives its credit
// back.
func (p Policy) IdleTimeout() time.Duration { return p.Window }

// Limit is a part of a tenant's quota: what a token bucket is filled by.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// ShareLimit is the part of a tenant's quota that falls to some of all routers.
func ShareLimit(tenant *config.Tenant, share float64) Limit {
	return Limit{RatePerSecond: share * tenant.RatePerSecond, Burst: share * tenant.Burst}
}

// DetachedLimit is what a router that is out of contact goes on with: its part of
// all routers' rate, and of the burst or what the rate makes in a second.
func DetachedLimit(tenant *config.Tenant, share float64) Limit {
	limit := ShareLimit(tenant, share)
	limit.Burst = max(limit.Burst, limit.RatePerSecond)
	return limit
}
