package upstream

import (
	"sync"
	"time"

	"onyxwell/base/ids"
)

const (
	// minTrustedIdle is the idle time that is always trusted. A shorter one would open
	// a new connection for nearly every request.
	minTrustedIdle = 500 * time.Millisecond
	// failureFactor is the fraction of a failed connection's idle time that is trusted
	// afterwards.
	failureFactor = 0.6
	// recoveryFactor is the fraction by which the limit grows with each connection
	// that worked after an idle time of more than half the limit.
	recoveryFactor = 0.02
)

// idleEstimate estimates how long the runners of a service keep idle connections
// open. A runner may drop a connection without notice, and a request that is written
// to such a connection counts as possibly executed.
type idleEstimate struct {
	mu sync.Mutex
	// limit is the longest idle time that is trusted; 0 means no limit.
	limit time.Duration
	// provenIdle is the longest idle time after which a connection worked; a failure
	// lowers it to limit.
	provenIdle time.Duration
}

// allows reports whether a connection may be used after an idle time. For requests
// that must not be executed twice, the idle time must also be at most provenIdle or
// minTrustedIdle.
func (i *idleEstimate) allows(idleFor time.Duration, atMostOnce bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.limit > 0 && idleFor > i.limit {
		return false
	}
	return !atMostOnce || idleFor <= max(i.provenIdle, minTrustedIdle)
}

// recordSuccess records that a connection worked after an idle time.
func (i *idleEstimate) recordSuccess(idleFor time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.provenIdle = max(i.provenIdle, idleFor)
	if i.limit > 0 && idleFor > i.limit/2 {
		i.limit += time.Duration(recoveryFactor * float64(i.limit))
	}
}

// recordFailure records that a connection failed after an idle time. A failure
// within minTrustedIdle is not attributed to the idle time.
func (i *idleEstimate) recordFailure(idleFor time.Duration) {
	if idleFor <= minTrustedIdle {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := max(minTrustedIdle, time.Duration(failureFactor*float64(idleFor)))
	if i.limit == 0 || limit < i.limit {
		i.limit = limit
	}
	i.provenIdle = min(i.provenIdle, i.limit)
}

// idleEstimate returns the estimate for a service, and creates it if necessary.
func (c *Client) idleEstimate(service ids.Service) *idleEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	estimate := c.idleEstimates[service]
	if estimate == nil {
		estimate = &idleEstimate{}
		c.idleEstimates[service] = estimate
	}
	return estimate
}
