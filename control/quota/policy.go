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
	// hopIntervals is after how many intervals of silence a relay counts a router as
	// out of contact, and the issuer a relay: each asks once an interval.
	hopIntervals = 2
)

// The tolerated excess of a window is divided among what may exceed the quota, in
// parts of 1. What is left is for what no bucket counts: requests that are admitted in
// one window and run in the next, and routers that start.
const (
	// relayStock and routerStock are what all relays and all routers hold unspent. Relays
	// hold a part of the burst as well, relayBurst.
	relayStock  = 0.12
	routerStock = 0.12
	// surplus is issued beyond the rate, for credit that is charged and not used: of
	// requests that no runner got, and of processes that ended.
	surplus = 0.12
	// detachedReserve is issued though it falls to routers that are out of contact:
	// most of them are gone and use none.
	detachedReserve = 0.15
	// refund is what may be charged at a time and given back later: it is spent in a later
	// window than the one in which it was issued.
	refund = 0.12
	// grace is what all routers together may use in a window while no relay answers
	// them, before the issuer is sure to count them as out of contact no more.
	grace = 0.15
)

// relayRequestBurst and relayTokenBurst are the parts of a tenant's burst that the relays of
// all zones hold in advance, for quotas of requests and of tokens; the issuer's bucket holds
// the rest. A request within the quota so finds credit in its own zone, and does not wait for
// an issuer that may be far away, or lost. One long prompt may need more tokens than the
// relay of a zone holds, so the issuer keeps more of these.
const (
	relayRequestBurst = 0.4
	relayTokenBurst   = 0.2
	// allowedBurst is the part of the issuer's burst that goes with allowances for a whole rate.
	allowedBurst = 0.4
)

// relayBurst is the part of a tenant's burst that relays hold in advance.
func relayBurst(tenant *config.Tenant) float64 {
	if tenant.Unit == config.Tokens {
		return relayTokenBurst
	}
	return relayRequestBurst
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
func (p Policy) ContactTimeout() time.Duration { return hopIntervals * p.RefillInterval() }

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

// tolerated is what may run in a window beyond the quota.
func (p Policy) tolerated(tenant *config.Tenant) float64 {
	return p.Excess*(tenant.RatePerSecond*p.Window.Seconds()+tenant.Burst) + p.Slack
}

// RelayCreditLimit is how much unspent credit the relay of one zone of several may hold: a part
// of the burst, which the issuer's bucket lacks (IssueLimit), and of what is tolerated.
func (p Policy) RelayCreditLimit(tenant *config.Tenant, zones int) float64 {
	return (relayBurst(tenant)*tenant.Burst + relayStock*p.tolerated(tenant)) / float64(max(1, zones))
}

// RouterCreditLimit is how much unspent credit one router of several may hold.
func (p Policy) RouterCreditLimit(tenant *config.Tenant, routers int) float64 {
	return routerStock * p.tolerated(tenant) / float64(max(1, routers))
}

// RefundFraction returns which part of a charge may be given back at that age: all of it at
// once, nothing once the requests of the time since make up what is tolerated.
func (p Policy) RefundFraction(tenant *config.Tenant, age time.Duration) float64 {
	// On average, half of what is charged in the time is given back.
	limit := 2 * refund * p.tolerated(tenant) / tenant.RatePerSecond
	return max(0, 1-age.Seconds()/limit)
}

// GraceLimit is what one router of several may use while no relay answers, whether it
// is still counted in or not.
func (p Policy) GraceLimit(tenant *config.Tenant, routers int) Limit {
	stock := grace * p.tolerated(tenant) / float64(max(1, routers))
	return Limit{RatePerSecond: stock / p.Window.Seconds(), Burst: stock}
}

// IssueLimit is what the issuer fills a tenant's bucket by while the relays in contact speak
// for a part of all routers, and relays out of contact go on with an allowed rate. A router
// that is out of contact uses its own part, or its relay's allowance.
func (p Policy) IssueLimit(tenant *config.Tenant, part, allowed float64) Limit {
	tolerated := p.tolerated(tenant) / p.Window.Seconds()
	elsewhere := max((1-part)*tenant.RatePerSecond, allowed)
	rate := min(tenant.RatePerSecond, max(0, tenant.RatePerSecond-elsewhere)+detachedReserve*tolerated)
	burst := (1-relayBurst(tenant))*tenant.Burst - p.AllowanceBurst(tenant, allowed)
	return Limit{RatePerSecond: rate + surplus*tolerated, Burst: max(0, burst)}
}

// AllowanceBurst is what a relay with an allowed rate may grant at once when it loses the issuer,
// whose bucket lacks it from then on.
func (p Policy) AllowanceBurst(tenant *config.Tenant, allowed float64) float64 {
	return allowedBurst * (1 - relayBurst(tenant)) * tenant.Burst * min(1, allowed/tenant.RatePerSecond)
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
func ShareLimit(tenant *config.Tenant, part float64) Limit {
	return Limit{RatePerSecond: part * tenant.RatePerSecond, Burst: part * tenant.Burst}
}

// DetachedLimit is what a router that is out of contact goes on with: its part of
// all routers' rate, and of the burst or what the rate makes in a second.
func DetachedLimit(tenant *config.Tenant, part float64) Limit {
	limit := ShareLimit(tenant, part)
	limit.Burst = max(limit.Burst, limit.RatePerSecond)
	return limit
}
