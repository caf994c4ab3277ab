package upstream

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// minTrustedIdle is the idle age that is always trusted: less would open a new
	// connection for nearly every request.
	minTrustedIdle = 500 * clock.Millisecond
	// failureFactor is the part of an age at which a connection was found forgotten
	// that is trusted afterwards; regained is by which part trust grows with each
	// connection that was near it and worked.
	failureFactor  = 0.6
	recoveryFactor = 0.02
)

// idleEstimate is what was learnt of how long the runners of a service keep an idle
// connection: they may forget one without notice, and what is sent on it then
// may have run.
type idleEstimate struct {
	mu         sync.Mutex
	limit      clock.Span
	provenIdle clock.Span
}

// allows tells whether a connection that was idle for so long may be used. For
// what may run only once, just ages that were seen to work are good enough.
func (i *idleEstimate) allows(idle clock.Span, once bool) bool {
	if i == nil {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.limit > 0 && idle > i.limit {
		return false
	}
	return !once || idle <= max(i.provenIdle, minTrustedIdle)
}

// recordSuccess notes that a connection of that idle age was still good.
func (i *idleEstimate) recordSuccess(idle clock.Span) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.provenIdle = max(i.provenIdle, idle)
	if i.limit > 0 && idle > i.limit/2 {
		i.limit += clock.Span(recoveryFactor * float64(i.limit))
	}
}

// recordFailure notes that a connection of that idle age was not.
func (i *idleEstimate) recordFailure(idle clock.Span) {
	if idle <= minTrustedIdle {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := max(minTrustedIdle, clock.Span(failureFactor*float64(idle)))
	if i.limit == 0 || limit < i.limit {
		i.limit = limit
	}
	i.provenIdle = min(i.provenIdle, i.limit)
}

// idleEstimate gives what was learnt of a service.
func (c *Client) idleEstimate(service ids.Service) *idleEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.idleEstimates[service]
	if known == nil {
		known = &idleEstimate{}
		c.idleEstimates[service] = known
	}
	return known
}
