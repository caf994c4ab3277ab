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

// relayHarness is a relay whose issuer grants everything, fails, or outlasts its caller.
type relayHarness struct {
	clock *clock.Fake
	relay *Relay
	// issuerFails makes the issuer fail. cancelCaller, if set, cancels the caller's context
	// while the issuer handles the request.
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
				return AcquireResponse{}, errors.New("no response")
			}
			resp := AcquireResponse{Issuer: true}
			for _, need := range req.Needs {
				resp.Amounts = append(resp.Amounts, max(0, need.Amount))
			}
			return resp, nil
		},
		RenewAllowances: func(context.Context, AllowanceRequest) (AllowanceResponse, error) {
			return AllowanceResponse{}, errors.New("no response")
		},
	})
	return h
}

// acquire requests credit for one request on behalf of a router.
func (h *relayHarness) acquire(ctx context.Context, t *testing.T) (AcquireResponse, error) {
	t.Helper()
	return h.relay.Acquire(ctx, AcquireRequest{From: "router", Routers: 1, Needs: []Need{{Tenant: testTenant, Amount: 1, Immediate: true}}})
}

// TestRelay_requestsDoNotWaitForUnavailableIssuer checks that no router's request waits for the
// issuer once the relay's own request has failed. Such a request is granted nothing in the
// end, and the router then takes the relay to be unresponsive, too. Every second request used
// to wait, so that routers never delegated their shares to the relay.
func TestRelay_requestsDoNotWaitForUnavailableIssuer(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
		t.Fatalf("in contact: got %+v, error %v, want Issuer true", resp, err)
	}
	h.issuerFails = true
	h.relay.Refill(ctx)
	h.issueCalls = 0
	for range 20 {
		h.clock.Advance(h.relay.options.Policy.RefillInterval())
		if resp, err := h.acquire(ctx, t); err != nil || resp.Issuer {
			t.Fatalf("issuer unavailable: got %+v, error %v, want Issuer false", resp, err)
		}
	}
	if h.issueCalls > 0 {
		t.Errorf("%d of 20 requests waited for an unavailable issuer", h.issueCalls)
	}
	h.issuerFails = false
	h.relay.Refill(ctx)
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
		t.Errorf("in contact again: got %+v, error %v, want Issuer true", resp, err)
	}
}

// TestRelay_lateResponseDeniesOneNeed covers a single response of the issuer that comes too late,
// as may happen over a new connection to another region. The need must be denied and the
// zone's routers must stay in contact; they used to fall back to their own shares for several
// intervals.
func TestRelay_lateResponseDeniesOneNeed(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	if _, err := h.acquire(ctx, t); err != nil {
		t.Fatal(err)
	}
	h.issuerFails = true
	if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer || resp.Amounts[0] != 0 {
		t.Errorf("late response: got %+v, error %v, want Issuer true and no grant", resp, err)
	}
	h.issuerFails = false
	if resp, err := h.acquire(ctx, t); err != nil || resp.Amounts[0] != 1 {
		t.Errorf("after the late response: got %+v, error %v, want a grant of 1", resp, err)
	}
}

// TestRelay_zoneShareIsDelayedAfterEachLoss loses the issuer twice, the second time long after the
// first. The zone's share must not be available immediately after the second loss, although it
// was available at the end of the first.
func TestRelay_zoneShareIsDelayedAfterEachLoss(t *testing.T) {
	h := newRelayHarness(t)
	ctx := context.Background()
	// More than the relay holds unspent, and less than the zone's share yields in a second.
	need := AcquireRequest{From: "router", Routers: Delegating, Needs: []Need{{Tenant: testTenant, Amount: 100, Immediate: true}}}
	for range 2 {
		h.issuerFails = false
		h.relay.Refill(ctx)
		if resp, err := h.acquire(ctx, t); err != nil || !resp.Issuer {
			t.Fatalf("in contact: got %+v, error %v, want Issuer true", resp, err)
		}
		// Longer than ContactTimeout, so that the next request detects the loss.
		h.clock.Advance(time.Minute)
		h.issuerFails = true
		for range 3 {
			resp, err := h.relay.Acquire(ctx, need)
			if err != nil || resp.Issuer || resp.Amounts[0] > 0 {
				t.Fatalf("right after the loss: got %+v, error %v, want Issuer false and no grant", resp, err)
			}
		}
		// The share becomes available after a while.
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
			t.Error("the zone's share never became available")
		}
	}
}

// TestRelay_canceledCallerKeepsIssuerAvailable cancels a router's request before the issuer
// responds. The relay must stay in contact with the issuer and count the router.
func TestRelay_canceledCallerKeepsIssuerAvailable(t *testing.T) {
	h := newRelayHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := h.acquire(ctx, t); err != nil {
		t.Fatal(err)
	}
	h.issuerFails, h.cancelCaller = true, cancel
	if resp, err := h.acquire(ctx, t); err == nil {
		t.Fatalf("canceled caller: got %+v, want an error", resp)
	}
	h.issuerFails, h.cancelCaller = false, nil
	if resp, err := h.acquire(context.Background(), t); err != nil || !resp.Issuer {
		t.Errorf("after a canceled caller: got %+v, error %v, want Issuer true", resp, err)
	}
	if got := h.relay.routersInContact(h.clock.Now()); got != 1 {
		t.Errorf("%d routers are in contact, want 1", got)
	}
}
