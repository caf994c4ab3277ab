package ratelimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/config"
	"onyxwell/control/gossip"
	"onyxwell/control/quota"
)

func TestMain(m *testing.M) { proptest.Run(m) }

var errUnreachable = errors.New("cut off")

const (
	fleetZones = 4
	// relaysPerZone is how many relays a router asks, one after another; the first of
	// zone Z has the number Z, the next Z + fleetZones.
	relaysPerZone = 2
	fleetTenant   = ids.Tenant("alpha")
	// fleetLeaseTTL is how long the issuer's lease lasts if it is not renewed.
	fleetLeaseTTL = 1800 * time.Millisecond
	// fleetStep is the time between two rounds of requests.
	fleetStep = 20 * time.Millisecond
)

// fleet is routers with their limiters, two relays a zone and one issuer at a time, on
// one fake clock. Calls are made in place; a cut fails them.
type fleet struct {
	clock   *clock.Fake
	random  *rand.Rand
	config  *config.Config
	policy  quota.Policy
	updates *gossip.Store
	routers []*fleetRouter
	relays  [fleetZones * relaysPerZone]*fleetRelay
	issuer  *quota.Issuer
	// epoch is that of the issuer's lease; 0 while nobody holds it.
	epoch, lastEpoch int64
	nextRefill       clock.Instant
	ran              []ranRequest
	// refundFraction is the share of requests that no runner runs: each is given back after a
	// time of up to holdTime. held are those that wait for it.
	refundFraction float64
	maxRefundDelay time.Duration
	// activeRouters is how many routers, the first ones, get requests; 0 is all.
	activeRouters int
	// issuerWaits counts the needs for which a request waited for the issuer.
	issuerWaits    int
	pendingRefunds []pendingRefund
}

// pendingRefund is a request that was admitted and will not run.
type pendingRefund struct {
	dueAt  clock.Instant
	refund func()
}

type fleetRouter struct {
	zone              int
	limiter           *Limiter
	relaysUnreachable bool
	// lossRate is the share of calls whose answers come too late, though they are
	// acted on.
	lossRate float64
}

type fleetRelay struct {
	relay *quota.Relay
	// down relays answer nobody; issuerUnreachable ones do not reach the issuer.
	down, issuerUnreachable bool
	// A suspended relay serves nothing until it runs again; late is what came meanwhile.
	suspended bool
	queued    []func()
}

type ranRequest struct {
	at   clock.Instant
	cost float64
}

func newFleet(seed uint64, policy quota.Policy, tenant config.Tenant, routers int) *fleet {
	f := &fleet{
		clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 1)), policy: policy, updates: gossip.NewStore(nil),
		config: mustConfig(tenant),
	}
	for number := range f.relays {
		f.startRelay(number)
	}
	for index := range routers {
		f.routers = append(f.routers, &fleetRouter{zone: index % fleetZones})
		f.startRouter(index)
	}
	f.startIssuer()
	return f
}

func mustConfig(tenant config.Tenant) *config.Config {
	cfg, err := config.Parse([]byte(`{"customers":[]}`))
	if err != nil {
		panic(err)
	}
	return cfg.WithTenants([]config.Tenant{tenant})
}

func (f *fleet) activeConfig() *config.Config { return f.config }

func (f *fleet) routerCount() int { return len(f.routers) }

// startRouter starts a router anew, without credit.
func (f *fleet) startRouter(index int) {
	router := f.routers[index]
	router.limiter = New(Options{
		Clock: f.clock, Policy: f.policy, Config: f.activeConfig, Routers: f.routerCount, Random: f.random.Float64,
		Acquire: func(ctx context.Context, req quota.AcquireRequest, delegate ids.Address) (quota.RelayAnswer, error) {
			req.From = ids.Address(rune('A' + index))
			return quota.AskRelays(ctx, f.relayAddresses(router.zone), req, delegate, func(ctx context.Context, address ids.Address, req quota.AcquireRequest) (quota.AcquireResponse, error) {
				relay := f.relays[address[0]-'0']
				if relay.down || router.relaysUnreachable {
					return quota.AcquireResponse{}, errUnreachable
				}
				if relay.suspended {
					// It finds the request in its socket when it runs again.
					relay.queued = append(relay.queued, func() { _, _ = relay.relay.Acquire(context.Background(), req) })
					return quota.AcquireResponse{}, errUnreachable
				}
				resp, err := relay.relay.Acquire(ctx, req)
				if f.random.Float64() < router.lossRate {
					err = errUnreachable
				}
				return resp, err
			})
		},
	})
}

