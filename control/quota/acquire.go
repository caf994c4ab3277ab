package quota

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// Answer is what relays answered, and which of them did.
type Answer struct {
	AcquireResponse
	// Relay is the one that granted, or, out of contact with the issuer, the first that
	// answered.
	Relay ids.Address
}

// AskRelays asks relays for credit, one after another until one in contact with the
// issuer grants some. Where none is, the answer is that of the first, which holds the
// zone's credit; delegate is the relay that the router has left its own part to. Its error
// says that one did not answer before any did. What a router gives back goes to the first
// of them alone: one that did not answer may have taken it.
func AskRelays(ctx context.Context, relays []ids.Address, req AcquireRequest, delegate ids.Address,
	ask func(ctx context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error)) (Answer, error) {
	if len(relays) == 0 {
		return Answer{}, errkind.Errorf(errkind.NotReady, "no relay is known")
	}
	var detached Answer
	var failed error
	for index, relay := range relays {
		if index == 1 {
			req.Needs = withoutReturns(req.Needs)
		}
		asked := req
		if req.Routers == Delegating && relay != delegate {
			asked.Routers = 0
		}
		resp, err := ask(ctx, relay, asked)
		switch {
		case err != nil:
			failed = err
		case resp.Issuer:
			return Answer{resp, relay}, nil
		case detached.Relay == "":
			detached = Answer{resp, relay}
			// What is granted already is not asked for again.
			req.Needs = ungranted(req.Needs, resp.Amounts)
		default:
			detached.Routers = max(detached.Routers, resp.Routers)
		}
	}
	return detached, failed
}

// ungranted returns the needs with nothing asked for where it was granted; their order
// stays.
func ungranted(needs []Need, amounts []float64) []Need {
	left := withoutReturns(needs)
	for index, amount := range amounts {
		if index < len(left) && amount >= left[index].Amount {
			left[index].Amount = 0
		}
	}
	return left
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
