// Package ratelimit admits requests of tenants within their quotas, on one router.
// A router holds a little unspent credit for each tenant that it serves, and asks the
// relay of its zone for what a request lacks; package quota says how credit is issued
// and why all routers together keep the quota.
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
	// denialDivisor is for which part of an interval, one in so many, a tenant's
	// requests are rejected without asking after one of no higher cost was.
	denialDivisor = 2
	// idleIntervals is after how many intervals without a request a tenant's credit is
	// filled up no more.
	idleIntervals = 8
	// forgetAfter is after how long without a request a tenant is forgotten.
	forgetAfter = time.Minute
)

// errNoRelay says that no relay of the zone answered.
var errNoRelay = errors.New("ratelimit: no relay answered")

// Options configure a Limiter. All are required.
type Options struct {
	Clock  clock.Clock
	Policy quota.Policy
	// Config returns the configuration in force, nil for none.
	Config func() *config.Config
	// Routers returns how many routers there may be; 0 is not known, and leaves this
	// one without a part of its own.
	Routers func() int
	// Acquire asks the relays of the zone for credit, as quota.AskRelays does.
	Acquire func(ctx context.Context, req quota.AcquireRequest, delegate ids.Address) (quota.RelayAnswer, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Log is told at level debug what was admitted from where. It may be nil.
	Log *log.Logger
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	options         Options
	requestCounts   [sourceCount]atomic.Int64
	rejectionCounts [causeCount]atomic.Int64
	// loggedCounts are the counts at the last logAdmissions, which Run alone calls.
	loggedCounts [sourceCount]int64

	mu      sync.Mutex
	credits map[ids.Tenant]*credit
	// isAttached says that a relay answered the last request. If not, this router's own
	// part of the rate accrues from ownSince on.
	isAttached   bool
	ownShareFrom clock.Instant
	// delegate is the relay that this router has left its own part to, by its last answer
	// out of contact with the issuer, without a break since delegateSince; "" for none.
	delegate        ids.Address
	delegatingSince clock.Instant
	// startedAt is when this router started. isUntouched says that since then its own part was
	// neither used nor counted in nor left to more than one relay; claimedAt is when it first told
	// a relay so.
	startedAt         clock.Instant
	isShareUnused     bool
	withheldClaimedAt clock.Instant
	// reportedRouters is how many routers a relay knew of at most.
	reportedRouters int
	// skipRelaysUntil is until when no relay is asked, after none answered.
	skipRelaysUntil clock.Instant
}

// credit is what is unspent of a tenant's.
type credit struct {
	// Bucket has what was issued.
	quota.Bucket
	// ownShare and grace have what accrued here. They are never given back: nobody issued
	// it.
	ownShare quota.Bucket
	grace    quota.Bucket
	usedAt   clock.Instant
	denial   quota.Denial
}

// New returns a limiter without credit.
func New(options Options) *Limiter {
	now := options.Clock.Now()
	return &Limiter{options: options, credits: map[ids.Tenant]*credit{}, ownShareFrom: now, startedAt: now, isShareUnused: true}
}

// NewDetached returns the limiter of a router that is the only one and has no relay.
func NewDetached(clk clock.Clock, activeConfig func() *config.Config, random func() float64) *Limiter {
	return New(Options{
		Clock: clk, Policy: quota.NewPolicy(settings.Bounds{}), Config: activeConfig, Routers: func() int { return 1 }, Random: random,
		Acquire: func(context.Context, quota.AcquireRequest, ids.Address) (quota.RelayAnswer, error) {
			return quota.RelayAnswer{}, errNoRelay
		},
	})
}

// MaxWait is how long Admit may take for a request with that latency target.
func (l *Limiter) MaxWait(latencyTarget time.Duration) time.Duration {
	return l.options.Policy.MaxWait(latencyTarget)
}

// Charge is what a request was charged. Its zero value charges nothing.
type Charge struct {
	tenant *config.Tenant
	cost   float64
	source Source
	at     clock.Instant
}

// Admit reports whether a request of a tenant at that cost is within the quota, and
// charges it. It waits for the answer of a relay where the unspent credit does not
// cover the cost, until ctx ends at the longest.
func (l *Limiter) Admit(ctx context.Context, tenant *config.Tenant, cost float64) (charge Charge, ok bool) {
	if !tenant.Limited() {
		return Charge{}, true
	}
	source, ok := l.admit(ctx, tenant, cost)
	if !ok {
		source = Rejected
	}
	l.requestCounts[source].Add(1)
	return Charge{tenant: tenant, cost: cost, source: source, at: l.options.Clock.Now()}, ok
}

// admit is Admit; source is what the request was admitted from.
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

// Source is what a request was admitted from.
type Source int

// The sources.
const (
	// Unspent is credit that the router had.
	Unspent Source = iota
	// Relay is credit that it asked for.
	Relay
	// Detached is the router's own part of the rate, out of contact.
	Detached
	// Grace is what it may use while no relay answers, counted in or not.
	Grace
	// Rejected requests were not admitted.
	Rejected
	sourceCount
)

// SourceNames are the names of the sources; they are values of a label of metrics.
var SourceNames = [sourceCount]string{Unspent: "unspent", Relay: "relay", Detached: "detached", Grace: "grace", Rejected: "rejected"}

// Requests returns how many requests of tenants with a quota came from a source.
func (l *Limiter) Requests(source Source) int64 { return l.requestCounts[source].Load() }

// Refund gives back what a request was charged that no runner ran, to where it came from.
// An old charge is given back in part or not at all: as much was issued since, and both
// would run in one window.
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
		// What accrued before the last contact is gone.
		if l.ownShareFrom <= charge.at {
			c.ownShare.Tokens += refund
		}
	case Grace:
		c.grace.Tokens += refund
	default:
		c.Tokens += refund
	}
}

// decision is what the unspent credit says of a request.
type decision int

const (
	admitted decision = iota
	rejected
	// uncovered: a relay has to be asked.
	uncovered
	// detached: no relay answered of late.
	detached
)

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

// admitDetached admits a request without a relay, as takeDetached does, and counts why it had
// none where that rejects it.
func (l *Limiter) admitDetached(tenant *config.Tenant, cost float64, cause Cause) (source Source, ok bool) {
	source, ok = l.takeDetached(tenant, cost)
	if !ok {
		l.rejectionCounts[cause].Add(1)
	}
	return source, ok
}

// takeDetached admits a request from this router's own part of the rate, once the issuer counts
// it in no more, and from its part of the grace.
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
	// An attached router is counted in, also where a caller did not wait for the relay.
	if !l.isAttached && l.ownShareFrom <= now {
		if c.ownShare.FilledAt < l.ownShareFrom {
			// What accrued before the last contact is gone: the issuer counted this router.
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

// recordDenial has the tenant's requests of at least that cost rejected for a moment.
func (l *Limiter) recordDenial(tenant *config.Tenant, cost float64) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit(tenant.Name, now).denial.Extend(cost, now.Add(l.options.Policy.RefillInterval()/denialDivisor), now)
}

// credit returns a tenant's credit, none where there was none.
func (l *Limiter) credit(tenant ids.Tenant, now clock.Instant) *credit {
	c := l.credits[tenant]
	if c == nil {
		c = &credit{usedAt: now}
		l.credits[tenant] = c
	}
	return c
}
