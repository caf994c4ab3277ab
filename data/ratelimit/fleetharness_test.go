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

var errCut = errors.New("cut off")

const (
	fleetZones = 4
	// relaysPerZone is how many relays a router asks, one after another; the first of
	// zone Z has the number Z, the next Z + fleetZones.
	relaysPerZone = 2
	fleetTenant   = ids.Tenant("alpha")
	// fleetLease is how long the issuer's lease lasts if it is not renewed.
	fleetLease = 1800 * time.Millisecond
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
	nextFill         clock.Instant
	ran              []ranRequest
	// heldShare is the share of requests that no runner runs: each is given back after a
	// time of up to holdTime. held are those that wait for it.
	heldShare float64
	holdTime  time.Duration
	// reached is how many routers, the first ones, get requests; 0 is all.
	reached int
	// issuerWaits counts the needs for which a request waited for the issuer.
	issuerWaits int
	held        []heldRequest
}

// heldRequest is a request that was admitted and will not run.
type heldRequest struct {
	until  clock.Instant
	refund func()
}

type fleetRouter struct {
	zone    int
	limiter *Limiter
	cut     bool
	// lossRate is the share of calls whose answers come too late, though they are
	// acted on.
	lossRate float64
}

type fleetRelay struct {
	relay *quota.Relay
	// down relays answer nobody; cut ones do not reach the issuer.
	down, cut bool
	// A frozen relay serves nothing until it runs again; late is what came meanwhile.
	frozen bool
	late   []func()
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
	f.takeLease()
	return f
}

func mustConfig(tenant config.Tenant) *config.Config {
	cfg, err := config.Parse([]byte(`{"customers":[]}`))
	if err != nil {
		panic(err)
	}
	return cfg.WithTenants([]config.Tenant{tenant})
}

func (f *fleet) inForce() *config.Config { return f.config }

func (f *fleet) routerCount() int { return len(f.routers) }

