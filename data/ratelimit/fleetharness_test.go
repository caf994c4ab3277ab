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

var errUnreachable = errors.New("unreachable")

const (
	fleetZones = 4
	// relaysPerZone is the number of relays that a router asks, one after another. The first
	// relay of zone Z has the number Z, the second has Z + fleetZones.
	relaysPerZone = 2
	fleetTenant   = ids.Tenant("alpha")
	// fleetLeaseTTL is how long the issuer's lease lasts if it is not renewed.
	fleetLeaseTTL = 1800 * time.Millisecond
	// fleetStep is the time between two batches of requests.
	fleetStep = 20 * time.Millisecond
)

// fleet simulates routers with their limiters, two relays per zone and one issuer at a time
// on a fake clock. Calls are synchronous, and fail if the callee is unreachable.
type fleet struct {
	clock   *clock.Fake
	random  *rand.Rand
	config  *config.Config
	policy  quota.Policy
	updates *gossip.Store
	routers []*fleetRouter
	relays  [fleetZones * relaysPerZone]*fleetRelay
	issuer  *quota.Issuer
	// epoch is the epoch of the issuer's lease, 0 while no issuer holds it. lastEpoch is the
	// highest epoch so far.
	epoch, lastEpoch int64
	nextRefill       clock.Instant
	ran              []ranRequest
	// refundFraction is the fraction of admitted requests that no runner runs. Each of them is
	// refunded after a random time of up to maxRefundDelay.
	refundFraction float64
	maxRefundDelay time.Duration
	// activeRouters limits the requests to that many routers, the first ones; 0 means all.
	activeRouters int
	// issuerWaits counts the needs for which a request waited for the issuer.
	issuerWaits    int
	pendingRefunds []pendingRefund
}

// pendingRefund is the refund of a request that was admitted and does not run.
type pendingRefund struct {
	dueAt  clock.Instant
	refund func()
}

type fleetRouter struct {
	zone              int
	limiter           *Limiter
	relaysUnreachable bool
	// lossRate is the fraction of calls to relays that are carried out but whose responses
	// are lost.
	lossRate float64
}

type fleetRelay struct {
	relay *quota.Relay
	// down says that the relay responds to no router. issuerUnreachable says that its own
	// calls to the issuer fail.
	down, issuerUnreachable bool
	// A suspended relay handles no requests until it is resumed. queued has the requests that
	// arrived meanwhile.
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

// startRouter starts or restarts a router, without credit.
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
					// The request stays in the relay's socket until the relay is resumed.
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

// relayAddresses returns the addresses of a zone's relays, in the order in which routers ask
// them.
func (f *fleet) relayAddresses(zone int) (addresses []ids.Address) {
	for number := zone; number < len(f.relays); number += fleetZones {
		addresses = append(addresses, ids.Address(rune('0'+number)))
	}
	return addresses
}

// resume ends the suspension of a relay, which then handles the queued requests.
func (r *fleetRelay) resume() {
	queued := r.queued
	r.suspended, r.queued = false, nil
	for _, serve := range queued {
		serve()
	}
}

// startRelay starts or restarts a relay, without credit.
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

// startIssuer starts a new issuer, which holds the lease in a new epoch.
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

// step sends requests to random active routers, each with a cost drawn from costs, advances
// the clock by fleetStep, and makes the refunds and refills that are due. It returns how many
// of the requests were admitted.
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

// activeRouterCount returns the number of routers that receive requests.
func (f *fleet) activeRouterCount() int {
	if f.activeRouters > 0 {
		return f.activeRouters
	}
	return len(f.routers)
}

// runOrDelayRefund records that an admitted request runs now or, with a probability of
// refundFraction, schedules its refund.
func (f *fleet) runOrDelayRefund(refund func(), cost float64) {
	now := f.clock.Now()
	if f.refundFraction > 0 && f.random.Float64() < f.refundFraction {
		f.pendingRefunds = append(f.pendingRefunds, pendingRefund{dueAt: now.Add(time.Duration(f.random.Float64() * float64(f.maxRefundDelay))), refund: refund})
		return
	}
	f.ran = append(f.ran, ranRequest{at: now, cost: cost})
}

// makeDueRefunds makes the pending refunds whose time has come.
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

// refill refills all routers, and the relays that are neither down nor suspended.
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

// excess returns the fraction by which the cost of the requests in the worst window exceeds
// the cost that may run in a window. It is negative if all windows are below that.
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

// fleetQuota is a tenant's quota in one kind of deployment, with the number of routers and
// the costs from which those of the requests are drawn.
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

// requestsPerStep returns the mean number of requests per step for a load, which is a multiple
// of the quota's rate.
func (q fleetQuota) requestsPerStep(load float64) float64 {
	mean := 0.0
	for _, cost := range q.costs {
		mean += cost / float64(len(q.costs))
	}
	return load * q.tenant.RatePerSecond * fleetStep.Seconds() / mean
}

// run sends requests for a time at the given load, a multiple of the quota's rate, and returns
// the fraction of them that was admitted.
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

// injectFault begins or ends a fault of the given kind, 0 to 6. One call restarts at most a
// tenth of the routers and one relay, and cuts off each router with a probability of 1/8.
func (f *fleet) injectFault(kind int) {
	number := f.random.IntN(len(f.relays))
	switch kind {
	case 0: // The issuer is lost, and nobody holds the lease until the next issuer starts.
		f.epoch = 0
	case 1: // Another issuer takes over, whether or not the lease is free.
		f.startIssuer()
	case 2: // Some or all relays of one zone lose contact with the issuer, all others regain it.
		for other, relay := range f.relays {
			relay.issuerUnreachable = other%fleetZones == number%fleetZones && f.random.IntN(3) > 0
		}
	case 3: // A relay restarts. It is then down with a probability of 1/2.
		f.startRelay(number)
		f.relays[number].down = f.random.IntN(2) == 0
	case 4: // Up to a tenth of the routers restart.
		for range len(f.routers) / 10 {
			f.startRouter(f.random.IntN(len(f.routers)))
		}
	case 6: // Relays' responses to all routers are lost at a random rate, or no longer.
		rate := f.random.Float64() * float64(f.random.IntN(2))
		for _, router := range f.routers {
			router.lossRate = rate
		}
	case 5: // Other routers lose contact with their relays, the rest regain it.
		for _, router := range f.routers {
			router.relaysUnreachable = f.random.IntN(8) == 0
		}
	}
}
