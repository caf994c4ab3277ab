package quota

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// RelayAnswer is what relays answered, and which of them did.
type RelayAnswer struct {
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
	ask func(ctx context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error)) (RelayAnswer, error) {
	if len(relays) == 0 {
		return RelayAnswer{}, errkind.Errorf(errkind.NotReady, "no relay is known")
	}
	var detached RelayAnswer
	var lastErr error
	for index, relay := range relays {
		if index == 1 {
			req.Needs = withoutReturns(req.Needs)
		}
		asked := req
		if req.Routers < 0 && relay != delegate {
			asked.Routers = 0
		}
		resp, err := ask(ctx, relay, asked)
		switch {
		case err != nil:
			lastErr = err
		case resp.Issuer:
			return RelayAnswer{resp, relay}, nil
		case detached.Relay == "":
			detached = RelayAnswer{resp, relay}
			// What is granted already is not asked for again.
			req.Needs = ungranted(req.Needs, resp.Amounts)
		default:
			detached.Routers = max(detached.Routers, resp.Routers)
		}
	}
	return detached, lastErr
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

// unresponsiveTime is for how long a relay that did not answer is asked after the others.
const unresponsiveTime = 5 * time.Second

// UnresponsiveRelays remembers the relays that did not answer. Its zero value knows none. It is safe
// for concurrent use.
type UnresponsiveRelays struct {
	mu sync.Mutex
	// unansweredAt has when a request that was not answered was sent.
	unansweredAt map[ids.Address]clock.Instant
}

// Record records whether a relay answered a request sent at an instant.
func (s *UnresponsiveRelays) Record(relay ids.Address, sentAt clock.Instant, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredAt == nil {
		s.unansweredAt = map[ids.Address]clock.Instant{}
	}
	switch {
	case !answered:
		s.unansweredAt[relay] = max(s.unansweredAt[relay], sentAt)
	case sentAt >= s.unansweredAt[relay]:
		delete(s.unansweredAt, relay)
	}
}

// Order returns relays in their order, but for the silent ones, which come last.
func (s *UnresponsiveRelays) Order(relays []ids.Address, now clock.Instant) []ids.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	var responsive, unresponsive []ids.Address
	for _, relay := range relays {
		if since, ok := s.unansweredAt[relay]; ok && now.Since(since) < unresponsiveTime {
			unresponsive = append(unresponsive, relay)
		} else {
			responsive = append(responsive, relay)
		}
	}
	return append(responsive, unresponsive...)
}