// relayAddresses returns the relays of a zone, in the order in which routers ask them.
func (f *fleet) relayAddresses(zone int) (addresses []ids.Address) {
	for number := zone; number < len(f.relays); number += fleetZones {
		addresses = append(addresses, ids.Address(rune('0'+number)))
	}
	return addresses
}

// resume has a relay run again: it serves what came meanwhile.
func (r *fleetRelay) resume() {
	queued := r.queued
	r.suspended, r.queued = false, nil
	for _, serve := range queued {
		serve()
	}
}

func (f *fleet) startRelay(number int) {
	state := &fleetRelay{}
	address := ids.Address(rune('0' + number))
	state.relay = quota.NewRelay(quota.RelayOptions{
		Clock: f.clock, Address: address, Policy: f.policy, Zones: fleetZones, Config: f.activeConfig, Routers: f.routerCount,
		Issue: func(_ context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
			if state.issuerUnreachable || f.epoch == 0 {
				return quota.AcquireResponse{}, errUnreachable
			}
			for _, need := range req.Needs {
				if need.Immediate {
					f.issuerWaits++
				}
			}
			return f.issuer.Acquire(req, f.clock.Now()), nil
		},
		RenewAllowances: func(_ context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
			if state.issuerUnreachable || f.epoch == 0 {
				return quota.AllowanceResponse{}, errUnreachable
			}
			return f.issuer.RenewAllowances(req, f.clock.Now()), nil
		},
	})
	f.relays[number] = state
}

// startIssuer has a new issuer hold the lease.
func (f *fleet) startIssuer() {
	f.lastEpoch++
	f.epoch = f.lastEpoch
	epoch := f.epoch
	f.issuer = quota.NewIssuer(quota.IssuerOptions{
		Clock: f.clock, Policy: f.policy, Config: f.activeConfig, Routers: f.routerCount, Updates: f.updates,
		Held: func(at clock.Instant) (int64, bool) {
			return epoch, f.epoch == epoch && at.Since(f.clock.Now()) <= fleetLeaseTTL
		},
	})
}

// step sends requests through random routers, each of a cost drawn from costs, and
// advances the clock. It returns how many of them were admitted.
func (f *fleet) step(requests int, costs []float64) (admitted int) {
	tenant := f.config.Tenant(fleetTenant)
	for range requests {
		router := f.routers[f.random.IntN(f.activeRouterCount())]
		cost := costs[f.random.IntN(len(costs))]
		limiter := router.limiter
		if charge, ok := limiter.Admit(context.Background(), tenant, cost); ok {
			admitted++
			f.runOrDelayRefund(func() { limiter.Refund(charge) }, cost)
		}
	}
	f.clock.Advance(fleetStep)
	f.makeDueRefunds()
	if now := f.clock.Now(); !now.Before(f.nextRefill) {
		f.nextRefill = now.Add(f.policy.RefillInterval())
		f.refill()
	}
	return admitted
}

// activeRouterCount returns how many routers get requests.
func (f *fleet) activeRouterCount() int {
	if f.activeRouters > 0 {
		return f.activeRouters
	}
	return len(f.routers)
}

// runOrDelayRefund has an admitted request run now, or be given back later.
func (f *fleet) runOrDelayRefund(refund func(), cost float64) {
	now := f.clock.Now()
	if f.refundFraction > 0 && f.random.Float64() < f.refundFraction {
		f.pendingRefunds = append(f.pendingRefunds, pendingRefund{dueAt: now.Add(time.Duration(f.random.Float64() * float64(f.maxRefundDelay))), refund: refund})
		return
	}
	f.ran = append(f.ran, ranRequest{at: now, cost: cost})
}

