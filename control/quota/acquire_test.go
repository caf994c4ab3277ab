package quota

import (
	"context"
	"errors"
	"testing"

	"onyxwell/base/ids"
)

// TestAskRelays_returnsToOneRelayOnly has the first relay take what a router gives back,
// and its answer be lost, or it refuse: the next must not be given the same again.
func TestAskRelays_returnsToOneRelayOnly(t *testing.T) {
	for name, answer := range map[string]error{"the answer is lost": errors.New("lost"), "it refuses": nil} {
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
					return AcquireResponse{Issuer: relay == "three"}, answer
				})
			if returned != 5 {
				t.Errorf("%g are given back of 5", returned)
			}
			if answer == nil && (err != nil || !resp.Issuer || asked != 3) {
				t.Errorf("%+v, %v after %d relays", resp, err, asked)
			}
		})
	}
}
