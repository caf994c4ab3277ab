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

// relayStub is a relay in contact with the issuer that responds while it is reachable. It
// grants every need in full if grants is set and nothing otherwise, and records the needs.
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

// admits reports whether a limiter admits a request with the given cost.
func admits(ctx context.Context, limiter *Limiter, tenant *config.Tenant, cost float64) bool {
	_, ok := limiter.Admit(ctx, tenant, cost)
	return ok
}

// expectOnlyGrace sends requests with a cost of 1, and fails the test if more of them are admitted
// than the grace allows.
func expectOnlyGrace(ctx context.Context, t *testing.T, limiter *Limiter, requests int, condition string) {
	t.Helper()
	tenant, admitted := limiter.options.Config().Tenant(fleetTenant), 0.0
	for range requests {
		if admits(ctx, limiter, tenant, 1) {
			admitted++
		}
	}
	if grace := limiter.options.Policy.GraceLimit(tenant, 1).Burst; admitted > math.Ceil(grace) {
		t.Errorf("%g requests were admitted, more than the grace of %g allows, %s", admitted, grace, condition)
	}
}

// newStubbedLimiter returns the limiter of a single router, with its relay, its clock and a tenant
// that may send 10 requests per second.
func newStubbedLimiter() (*Limiter, *relayStub, *clock.Fake, *config.Tenant) {
	stub, fakeClock := &relayStub{}, clock.NewFake()
	cfg := mustConfig(config.Tenant{Name: fleetTenant, RatePerSecond: 10, Burst: 10})
	limiter := New(Options{
		Clock: fakeClock, Policy: quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 5}, Config: func() *config.Config { return cfg },
		Routers: func() int { return 1 }, Acquire: stub.acquire, Random: func() float64 { return 0.5 },
	})
	return limiter, stub, fakeClock, cfg.Tenant(fleetTenant)
}

// TestLimiter_ownShareIsNotReturned detaches a router for a while. What its own share accrued
// meanwhile must neither be returned as credit nor be kept until the router is detached again.
func TestLimiter_ownShareIsNotReturned(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	ctx := context.Background()
	fakeClock.Advance(time.Second)
	for range 3 {
		if !admits(ctx, limiter, tenant, 1) {
			t.Fatal("a detached router did not admit a request from its own share")
		}
	}
	stub.reachable = true
	fakeClock.Advance(time.Second)
	limiter.refill(ctx, limiter.options.Config())
	for _, need := range stub.needs {
		if need.Amount < 0 {
			t.Errorf("%g credit was returned to the relay, want none: it was not issued", -need.Amount)
		}
	}
	stub.reachable = false
	expectOnlyGrace(ctx, t, limiter, 5, "although what the own share accrued before the last contact is discarded")
}

// TestLimiter_refundIsReturnedToRelay refunds a charge that exceeds the credit that the router may
// hold. The next refill must return the rest to the relay.
func TestLimiter_refundIsReturnedToRelay(t *testing.T) {
	limiter, stub, _, tenant := newStubbedLimiter()
	stub.reachable, stub.grants = true, true
	ctx := context.Background()
	charge, ok := limiter.Admit(ctx, tenant, 8)
	if !ok || limiter.Requests(Relay) != 1 {
		t.Fatal("a request that the relay granted was not admitted from Relay")
	}
	limiter.Refund(charge)
	stub.needs = nil
	limiter.refill(ctx, limiter.options.Config())
	limit := limiter.options.Policy.RouterCreditLimit(tenant, 1)
	if len(stub.needs) != 1 || stub.needs[0].Amount != limit-8 {
		t.Errorf("the relay was asked for %+v, want a return of the refund beyond the limit of %g", stub.needs, limit)
	}
}

// TestLimiter_denialCoversLargerRequests checks that after a denial the relay is not asked again
// for the same or a larger amount, but is asked for a smaller one, until the denial expires.
func TestLimiter_denialCoversLargerRequests(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	stub.reachable = true
	ctx := context.Background()
	for _, step := range []struct {
		cost  float64
		asked int
	}{{5, 1}, {5, 1}, {9, 1}, {2, 2}, {3, 2}} {
		if admits(ctx, limiter, tenant, step.cost) || len(stub.needs) != step.asked {
			t.Errorf("cost %g: the request was admitted, or the relay was asked %d times, want %d", step.cost, len(stub.needs), step.asked)
		}
	}
	fakeClock.Advance(limiter.options.Policy.RefillInterval())
	stub.grants = true
	if !admits(ctx, limiter, tenant, 5) {
		t.Error("a request was still rejected one refill interval after the denial")
	}
}

// TestLimiter_ownShareOnlyWhileDetached has callers stop waiting for a slow relay while the issuer
// counts this router. Only the grace may admit their requests, not the router's own share.
func TestLimiter_ownShareOnlyWhileDetached(t *testing.T) {
	limiter, stub, fakeClock, _ := newStubbedLimiter()
	stub.reachable = true
	limiter.refill(context.Background(), limiter.options.Config())
	fakeClock.Advance(10 * time.Second)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	stub.reachable = false
	expectOnlyGrace(canceled, t, limiter, 10, "although the issuer still counts the router")
}

// TestLimiter_prefetchesNothingWithoutRouterCount checks that a router that does not know the
// number of routers prefetches no credit.
func TestLimiter_prefetchesNothingWithoutRouterCount(t *testing.T) {
	limiter, stub, _, tenant := newStubbedLimiter()
	limiter.options.Routers = func() int { return 0 }
	stub.reachable, stub.grants = true, true
	limiter.Admit(context.Background(), tenant, 1)
	stub.needs = nil
	limiter.refill(context.Background(), limiter.options.Config())
	if len(stub.needs) > 0 {
		t.Errorf("the relay was asked for %+v, want no needs", stub.needs)
	}
}

// TestLimiter_refundsToChargedSource refunds charges of different sources and ages. A refund to
// the router's own share must not become credit that could be returned to a relay, and a charge
// that is one minute old must not be refunded.
func TestLimiter_refundsToChargedSource(t *testing.T) {
	limiter, stub, fakeClock, tenant := newStubbedLimiter()
	ctx := context.Background()
	fakeClock.Advance(time.Second)
	charge, ok := limiter.Admit(ctx, tenant, 3)
	if !ok || charge.source != Detached {
		t.Fatalf("got charge %+v, admitted %v, want a charge to the router's own share", charge, ok)
	}
	ownShare := limiter.credits[fleetTenant].ownShare.Tokens
	limiter.Refund(charge)
	if c := limiter.credits[fleetTenant]; c.ownShare.Tokens != ownShare+3 || c.Tokens != 0 {
		t.Errorf("after the refund the own share has %g and the issued credit %g, want %g and 0", c.ownShare.Tokens, c.Tokens, ownShare+3)
	}
	stub.reachable, stub.grants = true, true
	fakeClock.Advance(time.Second)
	limiter.refill(ctx, limiter.options.Config())
	issued, _ := limiter.Admit(ctx, tenant, 8)
	unspent := limiter.credits[fleetTenant].Tokens
	fakeClock.Advance(time.Minute)
	limiter.Refund(issued)
	if got := limiter.credits[fleetTenant].Tokens; got != unspent {
		t.Errorf("after the refund of a charge one minute old the credit is %g, want %g", got, unspent)
	}
}
