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

// maxPrefetchFraction is the part of a bucket that credit to be kept may take at a time, so that
// the first relay that asks does not take all.
const maxPrefetchFraction = 0.5

// IssuerOptions configure an Issuer. All are required.
type IssuerOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Policy  Policy
	// Held reports whether this controller holds the lease at an instant, and its
	// epoch.
	Held func(now clock.Instant) (epoch int64, held bool)
	// Config returns the configuration in force, nil for none.
	Config func() *config.Config
	// Routers returns how many routers there may be; 0 is not known.
	Routers func() int
	// Updates is where the issuer is announced.
	Updates *gossip.Store
	// Log is told at level debug what was issued. It may be nil.
	Log *log.Logger
}

// Issuer issues credit while it holds the lease. It is safe for concurrent use.
type Issuer struct {
	options IssuerOptions

	mu sync.Mutex
	// epoch is the one under which buckets and relays were begun, at startedAt.
	epoch     int64
	startedAt clock.Instant
	buckets   map[ids.Tenant]*Bucket
	relays    map[ids.Address]relayContact
	// allowances are those that relays hold, as far as this issuer knows.
	allowances map[ids.Address]*grantedAllowances
	// priorAllowancesUntil is until when relays may use allowances of the issuer before, also of one that
	// released the lease: as long as those last that this one could grant now.
	priorAllowancesUntil clock.Instant
	// issued and returned add up the credit since the last line of the log.
	issued, returned float64
}

// relayContact is what a relay said last.
type relayContact struct {
	routers int64
	at      clock.Instant
}

// NewIssuer returns an Issuer that has issued nothing yet.
func NewIssuer(options IssuerOptions) *Issuer { return &Issuer{options: options} }

// Run announces this controller as the issuer whenever it gets the lease, until ctx
// ends.
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

// logIssued logs what was issued and given back since the last call, and what part of
// all routers was counted in.
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

// Acquire issues credit to a relay. An immediate need is met in full or not at all;
// one above what the bucket may hold is met by a full one, which it leaves below 0. A
// tenant beyond its quota so loses its largest requests first.
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

// enterEpoch reports whether this controller holds the lease, and starts anew under a new epoch.
// The caller holds i.mu.
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

// issue returns how much of a need is granted.
func (i *Issuer) issue(cfg *config.Config, need Need, share float64, now clock.Instant) float64 {
	if cfg == nil {
		return 0
	}
	tenant := cfg.Tenant(need.Tenant)
	if tenant == nil {
		return 0
	}
	if !tenant.Limited() {
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

// shareInContact is the part of all routers that the relays in contact speak for.
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
