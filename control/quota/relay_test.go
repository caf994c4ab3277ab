package quota

import (
	"context"
	"errors"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

const testTenant ids.Tenant = "alpha"

// relayHarness is a relay with an issuer that grants all, is silent, or outlasts its caller.
type relayHarness struct {
	clock *clock.Fake
	relay *Relay
	// issuerFails has the issuer not answer; giveUp, if set, ends the caller's wait meanwhile.
	issuerFails  bool
	cancelCaller context.CancelFunc
	issueCalls   int
}

func newRelayHarness(t *testing.T) *relayHarness {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"customers":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	cfg = cfg.WithTenants([]config.Tenant{{Name: testTenant, RatePerSecond: 120, Burst: 120}})
	h := &relayHarness{clock: clock.NewFake()}
	h.relay = NewRelay(RelayOptions{
		Clock: h.clock, Address: "relay", Policy: Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, Zones: 1,
		Config: func() *config.Config { return cfg }, Routers: func() int { return 1 },
		Issue: func(_ context.Context, req AcquireRequest) (AcquireResponse, error) {
			h.issueCalls++
			if h.cancelCaller != nil {
				h.cancelCaller()
			}
			if h.issuerFails {
				return AcquireResponse{}, errors.New("no answer")
			}
			resp := AcquireResponse{Issuer: true}
			for _, need := range req.Needs {
				resp.Amounts = append(resp.Amounts, max(0, need.Amount))
			}
			return resp, nil
		},
		RenewAllowances: func(context.Context, AllowanceRequest) (AllowanceResponse, error) {
			return AllowanceResponse{}, errors.New("no answer")
		},
	})
	return h
}

// acquire has a router ask for one request's credit, and reports whether the relay answered
// by its issuer.
func (h *relayHarness) acquire(ctx context.Context, t *testing.T) (AcquireResponse, error) {
	t.Helper()
	return h.relay.Acquire(ctx, AcquireRequest{From: "router", Routers: 1, Needs: []Need{{Tenant: testTenant, Amount: 1, Immediate: true}}})
}

// TestRelay_requestsDoNotWaitForUnavailableIssuer cuts a relay off: once its own request failed, no
// router's waits for the issuer, since whoever waits is granted nothing in the end, and the
// router takes this relay for silent, too. Every second one waited before, so that routers
// never left their parts to the relay.
func TestRelay_requestsDoNotWaitForUnavailableIssuer(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
		t.Fatalf("not granted in contact: %+v, %v", resp, err)
	}
	h.issuerFails = true
	h.relay.Refill(ctx)
	h.issueCalls = 0
	for range 20 {
		h.clock.Advance(h.relay.options.Policy.RefillInterval())
		if resp, err := h.acquire(ctx, t); err != nil || resp.Issuer {
			t.Fatalf("%+v, %v from a relay whose issuer is silent", resp, err)
		}
	}
	if h.issueCalls > 0 {
		t.Errorf("%d of 20 requests waited for a silent issuer", h.issueCalls)
	}
	h.issuerFails = false
	h.relay.Refill(ctx)
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
		t.Errorf("not granted in contact again: %+v, %v", resp, err)
	}
}

// TestRelay_lateResponseDeniesOneNeed has one answer of the issuer come too late, as that over a
// new connection to another region may: the need is denied, and the zone's routers stay in
// contact. They all went on with their own parts before, for several intervals.
func TestRelay_lateResponseDeniesOneNeed(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	if _, err := h.acquire(ctx, t); err != nil {
		t.Fatal(err)
	}
	h.issuerFails = true
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer || resp.Amounts[0] != 0 {
		t.Errorf("%+v, %v for a need whose answer is late", resp, err)
	}
	h.issuerFails = false
	if resp, err := h.acquire(ctx, t); err != nil || resp.Amounts[0] != 1 {
		t.Errorf("%+v, %v afterwards", resp, err)
	}
}

// TestRelay_zoneShareIsDelayedAfterEachLoss loses the issuer twice, the second time long after the
// first: the zone's part must not be used at once, though it was free after the first loss.
func TestRelay_zoneShareIsDelayedAfterEachLoss(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	// More than the relay holds unspent, and less than its part makes in a second.
	need := AcquireRequest{From: "router", Routers: Delegating, Needs: []Need{{Tenant: testTenant, Amount: 100, Immediate: true}}}
	for range 2 {
		h.issuerFails = false
		h.relay.Refill(ctx)
		if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
			t.Fatalf("not granted in contact: %+v, %v", resp, err)
		}
		// Longer than the contact lasts, so that the next request finds the loss.
		h.clock.Advance(time.Minute)
		h.issuerFails = true
		for range 3 {
			resp, err := h.relay.Acquire(ctx, need)
			if err != nil || resp.Issuer || resp.Amounts[0] > 0 {
				t.Fatalf("%+v, %v right after the loss", resp, err)
			}
		}
		// The part is free after a while.
		granted := 0.0
		for range 40 {
			h.clock.Advance(h.relay.options.Policy.RefillInterval())
			resp, err := h.relay.Acquire(ctx, need)
			if err != nil {
				t.Fatal(err)
			}
			granted += resp.Amounts[0]
		}
		if granted == 0 {
			t.Error("the zone's part is never used")
		}
	}
}

// TestRelay_canceledCallerKeepsIssuerAvailable ends a router's wait before the issuer's
// answer: the relay stays in contact, and counts the router in.
func TestRelay_canceledCallerKeepsIssuerAvailable(t *testing.T) {
	h := newRelayHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := h.acquire(ctx, t); err != nil {
		t.Fatal(err)
	}
	h.issuerFails, h.cancelCaller = true, cancel
	if resp, err := h.acquire(ctx, t); err == nil {
		t.Fatalf("%+v for a caller that gave up", resp)
	}
	h.issuerFails, h.cancelCaller = false, nil
	if resp, err := h.acquire(context.Background(), t); err != nil || !resp.Issuer {
		t.Errorf("out of contact since a caller gave up: %+v, %v", resp, err)
	}
	if got := h.relay.routersInContact(h.clock.Now()); got != 1 {
		t.Errorf("%d routers are counted in, 1 is in contact", got)
	}
}
