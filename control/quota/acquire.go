package quota

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// AskRelays asks relays for credit, one after another until one grants some. Its error
// says that one did not answer and none granted; a response without an issuer that all
// refused. What a router gives back goes to the first of them alone: one that did not
// answer may have taken it.
func AskRelays(ctx context.Context, relays []ids.Address, req AcquireRequest,
	ask func(ctx context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error)) (AcquireResponse, error) {
	if len(relays) == 0 {
		return AcquireResponse{}, errkind.Errorf(errkind.NotReady, "no relay is known")
	}
	var refusal AcquireResponse
	var failed error
	for index, relay := range relays {
		if index == 1 {
			req.Needs = withoutReturns(req.Needs)
		}
		resp, err := ask(ctx, relay, req)
		switch {
		case err != nil:
			failed = err
		case resp.Issuer:
			return resp, nil
		default:
			refusal.Routers = max(refusal.Routers, resp.Routers)
		}
	}
	return refusal, failed
}

// withoutReturns returns the needs with nothing given back; their order stays.
func withoutReturns(needs []Need) []Need {
	var kept []Need
	for _, need := range needs {
		need.Amount = max(0, need.Amount)
		kept = append(kept, need)
	}
	return kept
}
