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

// TestAskRelays_returnsCreditToOneRelayOnly has the first relay take what a router gives back,
// and its answer be lost, or it refuse: the next must not be given the same again.
func TestAskRelays_returnsCreditToOneRelayOnly(t *testing.T) {
	for name, relayErr := range map[string]error{"the answer is lost": errors.New("lost"), "it refuses": nil} {
		t.Run(name, func(t *testing.T) {
			returned, asked := 0.0, 0
			req := AcquireRequest{Needs: []Need{{Tenant: "a", Amount: -5}, {Tenant: "b", Amount: 3}}}
			resp, err := AskRelays(context.Background(), []ids.Address{"one", "two", "three"}, req, "",
				func(_ context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error) {
					asked++
					if len(req.Needs) != 2 || req.Needs[1].Amount != 3 {
						t.Errorf("%s is asked for %+v", relay, req.Needs)
					}
					returned -= min(0, req.Needs[0].Amount)
					return AcquireResponse{Issuer: relay == "three"}, relayErr
				})
			if returned != 5 {
				t.Errorf("%g are given back of 5", returned)
			}
			if relayErr == nil && (err != nil || !resp.Issuer || asked != 3) {
				t.Errorf("%+v, %v after %d relays", resp, err, asked)
			}
		})
	}
}

// TestUnresponsiveRelays_areOrderedLast has a relay not answer, answer an older request late, and answer again.
func TestUnresponsiveRelays_areOrderedLast(t *testing.T) {
	relays, now := []ids.Address{"one", "two"}, clock.Instant(time.Hour)
	var silent UnresponsiveRelays
	expect := func(after time.Duration, want ...ids.Address) {
		t.Helper()
		if got := silent.Order(relays, now.Add(after)); !slices.Equal(got, want) {
			t.Errorf("after %v: %v, should be %v", after, got, want)
		}
	}
	expect(0, "one", "two")
	silent.Record("one", now, false)
	silent.Record("one", now.Add(-time.Second), true)
	expect(time.Second, "two", "one")
	expect(unresponsiveTime, "one", "two")
	silent.Record("one", now, false)
	silent.Record("one", now.Add(time.Second), true)
	expect(time.Second, "one", "two")
}
