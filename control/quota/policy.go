package quota

import (
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/config"
)

// Policy defines by how much the requests of a tenant may exceed its quota. The limits
// on unspent credit are derived from it.
type Policy struct {
	// Window is the time over which a quota is measured. Requests that cost up to
	// (rate * Window + burst) * (1 + Excess) + Slack may run within one window.
	Window time.Duration
	Excess float64
	Slack  float64
}

// Defaults where the settings have no bounds for quotas because no rule measures them.
const (
	defaultWindow = 5 * time.Second
	defaultExcess = 0.1
)

const (
	// intervalsPerWindow is the number of refills of unspent credit per window, unless
	// minInterval or maxInterval bounds the interval between them.
	intervalsPerWindow = 48
	minInterval        = 100 * time.Millisecond
	maxInterval        = 500 * time.Millisecond
	// contactTimeoutIntervals is the number of intervals without a request after which
	// a relay counts a router, and the issuer a relay, as out of contact. Routers and
	// relays send one request per interval.
	contactTimeoutIntervals = 2
)

// The tolerated excess of a window is divided among the causes of excess. Each constant is
// a fraction of it. The remainder covers what no bucket accounts for: requests that are
// admitted in one window and run in the next, and routers that start.
const (
	// relayCreditShare and routerCreditShare bound the unspent credit of all relays and
	// of all routers. Relays also hold a share of the burst, see relayBurstShare.
	relayCreditShare  = 0.12
	routerCreditShare = 0.12
	// surplusShare is issued beyond the rate to make up for credit that is charged but
	// not used: that of requests that reached no runner, and of processes that ended.
	surplusShare = 0.12
	// detachedReserveShare is issued although it belongs to routers that are out of
	// contact: most of them have terminated and use nothing.
	detachedReserveShare = 0.15
	// refundShare bounds the credit that is charged at one time and refunded later: a
	// refund is spent in a later window than the one in which it was issued.
	refundShare = 0.12
	// graceShare is what all routers together may use in a window while no relay
	// answers them, before it is certain that the issuer no longer counts them.
	graceShare = 0.15
)

// relayRequestBurstShare and relayTokenBurstShare are the shares of a tenant's burst that
// the relays of all zones hold in advance, for quotas in requests and in tokens. The
// issuer's bucket holds the rest. A request within the quota thus finds credit in its own
// zone and does not wait for an issuer that may be far away or lost. A single long prompt
// may need more tokens than the relay of a zone holds, so the issuer keeps a larger share
// of a token quota.
const (
	relayRequestBurstShare = 0.4
	relayTokenBurstShare   = 0.2
	// allowanceBurstShare is the share of the issuer's burst that is granted with
	// allowances that amount to the whole rate.
	allowanceBurstShare = 0.4
)

// relayBurstShare returns the share of a tenant's burst that relays hold in advance.
func relayBurstShare(tenant *config.Tenant) float64 {
	if tenant.Unit == config.Tokens {
		return relayTokenBurstShare
	}
	return relayRequestBurstShare
}

