package quota

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// RelayAnswer is the response that AskRelays obtained, with the relay that sent it.
type RelayAnswer struct {
	AcquireResponse
	// Relay is the relay in contact with the issuer that responded, or, if there was
	// none, the first relay that responded.
	Relay ids.Address
}

// AskRelays requests credit from relays, one after another, until one that is in contact
// with the issuer responds, and returns that relay's response. If there is none, it returns
// the response of the first relay that responded, which holds the zone's credit, together
// with the error of the last relay that did not respond, if any. delegate is the relay to
// which the router has delegated its own share. Credit that the router returns is sent to
// the first relay alone: even if that does not respond, it may have taken the credit.
func AskRelays(ctx context.Context, relays []ids.Address, req AcquireRequest, delegate ids.Address,
	ask func(ctx context.Context, relay ids.Address, req AcquireRequest) (AcquireResponse, error)) (RelayAnswer, error) {
	if len(relays) == 0 {
		return RelayAnswer{}, errkind.Errorf(errkind.NotReady, "no quota relay is known")
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
			// Do not request again what is already granted.
			req.Needs = ungranted(req.Needs, resp.Amounts)
		default:
			detached.Routers = max(detached.Routers, resp.Routers)
		}
	}
	return detached, lastErr
}

// ungranted returns the needs in the same order, with the amount set to 0 for those that
// were granted and those that return credit.
func ungranted(needs []Need, amounts []float64) []Need {
	left := withoutReturns(needs)
	for index, amount := range amounts {
		if index < len(left) && amount >= left[index].Amount {
			left[index].Amount = 0
		}
	}
	return left
}

// withoutReturns returns the needs in the same order, with the amount set to 0 for those
// that return credit.
func withoutReturns(needs []Need) []Need {
	var kept []Need
	for _, need := range needs {
		need.Amount = max(0, need.Amount)
		kept = append(kept, need)
	}
	return kept
}

// unresponsiveTime is how long a relay is moved behind the others after an unanswered request
// was sent to it.
const unresponsiveTime = 5 * time.Second

// UnresponsiveRelays tracks the relays that did not respond. Its zero value has none. It
// is safe for concurrent use.
type UnresponsiveRelays struct {
	mu sync.Mutex
	// unansweredAt has, by relay, the time at which the latest unanswered request was sent.
	unansweredAt map[ids.Address]clock.Instant
}

// Record records whether a relay responded to a request that was sent at the given time.
func (u *UnresponsiveRelays) Record(relay ids.Address, sentAt clock.Instant, answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unansweredAt == nil {
		u.unansweredAt = map[ids.Address]clock.Instant{}
	}
	switch {
	case !answered:
		u.unansweredAt[relay] = max(u.unansweredAt[relay], sentAt)
	case sentAt >= u.unansweredAt[relay]:
		delete(u.unansweredAt, relay)
	}
}

// Order returns the relays in the given order, with the unresponsive ones moved to the end.
func (u *UnresponsiveRelays) Order(relays []ids.Address, now clock.Instant) []ids.Address {
	u.mu.Lock()
	defer u.mu.Unlock()
	var responsive, unresponsive []ids.Address
	for _, relay := range relays {
		if since, ok := u.unansweredAt[relay]; ok && now.Since(since) < unresponsiveTime {
			unresponsive = append(unresponsive, relay)
		} else {
			responsive = append(responsive, relay)
		}
	}
	return append(responsive, unresponsive...)
}
