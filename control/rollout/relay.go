package rollout

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// relayIdleTime is how long after the last message from a router a relay becomes idle.
	relayIdleTime = 5 * time.Second
	// freshIntervals is for how many exchange intervals a report of a router or a relay is
	// current.
	freshIntervals = 3
)

// RelayOptions configure a Relay. All are required.
type RelayOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Zone    ids.Zone
	Policy  Policy
	// Routers returns the routers of the zone that are up.
	Routers func() []ids.Address
	// Send sends a message to the director; it returns an error if there was no answer.
	Send func(ctx context.Context, req ExchangeRequest) (ExchangeResponse, error)
}

// Relay forwards the reports of its zone's routers to the director, and the director's permits
// to the routers. Every daemon has one; it is idle unless routers send it messages. It is safe
// for concurrent use.
type Relay struct {
	options RelayOptions

	mu       sync.Mutex
	askedAt  clock.Instant
	rollouts map[ids.Service]*relayedRollout
	// permits were granted by the director; they expire at expiry.
	permits []Permit
	expiry  clock.Instant
}

// relayedRollout is a relay's state for one order.
type relayedRollout struct {
	order int64
	// confirmedAt is when each router last confirmed that it sends nothing to old runners and
	// has no requests running there.
	confirmedAt map[ids.Address]clock.Instant
	counts      routeCounts
}

// NewRelay returns a Relay without permits.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, rollouts: map[ids.Service]*relayedRollout{}}
}

// Run exchanges messages with the director while routers send messages, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for clock.Wait(ctx, r.options.Clock, r.options.Policy.ExchangeInterval) {
		r.Forward(ctx)
	}
}

// Exchange adds a router's report and grants the director's permits for the rest of their
// lifetime.
func (r *Relay) Exchange(_ context.Context, req ExchangeRequest) (ExchangeResponse, error) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt = now
	for _, report := range req.Services {
		relayed := r.rollout(report.Service, report.Order)
		if relayed == nil {
			continue
		}
		relayed.counts.merge(report.Routes)
		if report.Unconfirmed == 0 {
			relayed.confirmedAt[req.From] = now
		} else {
			delete(relayed.confirmedAt, req.From)
		}
	}
	return r.remainingPermits(now), nil
}

// rollout returns the state of an order, nil if a newer order is known.
func (r *Relay) rollout(service ids.Service, order int64) *relayedRollout {
	relayed := r.rollouts[service]
	if relayed == nil || relayed.order < order {
		relayed = &relayedRollout{order: order, confirmedAt: map[ids.Address]clock.Instant{}, counts: routeCounts{}}
		r.rollouts[service] = relayed
	}
	if relayed.order != order {
		return nil
	}
	return relayed
}

func (r *Relay) remainingPermits(now clock.Instant) ExchangeResponse {
	left := r.expiry.Since(now)
	if left <= 0 {
		return ExchangeResponse{}
	}
	resp := ExchangeResponse{Directing: true}
	for _, permit := range r.permits {
		permit.TTLMS = min(permit.TTLMS, left.Milliseconds())
		resp.Permits = append(resp.Permits, permit)
	}
	return resp
}

// Forward exchanges one message with the director, unless the relay is idle. If that fails, the
// counts are reported again with the next message.
func (r *Relay) Forward(ctx context.Context) {
	startedAt := r.options.Clock.Now()
	req, ok := r.request(startedAt)
	if !ok {
		return
	}
	resp, err := r.options.Send(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !resp.Directing {
		r.requeue(req)
		return
	}
	r.permits = resp.Permits
	r.expiry = startedAt.Add(r.shortestTTL())
}

// shortestTTL returns how long the director's answer is valid, also if it has no permits: such
// an answer withdraws the earlier permits. The caller holds r.mu.
func (r *Relay) shortestTTL() time.Duration {
	shortest := r.options.Policy.PermitTTL
	for _, permit := range r.permits {
		shortest = min(shortest, time.Duration(permit.TTLMS)*time.Millisecond)
	}
	return shortest
}

// request returns the next message to the director and resets the counts; ok is false while
// the relay is idle.
func (r *Relay) request(now clock.Instant) (req ExchangeRequest, ok bool) {
	routers := r.options.Routers()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.askedAt == 0 || now.Since(r.askedAt) > relayIdleTime {
		r.rollouts = map[ids.Service]*relayedRollout{}
		return ExchangeRequest{}, false
	}
	req = ExchangeRequest{From: r.options.Address, Zone: r.options.Zone}
	for service, relayed := range r.rollouts {
		req.Services = append(req.Services, ServiceReport{
			Service: service, Order: relayed.order, Unconfirmed: r.unconfirmed(relayed, routers, now), Routes: relayed.counts.sorted(),
		})
		relayed.counts = routeCounts{}
	}
	return req, true
}

// unconfirmed returns the number of routers without a recent confirmation.
func (r *Relay) unconfirmed(relayed *relayedRollout, routers []ids.Address, now clock.Instant) int64 {
	count := int64(0)
	for _, router := range routers {
		at, ok := relayed.confirmedAt[router]
		if !ok || now.Since(at) > freshIntervals*r.options.Policy.ExchangeInterval {
			count++
		}
	}
	return count
}

func (r *Relay) requeue(req ExchangeRequest) {
	for _, report := range req.Services {
		if relayed := r.rollout(report.Service, report.Order); relayed != nil {
			relayed.counts.merge(report.Routes)
		}
	}
}

// routeCounts holds counts by route and arm.
type routeCounts map[armKey]RouteCount

type armKey struct {
	route  string
	target bool
}

func (c routeCounts) merge(counts []RouteCount) {
	for _, count := range counts {
		key := armKey{route: count.Route, target: count.Target}
		merged := c[key]
		merged.Route, merged.Target = count.Route, count.Target
		merged.Ended += count.Ended
		merged.Failed += count.Failed
		merged.FirstByte = mergeBuckets(merged.FirstByte, count.FirstByte)
		merged.Whole = mergeBuckets(merged.Whole, count.Whole)
		c[key] = merged
	}
}

func (c routeCounts) sorted() []RouteCount {
	var counts []RouteCount
	for _, count := range c {
		counts = append(counts, count)
	}
	SortCounts(counts)
	return counts
}

// SortCounts sorts counts by route, with the old version before the target.
func SortCounts(counts []RouteCount) {
	slices.SortFunc(counts, func(a, b RouteCount) int {
		return cmp.Or(strings.Compare(a.Route, b.Route), cmp.Compare(armOrder(a), armOrder(b)))
	})
}

func armOrder(count RouteCount) int {
	if count.Target {
		return 1
	}
	return 0
}