// NewPolicy derives the policy from the bounds in the settings.
func NewPolicy(bounds settings.Bounds) Policy {
	if bounds.QuotaWindowS <= 0 {
		return Policy{Window: defaultWindow, Excess: defaultExcess}
	}
	return Policy{Window: settings.Seconds(bounds.QuotaWindowS), Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// RefillInterval is the time between two requests that refill unspent credit.
func (p Policy) RefillInterval() time.Duration {
	return min(max(p.Window/intervalsPerWindow, minInterval), maxInterval)
}

// ContactTimeout is the time without a request after which a relay counts a router, and
// the issuer a relay, as out of contact. A relay applies the same limit to the issuer.
func (p Policy) ContactTimeout() time.Duration { return contactTimeoutIntervals * p.RefillInterval() }

// IssuerTimeout bounds how long a relay waits for the issuer's response. It is the time
// after which the issuer counts the relay as out of contact.
func (p Policy) IssuerTimeout() time.Duration { return p.ContactTimeout() }

// RelayTimeout bounds how long a router waits for a relay. It is longer than the relay's
// own wait for the issuer, so that a late response of the issuer results in a denied
// need rather than in a relay that appears unresponsive.
func (p Policy) RelayTimeout() time.Duration { return p.IssuerTimeout() + p.ContactTimeout()/2 }

// DetachTimeout is how long the issuer may still count a router after one of the router's
// requests failed. The router's own share of the rate begins only then, so that
// intermittent contact does not provide the same share twice. A request with an unknown
// outcome may have reached a relay and, with that relay's next request, the issuer. A
// relay that refused the request no longer reports any routers to the issuer.
func (p Policy) DetachTimeout(refused bool) time.Duration {
	if refused {
		return p.ContactTimeout()
	}
	return 2 * p.ContactTimeout()
}

// DelegationDelay is how long a router may go on using its own share after it has
// delegated it to a relay. The relay counts the router only once it has delegated for
// longer than DetachTimeout.
func (p Policy) DelegationDelay() time.Duration { return 3 * p.RefillInterval() }

// RetryAfter is the time after which a client may repeat a rejected request: credit has
// been refilled by then.
func (p Policy) RetryAfter() time.Duration { return p.RefillInterval() }

// toleratedExcess returns the cost of the requests that may run in a window beyond the
// quota.
func (p Policy) toleratedExcess(tenant *config.Tenant) float64 {
	return p.Excess*(tenant.RatePerSecond*p.Window.Seconds()+tenant.Burst) + p.Slack
}

// RelayCreditLimit returns how much unspent credit the relay of one zone may hold, given
// the number of zones: a share of the burst, by which the issuer's bucket is smaller
// (IssueLimit), and a share of the tolerated excess.
func (p Policy) RelayCreditLimit(tenant *config.Tenant, zones int) float64 {
	return (relayBurstShare(tenant)*tenant.Burst + relayCreditShare*p.toleratedExcess(tenant)) / float64(max(1, zones))
}

// RouterCreditLimit returns how much unspent credit one router may hold, given the number
// of routers.
func (p Policy) RouterCreditLimit(tenant *config.Tenant, routers int) float64 {
	return routerCreditShare * p.toleratedExcess(tenant) / float64(max(1, routers))
}

// RefundFraction returns the fraction of a charge that may be refunded at the given age.
// It falls linearly from 1 to 0, which it reaches when the credit issued at the full rate
// since the charge amounts to twice refundShare of the tolerated excess.
func (p Policy) RefundFraction(tenant *config.Tenant, age time.Duration) float64 {
	// On average, half of what is charged in this time is refunded, hence the factor 2.
	maxAge := 2 * refundShare * p.toleratedExcess(tenant) / tenant.RatePerSecond
	return max(0, 1-age.Seconds()/maxAge)
}

// GraceLimit returns what one router may use while no relay answers it, whether or not
// the issuer still counts it, given the number of routers.
func (p Policy) GraceLimit(tenant *config.Tenant, routers int) Limit {
	credit := graceShare * p.toleratedExcess(tenant) / float64(max(1, routers))
	return Limit{RatePerSecond: credit / p.Window.Seconds(), Burst: credit}
}

// IssueLimit returns the limit by which the issuer fills a tenant's bucket, given the share
// of all routers that the relays in contact represent, and the total allowance rate of the
// relays that are out of contact. A router that is out of contact uses its own share, or
// the allowance of its relay.
func (p Policy) IssueLimit(tenant *config.Tenant, share, allowance float64) Limit {
	toleratedRate := p.toleratedExcess(tenant) / p.Window.Seconds()
	elsewhere := max((1-share)*tenant.RatePerSecond, allowance)
	rate := min(tenant.RatePerSecond, max(0, tenant.RatePerSecond-elsewhere)+detachedReserveShare*toleratedRate)
	burst := (1-relayBurstShare(tenant))*tenant.Burst - p.AllowanceBurst(tenant, allowance)
	return Limit{RatePerSecond: rate + surplusShare*toleratedRate, Burst: max(0, burst)}
}

// AllowanceBurst returns what a relay with the given allowance rate may grant at once when
// it loses the issuer. The issuer's bucket is smaller by this amount from then on.
func (p Policy) AllowanceBurst(tenant *config.Tenant, allowance float64) float64 {
	return allowanceBurstShare * (1 - relayBurstShare(tenant)) * tenant.Burst * min(1, allowance/tenant.RatePerSecond)
}

// MaxWait returns how long a request may wait for the response of a relay: half of its
// latency target, since a late answer is better than a rejection, and at least one
// interval, within which an issuer in another region answers.
func (p Policy) MaxWait(latencyTarget time.Duration) time.Duration {
	return max(latencyTarget/2, p.RefillInterval())
}

// IdleTimeout is the time without requests of a tenant after which a relay returns the
// tenant's credit.
func (p Policy) IdleTimeout() time.Duration { return p.Window }

// Limit is the part of a tenant's quota by which a token bucket is filled, in the unit of the
// quota.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// ShareLimit returns the given share of a tenant's quota.
func ShareLimit(tenant *config.Tenant, share float64) Limit {
	return Limit{RatePerSecond: share * tenant.RatePerSecond, Burst: share * tenant.Burst}
}

// DetachedLimit returns the limit for the given share of all routers while they are out of
// contact: that share of the rate, and the larger of that share of the burst and what
// that share of the rate yields in one second.
func DetachedLimit(tenant *config.Tenant, share float64) Limit {
	limit := ShareLimit(tenant, share)
	limit.Burst = max(limit.Burst, limit.RatePerSecond)
	return limit
}