// startRouter starts a router anew, without credit.
func (f *fleet) startRouter(index int) {
	router := f.routers[index]
	router.limiter = New(Options{
		Clock: f.clock, Policy: f.policy, Config: f.inForce, Routers: f.routerCount, Random: f.random.Float64,
		Acquire: func(ctx context.Context, req quota.AcquireRequest, delegate ids.Address) (quota.RelayAnswer, error) {
			req.From = ids.Address(rune('A' + index))
			return quota.AskRelays(ctx, f.relayAddresses(router.zone), req, delegate, func(ctx context.Context, address ids.Address, req quota.AcquireRequest) (quota.AcquireResponse, error) {
				relay := f.relays[address[0]-'0']
				if relay.down || router.cut {
					return quota.AcquireResponse{}, errCut
				}
				if relay.frozen {
					// It finds the request in its socket when it runs again.
					relay.late = append(relay.late, func() { _, _ = relay.relay.Acquire(context.Background(), req) })
					return quota.AcquireResponse{}, errCut
				}
				resp, err := relay.relay.Acquire(ctx, req)
				if f.random.Float64() < router.lossRate {
					err = errCut
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

// thaw has a relay run again: it serves what came meanwhile.
func (r *fleetRelay) thaw() {
	late := r.late
	r.frozen, r.late = false, nil
	for _, serve := range late {
		serve()
	}
}

func (f *fleet) startRelay(number int) {
	state := &fleetRelay{}
	address := ids.Address(rune('0' + number))
	state.relay = quota.NewRelay(quota.RelayOptions{
		Clock: f.clock, Address: address, Policy: f.policy, Zones: fleetZones, Config: f.inForce, Routers: f.routerCount,
		Issue: func(_ context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
			if state.cut || f.epoch == 0 {
				return quota.AcquireResponse{}, errCut
			}
			for _, need := range req.Needs {
				if need.Immediate {
					f.issuerWaits++
				}
			}
			return f.issuer.Acquire(req, f.clock.Now()), nil
		},
		RenewAllowances: func(_ context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
			if state.cut || f.epoch == 0 {
				return quota.AllowanceResponse{}, errCut
			}
			return f.issuer.RenewAllowances(req, f.clock.Now()), nil
		},
	})
	f.relays[number] = state
}

// takeLease has a new issuer hold the lease.
func (f *fleet) takeLease() {
	f.lastEpoch++
	f.epoch = f.lastEpoch
	epoch := f.epoch
	f.issuer = quota.NewIssuer(quota.IssuerOptions{
		Clock: f.clock, Policy: f.policy, Config: f.inForce, Routers: f.routerCount, Updates: f.updates,
		Held: func(at clock.Instant) (int64, bool) {
			return epoch, f.epoch == epoch && at.Since(f.clock.Now()) <= fleetLease
		},
	})
}

// step sends requests through random routers, each of a cost drawn from costs, and
// advances the clock. It returns how many of them were admitted.
func (f *fleet) step(requests int, costs []float64) (admitted int) {
	tenant := f.config.Tenant(fleetTenant)
	for range requests {
		router := f.routers[f.random.IntN(f.reachedRouters())]
		cost := costs[f.random.IntN(len(costs))]
		limiter := router.limiter
		if charge, ok := limiter.Admit(context.Background(), tenant, cost); ok {
			admitted++
			f.runOrHold(func() { limiter.Refund(charge) }, cost)
		}
	}
	f.clock.Advance(fleetStep)
	f.refundHeld()
	if now := f.clock.Now(); !now.Before(f.nextFill) {
		f.nextFill = now.Add(f.policy.RefillInterval())
		f.fillUp()
	}
	return admitted
}

// reachedRouters returns how many routers get requests.
func (f *fleet) reachedRouters() int {
	if f.reached > 0 {
		return f.reached
	}
	return len(f.routers)
}

// runOrHold has an admitted request run now, or be given back later.
func (f *fleet) runOrHold(refund func(), cost float64) {
	now := f.clock.Now()
	if f.heldShare > 0 && f.random.Float64() < f.heldShare {
		f.held = append(f.held, heldRequest{until: now.Add(time.Duration(f.random.Float64() * float64(f.holdTime))), refund: refund})
		return
	}
	f.ran = append(f.ran, ranRequest{at: now, cost: cost})
}

// refundHeld gives back what was held for long enough.
func (f *fleet) refundHeld() {
	now := f.clock.Now()
	f.held = slices.DeleteFunc(f.held, func(request heldRequest) bool {
		due := !now.Before(request.until)
		if due {
			request.refund()
		}
		return due
	})
}

func (f *fleet) fillUp() {
	for _, router := range f.routers {
		router.limiter.refill(context.Background(), f.config)
	}
	for _, relay := range f.relays {
		if !relay.down && !relay.frozen {
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
func (q fleetQuota) requestsPerStep(part float64) float64 {
	mean := 0.0
	for _, cost := range q.costs {
		mean += cost / float64(len(q.costs))
	}
	return part * q.tenant.RatePerSecond * fleetStep.Seconds() / mean
}

// run plays requests for a time at a part of the quota's rate, and returns which
// part of them was admitted.
func (q fleetQuota) run(f *fleet, length time.Duration, part float64) float64 {
	sent, admitted, due := 0, 0, 0.0
	for range int(length / fleetStep) {
		due += q.requestsPerStep(part)
		count := int(due)
		due -= float64(count)
		sent += count
		admitted += f.step(count, q.costs)
	}
	return float64(admitted) / float64(max(1, sent))
}

// fault begins or ends a fault. No more than a quarter of the routers is cut off or
// restarted at once, and one relay.
func (f *fleet) fault(kind int) {
	number := f.random.IntN(len(f.relays))
	switch kind {
	case 0: // The issuer is lost; the lease is free for a while.
		f.epoch = 0
	case 1: // Another takes over, also from one that has not noticed.
		f.takeLease()
	case 2: // One zone's relays lose contact with the issuer, or some of them, or have it again.
		for other, relay := range f.relays {
			relay.cut = other%fleetZones == number%fleetZones && f.random.IntN(3) > 0
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
			router.cut = f.random.IntN(8) == 0
		}
	}
}