// makeDueRefunds gives back what was held for long enough.
func (f *fleet) makeDueRefunds() {
	now := f.clock.Now()
	f.pendingRefunds = slices.DeleteFunc(f.pendingRefunds, func(pending pendingRefund) bool {
		due := !now.Before(pending.dueAt)
		if due {
			pending.refund()
		}
		return due
	})
}

func (f *fleet) refill() {
	for _, router := range f.routers {
		router.limiter.refill(context.Background(), f.config)
	}
	for _, relay := range f.relays {
		if !relay.down && !relay.suspended {
			relay.relay.Refill(context.Background())
		}
	}
}

// excess returns by how much the requests of the worst window exceeded what may run
// in one, as a part of that.
func (f *fleet) excess() float64 {
	tenant := f.config.Tenant(fleetTenant)
	allowed := (tenant.RatePerSecond*f.policy.Window.Seconds()+tenant.Burst)*(1+f.policy.Excess) + f.policy.Slack
	worst, sum, first := 0.0, 0.0, 0
	for _, request := range f.ran {
		sum += request.cost
		for f.ran[first].at.Add(f.policy.Window).Before(request.at) {
			sum -= f.ran[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst/allowed - 1
}

// fleetQuota is a quota of one kind of deployment, with the costs of requests.
type fleetQuota struct {
	name    string
	policy  quota.Policy
	tenant  config.Tenant
	routers int
	costs   []float64
}

var fleetQuotas = []fleetQuota{
	{"tokens", quota.Policy{Window: 8 * time.Second, Excess: 0.1, Slack: 190000},
		config.Tenant{Name: fleetTenant, RatePerSecond: 270000, Burst: 270000, Unit: config.Tokens}, 40, []float64{430, 430, 430, 430, 200, 17000}},
	{"requests", quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
		config.Tenant{Name: fleetTenant, RatePerSecond: 192, Burst: 192}, 40, []float64{1}},
	{"small", quota.Policy{Window: 8 * time.Second, Excess: 0.1, Slack: 190000},
		config.Tenant{Name: fleetTenant, RatePerSecond: 47000, Burst: 47000, Unit: config.Tokens}, 40, []float64{430, 200, 17000}},
}

// requestsPerStep is how many requests make a part of the quota's rate.
func (q fleetQuota) requestsPerStep(load float64) float64 {
	mean := 0.0
	for _, cost := range q.costs {
		mean += cost / float64(len(q.costs))
	}
	return load * q.tenant.RatePerSecond * fleetStep.Seconds() / mean
}

// run plays requests for a time at a part of the quota's rate, and returns which
// part of them was admitted.
func (q fleetQuota) run(f *fleet, duration time.Duration, load float64) float64 {
	sent, admitted, due := 0, 0, 0.0
	for range int(duration / fleetStep) {
		due += q.requestsPerStep(load)
		count := int(due)
		due -= float64(count)
		sent += count
		admitted += f.step(count, q.costs)
	}
	return float64(admitted) / float64(max(1, sent))
}

// injectFault begins or ends a injectFault. No more than a quarter of the routers is cut off or
// restarted at once, and one relay.
func (f *fleet) injectFault(kind int) {
	number := f.random.IntN(len(f.relays))
	switch kind {
	case 0: // The issuer is lost; the lease is free for a while.
		f.epoch = 0
	case 1: // Another takes over, also from one that has not noticed.
		f.startIssuer()
	case 2: // One zone's relays lose contact with the issuer, or some of them, or have it again.
		for other, relay := range f.relays {
			relay.issuerUnreachable = other%fleetZones == number%fleetZones && f.random.IntN(3) > 0
		}
	case 3: // A relay restarts, or is silent, or answers again.
		f.startRelay(number)
		f.relays[number].down = f.random.IntN(2) == 0
	case 4: // A tenth of the routers restarts.
		for range len(f.routers) / 10 {
			f.startRouter(f.random.IntN(len(f.routers)))
		}
	case 6: // The answers to all routers are late again and again, or no more.
		rate := f.random.Float64() * float64(f.random.IntN(2))
		for _, router := range f.routers {
			router.lossRate = rate
		}
	case 5: // Other routers lose contact.
		for _, router := range f.routers {
			router.relaysUnreachable = f.random.IntN(8) == 0
		}
	}
}
