package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// relayFixture is a relay of two routers, with a director that returns answer and err.
type relayFixture struct {
	*Relay
	clock    *clock.Fake
	answer   ExchangeResponse
	err      error
	received []ExchangeRequest
}

func newRelayFixture() *relayFixture {
	f := &relayFixture{clock: clock.NewFake()}
	f.Relay = NewRelay(RelayOptions{
		Clock: f.clock, Address: "relay", Zone: "zone", Policy: Policy{PermitTTL: time.Second, ExchangeInterval: 200 * time.Millisecond},
		Routers: func() []ids.Address { return []ids.Address{"router", "other"} },
		Send: func(_ context.Context, req ExchangeRequest) (ExchangeResponse, error) {
			f.received = append(f.received, req)
			return f.answer, f.err
		},
	})
	return f
}

// ask reports a number of attempts from the first router, and returns the relay's answer.
func (f *relayFixture) ask(t *testing.T, ended, unconfirmed int64) ExchangeResponse {
	t.Helper()
	resp, err := f.Exchange(t.Context(), ExchangeRequest{From: "router", Services: []ServiceReport{{
		Service: "s", Order: 1, Unconfirmed: unconfirmed, Routes: []RouteCount{{Route: "r", Target: true, Ended: ended}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestRelay_permitsCountFromRequestTime(t *testing.T) {
	f := newRelayFixture()
	f.answer = ExchangeResponse{Directing: true, Permits: []Permit{{Service: "s", Order: 1, Stage: int64(Canary), TTLMS: 1000}}}
	if resp := f.ask(t, 1, 1); resp.Directing {
		t.Fatalf("before the first exchange with the director: got %+v, want Directing false", resp)
	}
	f.Forward(t.Context())
	f.clock.Advance(300 * time.Millisecond)
	if resp := f.ask(t, 1, 1); len(resp.Permits) != 1 || resp.Permits[0].TTLMS != 700 {
		t.Errorf("after 0.3 s: got %+v, want one permit with a TTL of 700 ms", resp)
	}
	f.clock.Advance(700 * time.Millisecond)
	if resp := f.ask(t, 1, 1); resp.Directing {
		t.Errorf("after the permit expired: got %+v, want Directing false", resp)
	}
}

// TestRelay_withdrawsPermits checks that the relay passes on an answer without permits.
func TestRelay_withdrawsPermits(t *testing.T) {
	f := newRelayFixture()
	f.answer = ExchangeResponse{Directing: true, Permits: []Permit{{Service: "s", Order: 1, TTLMS: 1000}}}
	f.ask(t, 1, 1)
	f.Forward(t.Context())
	f.answer.Permits = nil
	f.Forward(t.Context())
	if resp := f.ask(t, 1, 1); !resp.Directing || len(resp.Permits) > 0 {
		t.Errorf("got %+v, want an answer without permits", resp)
	}
}

// TestRelay_resendsUnacceptedReports checks that reports are summed, and that reports that did
// not reach the director are sent again.
func TestRelay_resendsUnacceptedReports(t *testing.T) {
	f := newRelayFixture()
	f.err = errors.New("unreachable")
	f.ask(t, 3, 1)
	f.Forward(t.Context())
	f.ask(t, 4, 0)
	f.err, f.answer = nil, ExchangeResponse{Directing: true}
	f.Forward(t.Context())
	f.Forward(t.Context())
	ended := func(index int) int64 {
		total := int64(0)
		for _, report := range f.received[index].Services {
			for _, count := range report.Routes {
				total += count.Ended
			}
		}
		return total
	}
	if ended(0) != 3 || ended(1) != 7 || ended(2) != 0 {
		t.Errorf("messages report %d, %d and %d attempts, want 3, 7 and 0", ended(0), ended(1), ended(2))
	}
	if got := f.received[1].Services[0].Unconfirmed; got != 1 {
		t.Errorf("%d routers are unconfirmed, want 1: one of two has confirmed", got)
	}
}

func TestRelay_idleWithoutRouters(t *testing.T) {
	f := newRelayFixture()
	f.Forward(t.Context())
	f.ask(t, 1, 1)
	f.clock.Advance(relayIdleTime + time.Second)
	f.Forward(t.Context())
	if len(f.received) > 0 {
		t.Errorf("%d messages sent while idle, want 0", len(f.received))
	}
}
