package quota

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// TestAskRelays_returnsCreditToOneRelayOnly returns credit to a first relay whose response is
// lost, or that refuses the request. The first relay may have taken the credit, so it must not
// be returned to the next one again.
func TestAskRelays_returnsCreditToOneRelayOnly(t *testing.T) {
	for name, relayErr := range map[string]error{"response lost": errors.New("lost"), "refused": nil} {
		t.Run(name, func(t *testing.T) {
			returned, asked := 0.0, 0
			req := AcquireRequest{Needs: []Need{{Tenant: "a", Amount: -5}, {Tenant: "b", Amount: 3}}}
			resp, err := AskRelays(context.Background(), []ids.Address{"one", "two", "three"}, req, "",
				func(_ context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error) {
					asked++
					if len(req.Needs) != 2 || req.Needs[1].Amount != 3 {
						t.Errorf("relay %s was asked for %+v, want 2 needs and an amount of 3 in the second", relay, req.Needs)
					}
					returned -= min(0, req.Needs[0].Amount)
					return AcquireResponse{Issuer: relay == "three"}, relayErr
				})
			if returned != 5 {
				t.Errorf("%g credit was returned, want 5", returned)
			}
			if relayErr == nil && (err != nil || !resp.Issuer || asked != 3) {
				t.Errorf("got %+v, error %v after %d relays, want Issuer true after 3", resp, err, asked)
			}
		})
	}
}

// TestUnresponsiveRelays_areOrderedLast covers a relay that does not respond, that responds
// late to an older request, and that responds again.
func TestUnresponsiveRelays_areOrderedLast(t *testing.T) {
	relays, now := []ids.Address{"one", "two"}, clock.Instant(time.Hour)
	var unresponsive UnresponsiveRelays
	expect := func(after time.Duration, want ...ids.Address) {
		t.Helper()
		if got := unresponsive.Order(relays, now.Add(after)); !slices.Equal(got, want) {
			t.Errorf("after %v: got %v, want %v", after, got, want)
		}
	}
	expect(0, "one", "two")
	unresponsive.Record("one", now, false)
	unresponsive.Record("one", now.Add(-time.Second), true)
	expect(time.Second, "two", "one")
	expect(unresponsiveTime, "one", "two")
	unresponsive.Record("one", now, false)
	unresponsive.Record("one", now.Add(time.Second), true)
	expect(time.Second, "one", "two")
}
