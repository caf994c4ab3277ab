package quota

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// maxPrefetchFraction is the largest fraction of a bucket that a single need for prefetched
// credit may take, so that the first relay to ask does not take everything. Relays apply it to
// their routers alike.
const maxPrefetchFraction = 0.5

// IssuerOptions configure an Issuer. All are required but Log.
type IssuerOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Policy  Policy
	// Held reports whether this controller holds the lease at the given time, and the
	// epoch of the lease.
	Held func(now clock.Instant) (epoch int64, held bool)
	// Config returns the active configuration, or nil if there is none.
	Config func() *config.Config
	// Routers returns the largest number of routers that may exist; 0 means unknown.
	Routers func() int
	// Updates is the gossip store in which the issuer is announced.
	Updates *gossip.Store
	// Log receives the issued amounts at debug level. It may be nil.
	Log *log.Logger
}

// Issuer issues credit while its controller holds the lease. It is safe for concurrent use.
type Issuer struct {
	options IssuerOptions

	mu sync.Mutex
	// epoch is the lease epoch to which the state below belongs. This issuer entered it at
	// startedAt.
	epoch     int64
	startedAt clock.Instant
	buckets   map[ids.Tenant]*Bucket
	relays    map[ids.Address]relayContact
	// allowances are those held by each relay, as far as this issuer knows.
	allowances map[ids.Address]*grantedAllowances
	// priorAllowancesUntil is the time until which relays may use allowances of the previous
	// issuer, even if that released its lease. They are assumed to last as long as
	// allowances that this issuer could grant at the start of its epoch.
	priorAllowancesUntil clock.Instant
	// issued and returned sum up the credit since the last log line.
	issued, returned float64
}

// relayContact describes the last request of a relay.
type relayContact struct {
	routers int64
	at      clock.Instant
}

// NewIssuer returns an Issuer that has not issued anything yet.
func NewIssuer(options IssuerOptions) *Issuer { return &Issuer{options: options} }

// Run announces this controller as the issuer whenever it acquires the lease, until ctx is
// canceled.
func (i *Issuer) Run(ctx context.Context) {
	announced := int64(0)
	for clock.Wait(ctx, i.options.Clock, i.options.Policy.RefillInterval()) {
		epoch, held := i.options.Held(i.options.Clock.Now())
		i.logIssued()
		if !held || epoch == announced {
			continue
		}
		if body, err := transport.Marshal(IssuerItem{Address: i.options.Address}); err == nil {
			i.options.Updates.Put(gossip.Item{Key: IssuerKey, Version: discovery.FencedSerial(epoch, 1), Body: body})
			announced = epoch
		}
	}
}

// logIssued logs the credit that was issued and returned since the last call, and the share
// of all routers that is in contact.
func (i *Issuer) logIssued() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.options.Log == nil || (i.issued == 0 && i.returned == 0) {
		return
	}
	entry := i.options.Log.Debug()
	if entry == nil {
		return
	}
	entry.Str("part", "quota").Float64("issued", i.issued).Float64("returned", i.returned).
		Float64("part_in_contact", i.shareInContact(i.options.Clock.Now())).Int("routers", i.options.Routers()).Int64("epoch", i.epoch).
		Msg("credit issued")
	i.issued, i.returned = 0, 0
}

// Acquire issues credit to a relay. An immediate need is granted in full or not at all. One
// that exceeds the capacity of the bucket is granted from a full bucket, which is left
// negative. A tenant that exceeds its quota thus has its largest requests rejected first.
func (i *Issuer) Acquire(req AcquireRequest, now clock.Instant) AcquireResponse {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.enterEpoch(now) {
		return AcquireResponse{}
	}
	i.relays[req.From] = relayContact{routers: req.Routers, at: now}
	cfg, share := i.options.Config(), i.shareInContact(now)
	resp := AcquireResponse{Issuer: true}
	for _, need := range req.Needs {
		amount := i.issue(cfg, need, share, now)
		i.issued, i.returned = i.issued+amount, i.returned+max(0, -need.Amount)
		resp.Amounts = append(resp.Amounts, amount)
	}
	return resp
}

// enterEpoch reports whether this controller holds the lease, and resets the state when the
// lease has a new epoch. The caller holds i.mu.
func (i *Issuer) enterEpoch(now clock.Instant) bool {
	epoch, held := i.options.Held(now)
	if held && epoch != i.epoch {
		i.epoch, i.startedAt = epoch, now
		i.buckets, i.relays = map[ids.Tenant]*Bucket{}, map[ids.Address]relayContact{}
		i.allowances = map[ids.Address]*grantedAllowances{}
		i.priorAllowancesUntil = now.Add(i.leaseRemaining(now) + allowanceLeaseMargin)
	}
	return held
}

// issue returns the amount that is granted for a need. The caller holds i.mu.
func (i *Issuer) issue(cfg *config.Config, need Need, share float64, now clock.Instant) float64 {
	if cfg == nil {
		return 0
	}
	tenant := cfg.Tenant(need.Tenant)
	if tenant == nil {
		return 0
	}
	if !tenant.HasQuota() {
		return need.Amount
	}
	bucket := i.buckets[tenant.Name]
	if bucket == nil {
		bucket = &Bucket{FilledAt: i.startedAt}
		i.buckets[tenant.Name] = bucket
	}
	limit := i.options.Policy.IssueLimit(tenant, share, i.allowancesOutOfContact(tenant.Name, now))
	limit.RatePerSecond = i.capIssueRate(tenant.Name, limit.RatePerSecond, share, now)
	bucket.Fill(limit, now)
	if need.Amount < 0 {
		bucket.Tokens -= need.Amount
	}
	bucket.Tokens = min(bucket.Tokens, limit.Burst)
	switch {
	case need.Amount <= 0:
		return 0
	case !need.Immediate:
		return bucket.TakeUpTo(need.Amount, maxPrefetchFraction)
	case bucket.Tokens < min(need.Amount, limit.Burst):
		return 0
	}
	bucket.Tokens -= need.Amount
	return need.Amount
}

// shareInContact returns the share of all routers that is represented by the relays in
// contact, and removes the relays that are not. The caller holds i.mu.
func (i *Issuer) shareInContact(now clock.Instant) float64 {
	routers := int64(0)
	for address, contact := range i.relays {
		if now.Since(contact.at) > i.options.Policy.ContactTimeout() {
			delete(i.relays, address)
			continue
		}
		routers += contact.routers
	}
	all := i.options.Routers()
	if all == 0 {
		return 0
	}
	return min(1, float64(routers)/float64(all))
}
