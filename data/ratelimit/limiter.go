// Package ratelimit enforces the tenants' quotas on one router. The router holds a small
// amount of unspent credit for each tenant that it serves, and requests the credit that a
// request still needs from a relay of its zone. Package quota describes how credit is
// issued and why all routers together keep within the quota.
package ratelimit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/quota"
)

const (
	// denialDivisor divides the refill interval into the time for which, after a relay
	// denied a request, the tenant's requests of the same or a higher cost are rejected
	// without asking a relay.
	denialDivisor = 2
	// idleIntervals is the number of intervals without a request after which a tenant's
	// credit is no longer refilled.
	idleIntervals = 8
	// forgetAfter is the time without a request after which a tenant's credit is removed.
	forgetAfter = time.Minute
)

// errNoRelay reports that no relay in contact with the issuer gave a usable response.
var errNoRelay = errors.New("ratelimit: no relay in contact with the issuer responded")

// Options configure a Limiter. All are required but Log.
type Options struct {
	Clock  clock.Clock
	Policy quota.Policy
	// Config returns the active configuration, or nil if there is none.
	Config func() *config.Config
	// Routers returns the largest number of routers that may exist; 0 means unknown. Unless
	// a relay reports a number, an unknown number leaves this router without prefetched
	// credit, a share of its own or grace.
	Routers func() int
	// Acquire requests credit from the relays of the zone, as quota.AskRelays does.
	Acquire func(ctx context.Context, req quota.AcquireRequest, delegate ids.Address) (quota.RelayAnswer, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Log receives the number of requests admitted from each source at debug level. It may
	// be nil.
	Log *log.Logger
}

// Limiter admits or rejects the requests of tenants with a quota. It is safe for concurrent
// use.
type Limiter struct {
	options         Options
	requestCounts   [sourceCount]atomic.Int64
	rejectionCounts [causeCount]atomic.Int64
	// loggedCounts has requestCounts as of the last call of logAdmissions. Only Run calls
	// that, so no lock is needed.
	loggedCounts [sourceCount]int64

	mu      sync.Mutex
	credits map[ids.Tenant]*credit
	// isAttached says that a relay in contact with the issuer responded to the last request.
	// While it is false, this router's own share of the rate accrues from ownShareFrom on.
	isAttached   bool
	ownShareFrom clock.Instant
	// delegate is the relay to which this router has delegated its own share, because that
	// relay responded to the last request while out of contact with the issuer; "" for none.
	// The share has been delegated to it continuously since delegatingSince.
	delegate        ids.Address
	delegatingSince clock.Instant
	// startedAt is when this router started. isShareUnused says that since then the router
	// has neither used its own share nor been attached, nor lost or changed its delegate
	// after withheldClaimedAt. That is when it first sent quota.Withheld to a relay; 0 means
	// never.
	startedAt         clock.Instant
	isShareUnused     bool
	withheldClaimedAt clock.Instant
	// reportedRouters is the largest number of routers that a relay reported.
	reportedRouters int
	// skipRelaysUntil is the time until which requests are decided without asking a relay,
	// after no relay responded. The refills of Run still ask the relays.
	skipRelaysUntil clock.Instant
}

// credit holds the unspent credit of a tenant.
type credit struct {
	// Bucket holds issued credit.
	quota.Bucket
	// ownShare and grace hold what accrued on this router. That is never returned to a
	// relay, since no issuer issued it.
	ownShare quota.Bucket
	grace    quota.Bucket
	usedAt   clock.Instant
	denial   quota.Denial
}

// New returns a Limiter without credit.
func New(options Options) *Limiter {
	now := options.Clock.Now()
	return &Limiter{options: options, credits: map[ids.Tenant]*credit{}, ownShareFrom: now, startedAt: now, isShareUnused: true}
}

// NewDetached returns a Limiter for a deployment that has a single router and no relay.
func NewDetached(clk clock.Clock, activeConfig func() *config.Config, random func() float64) *Limiter {
	return New(Options{
		Clock: clk, Policy: quota.NewPolicy(settings.Bounds{}), Config: activeConfig, Routers: func() int { return 1 }, Random: random,
		Acquire: func(context.Context, quota.AcquireRequest, ids.Address) (quota.RelayAnswer, error) {
			return quota.RelayAnswer{}, errNoRelay
		},
	})
}

// MaxWait returns how long Admit may wait for a relay, for a request with the given latency
// target.
func (l *Limiter) MaxWait(latencyTarget time.Duration) time.Duration {
	return l.options.Policy.MaxWait(latencyTarget)
}

// Charge records the cost that was charged to a tenant for one request, so that it can be
// refunded. Its zero value charges nothing.
type Charge struct {
	tenant *config.Tenant
	cost   float64
	source Source
	at     clock.Instant
}

// Admit reports whether a request with the given cost is within the tenant's quota, and
// charges the cost if so. If the unspent credit does not cover the cost, it requests credit
// from the relays and waits for the response until ctx is done at the latest.
func (l *Limiter) Admit(ctx context.Context, tenant *config.Tenant, cost float64) (charge Charge, ok bool) {
	if !tenant.HasQuota() {
		return Charge{}, true
	}
	source, ok := l.admit(ctx, tenant, cost)
	if !ok {
		source = Rejected
	}
	l.requestCounts[source].Add(1)
	return Charge{tenant: tenant, cost: cost, source: source, at: l.options.Clock.Now()}, ok
}

// admit decides on a request of a tenant with a quota. If ok, source is the source of the credit
// that the request was charged to; otherwise admit has counted the cause of the rejection.
func (l *Limiter) admit(ctx context.Context, tenant *config.Tenant, cost float64) (source Source, ok bool) {
	switch l.admitUnspent(tenant, cost) {
	case admitted:
		return Unspent, true
	case rejected:
		l.rejectionCounts[RecentlyDenied].Add(1)
		return Rejected, false
	case detached:
		return l.admitDetached(tenant, cost, NoRelay)
	}
	granted, err := l.acquire(ctx, []quota.Need{{Tenant: tenant.Name, Amount: cost, Immediate: true}})
	if len(granted) > 0 && granted[0] >= cost {
		return Relay, true
	}
	if err != nil {
		return l.admitDetached(tenant, cost, causeOf(ctx, granted))
	}
	l.recordDenial(tenant, cost)
	l.rejectionCounts[Denied].Add(1)
	return Rejected, false
}

// Source is the credit from which a request was admitted, or Rejected.
type Source int

// Sources of credit.
const (
	// Unspent is issued credit that the router held.
	Unspent Source = iota
	// Relay is credit that a relay granted for the request.
	Relay
	// Detached is the router's own share of the rate, used while it is not attached.
	Detached
	// Grace is what the router may use while no relay in contact with the issuer responds,
	// whether or not the issuer still counts the router.
	Grace
	// Rejected marks requests that were not admitted.
	Rejected
	sourceCount
)

// SourceNames has the name of each source, as used in metric labels and log keys.
var SourceNames = [sourceCount]string{Unspent: "unspent", Relay: "relay", Detached: "detached", Grace: "grace", Rejected: "rejected"}

// Requests returns how many requests of tenants with a quota were admitted from a source or,
// for Rejected, were rejected.
func (l *Limiter) Requests(source Source) int64 { return l.requestCounts[source].Load() }

// Refund returns the charge of a request that no runner ran to the source of the credit. The
// older the charge, the smaller the refunded fraction, down to none: credit has been issued
// since, and requests for both would run within one window.
func (l *Limiter) Refund(charge Charge) {
	if charge.tenant == nil || charge.source == Rejected {
		return
	}
	now := l.options.Clock.Now()
	refund := charge.cost * l.options.Policy.RefundFraction(charge.tenant, now.Since(charge.at))
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(charge.tenant.Name, now)
	switch charge.source {
	case Detached:
		// What accrued before the last contact is discarded, and so are its refunds.
		if l.ownShareFrom <= charge.at {
			c.ownShare.Tokens += refund
		}
	case Grace:
		c.grace.Tokens += refund
	default:
		c.Tokens += refund
	}
}

// decision is the result of checking a request against the router's unspent credit.
type decision int

const (
	admitted decision = iota
	rejected
	// uncovered: credit has to be requested from a relay.
	uncovered
	// detached: no relay responded recently, so none is asked.
	detached
)

// admitUnspent decides on a request without asking a relay, as far as that is possible, and
// takes the cost out of the unspent credit if that covers it.
func (l *Limiter) admitUnspent(tenant *config.Tenant, cost float64) decision {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(tenant.Name, now)
	c.usedAt = now
	switch {
	case c.Take(cost):
		return admitted
	case c.denial.Covers(cost, now):
		return rejected
	case now.Before(l.skipRelaysUntil):
		return detached
	}
	return uncovered
}

// admitDetached admits or rejects a request as takeDetached does. If the request is rejected,
// it counts the cause for which no relay granted it.
func (l *Limiter) admitDetached(tenant *config.Tenant, cost float64, cause Cause) (source Source, ok bool) {
	source, ok = l.takeDetached(tenant, cost)
	if !ok {
		l.rejectionCounts[cause].Add(1)
	}
	return source, ok
}

// takeDetached admits a request from this router's own share of the rate, once the issuer no
// longer counts the router, or from its grace.
func (l *Limiter) takeDetached(tenant *config.Tenant, cost float64) (source Source, ok bool) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(tenant.Name, now)
	routers := l.routers()
	if routers == 0 {
		return Rejected, false
	}
	l.deferOwnShare(now)
	// The issuer counts an attached router, even if the caller did not wait for the relay's
	// response.
	if !l.isAttached && l.ownShareFrom <= now {
		if c.ownShare.FilledAt < l.ownShareFrom {
			// Discard what accrued before the last contact: the issuer counted this router.
			c.ownShare = quota.Bucket{FilledAt: l.ownShareFrom}
		}
		c.ownShare.Fill(quota.DetachedLimit(tenant, 1/float64(routers)), now)
		if c.ownShare.TakeRandomized(cost, l.options.Random) {
			l.isShareUnused = false
			return Detached, true
		}
	}
	c.grace.Fill(l.options.Policy.GraceLimit(tenant, routers), now)
	return Grace, c.grace.TakeRandomized(cost, l.options.Random)
}

// recordDenial records that a relay denied a request. For a fraction of an interval, the
// tenant's requests of the same or a higher cost are rejected without asking again.
func (l *Limiter) recordDenial(tenant *config.Tenant, cost float64) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit(tenant.Name, now).denial.Extend(cost, now.Add(l.options.Policy.RefillInterval()/denialDivisor), now)
}

// credit returns a tenant's credit, and adds an empty one if there is none. The caller holds
// l.mu.
func (l *Limiter) credit(tenant ids.Tenant, now clock.Instant) *credit {
	c := l.credits[tenant]
	if c == nil {
		c = &credit{usedAt: now}
		l.credits[tenant] = c
	}
	return c
}
