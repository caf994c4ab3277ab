package ratelimit

import (
	"context"
	"math"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/quota"
)

// relayStub answers a limiter while it is reachable, and keeps what was asked.
type relayStub struct {
	reachable bool
	grants    bool
	needs     []quota.Need
}

func (r *relayStub) acquire(_ context.Context, req quota.AcquireRequest, _ ids.Address) (quota.RelayAnswer, error) {
	if !r.reachable {
		return quota.RelayAnswer{}, errUnreachable
	}
	r.needs = append(r.needs, req.Needs...)
	resp := quota.AcquireResponse{Issuer: true, Amounts: make([]float64, len(req.Needs))}
	for index, need := range req.Needs {
		if r.grants && need.Amount > 0 {
			resp.Amounts[index] = need.Amount
		}
	}
	return quota.RelayAnswer{AcquireResponse: resp, Relay: "relay"}, nil
}

// admits reports whether a limiter admits a request.
func admits(ctx context.Context, limiter *Limiter, tenant *config.Tenant, cost float64) bool {
	_, ok := limiter.Admit(ctx, tenant, cost)
	return ok
}

// expectOnlyGrace sends requests of which no more than the grace may be admitted.
func expectOnlyGrace(ctx context.Context, t *testing.T, limiter *Limiter, requests int, condition string) {
	t.Helper()
	tenant, admitted := limiter.options.Config().Tenant(fleetTenant), 0.0
	for range requests {
		if admits(ctx, limiter, tenant, 1) {
			admitted++
		}
	}
	if grace := limiter.options.Policy.GraceLimit(tenant, 1).Burst; admitted > math.Ceil(grace) {
		t.Errorf("%g requests are admitted with a grace of %g, %s", admitted, grace, condition)
	}
}

func newStubbedLimiter() (*Limiter, *relayStub, *clock.Fake, *config.Tenant) {
	stub, fakeClock := &relayStub{}, clock.NewFake()
	cfg := mustConfig(config.Tenant{Name: fleetTenant, RatePerSecond: 10, Burst: 10})
	limiter := New(Options{
		Clock: fakeClock, Policy: quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 5}, Config: func() *config.Config { return cfg },
		Routers: func() int { return 1 }, Acquire: stub.acquire, Random: func() float64 { return 0.5 },
	})
	return limiter, stub, fakeClock, cfg.Tenant(fleetTenant)
}

// TestLimiter_ownShareIsNotReturned has a router be out of contact for a while: what
// it accrued meanwhile is neither given back as credit nor kept for the next time.
func TestLimiter_ownShareIsNotReturned(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	ctx := context.Background()
	fakeClock.Advance(time.Second)
	for range 3 {
		if !admits(ctx, limiter, tenant, 1) {
			t.Fatal("a router out of contact does not use its own part")
		}
	}
	stub.reachable = true
	fakeClock.Advance(time.Second)
	limiter.refill(ctx, limiter.options.Config())
	for _, need := range stub.needs {
		if need.Amount < 0 {
			t.Errorf("%g are given back that nobody issued", -need.Amount)
		}
	}
	stub.reachable = false
	expectOnlyGrace(ctx, t, limiter, 5, "from what accrued before the last contact")
}

// TestLimiter_refundIsReturnedToRelay returns to the relay what a request was charged that
// no runner ran, beyond what the router may hold.
func TestLimiter_refundIsReturnedToRelay(t *testing.T) {
	limiter, stub, _, tenant := newStubbedLimiter()
	stub.reachable, stub.grants = true, true
	ctx := context.Background()
	charge, ok := limiter.Admit(ctx, tenant, 8)
	if !ok || limiter.Requests(Relay) != 1 {
		t.Fatal("a request that the relay grants is not admitted")
	}
	limiter.Refund(charge)
	stub.needs = nil
	limiter.refill(ctx, limiter.options.Config())
	limit := limiter.options.Policy.RouterCreditLimit(tenant, 1)
	if len(stub.needs) != 1 || stub.needs[0].Amount != limit-8 {
		t.Errorf("asked for %+v with a stock of %g", stub.needs, limit)
	}
}

// TestLimiter_denialCoversLargerRequests has the relay not asked again for as much
// as it denied, and asked for less.
func TestLimiter_denialCoversLargerRequests(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	stub.reachable = true
	ctx := context.Background()
	for _, step := range []struct {
		cost  float64
		asked int
	}{{5, 1}, {5, 1}, {9, 1}, {2, 2}, {3, 2}} {
		if admits(ctx, limiter, tenant, step.cost) || len(stub.needs) != step.asked {
			t.Errorf("cost %g: asked %d times, not %d", step.cost, len(stub.needs), step.asked)
		}
	}
	fakeClock.Advance(limiter.options.Policy.RefillInterval())
	stub.grants = true
	if !admits(ctx, limiter, tenant, 5) {
		t.Error("a denial outlives its time")
	}
}

// TestLimiter_ownShareOnlyWhileDetached has a caller wait no longer for a slow relay
// while the issuer counts this router in: there is the grace alone, and nothing of the
// router's own part.
func TestLimiter_ownShareOnlyWhileDetached(t *testing.T) {
	limiter, stub, fakeClock, _ := newStubbedLimiter()
	stub.reachable = true
	limiter.refill(context.Background(), limiter.options.Config())
	fakeClock.Advance(10 * time.Second)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	stub.reachable = false
	expectOnlyGrace(canceled, t, limiter, 10, "by a router that is counted in")
}

// TestLimiter_prefetchesNothingWithoutRouterCount has a router that does not know how many there
// are ask for no credit to be kept.
func TestLimiter_prefetchesNothingWithoutRouterCount(t *testing.T) {
	limiter, stub, _, tenant := newStubbedLimiter()
	limiter.options.Routers = func() int { return 0 }
	stub.reachable, stub.grants = true, true
	limiter.Admit(context.Background(), tenant, 1)
	stub.needs = nil
	limiter.refill(context.Background(), limiter.options.Config())
	if len(stub.needs) > 0 {
		t.Errorf("asked for %+v", stub.needs)
	}
}

// TestLimiter_refundsToChargedSource gives charges back at different ages: those of the
// router's own part become no credit that it could hand to others, and old ones are gone.
func TestLimiter_refundsToChargedSource(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	ctx := context.Background()
	fakeClock.Advance(time.Second)
	charge, ok := limiter.Admit(ctx, tenant, 3)
	if !ok || charge.source != Detached {
		t.Fatalf("%+v, %v", charge, ok)
	}
	ownShare := limiter.credits[fleetTenant].ownShare.Tokens
	limiter.Refund(charge)
	if c := limiter.credits[fleetTenant]; c.ownShare.Tokens != ownShare+3 || c.Tokens != 0 {
		t.Errorf("%g of the own part and %g of credit, not %g and 0", c.ownShare.Tokens, c.Tokens, ownShare+3)
	}
	stub.reachable, stub.grants = true, true
	fakeClock.Advance(time.Second)
	limiter.refill(ctx, limiter.options.Config())
	issued, _ := limiter.Admit(ctx, tenant, 8)
	unspent := limiter.credits[fleetTenant].Tokens
	fakeClock.Advance(time.Minute)
	limiter.Refund(issued)
	if got := limiter.credits[fleetTenant].Tokens; got != unspent {
		t.Errorf("a charge of a minute ago is given back: %g, not %g", got, unspent)
	}
}
