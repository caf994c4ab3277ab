package forward

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// fewestTrusted is the idle age that is always trusted: less would open a new
	// connection for nearly every request.
	fewestTrusted = 500 * clock.Millisecond
	// lapsePart is the part of an age at which a connection was found forgotten
	// that is trusted afterwards; regained is by which part trust grows with each
	// connection that was near it and worked.
	lapsePart = 0.6
	regained  = 0.02
)

// trust is what was learnt of how long the runners of a service keep an idle
// connection: they may forget one without notice, and what is sent on it then
// may have run.
type trust struct {
	lock   sync.Mutex
	limit  clock.Span
	worked clock.Span
}

// allows tells whether a connection that was idle for so long may be used. For
// what may run only once, just ages that were seen to work are good enough.
func (trust *trust) allows(idle clock.Span, once bool) bool {
	if trust == nil {
		return true
	}
	trust.lock.Lock()
	defer trust.lock.Unlock()
	if trust.limit > 0 && idle > trust.limit {
		return false
	}
	return !once || idle <= max(trust.worked, fewestTrusted)
}

// work notes that a connection of that idle age was still good.
func (trust *trust) work(idle clock.Span) {
	trust.lock.Lock()
	defer trust.lock.Unlock()
	trust.worked = max(trust.worked, idle)
	if trust.limit > 0 && idle > trust.limit/2 {
		trust.limit += clock.Span(regained * float64(trust.limit))
	}
}

// lapse notes that a connection of that idle age was not.
func (trust *trust) lapse(idle clock.Span) {
	if idle <= fewestTrusted {
		return
	}
	trust.lock.Lock()
	defer trust.lock.Unlock()
	limit := max(fewestTrusted, clock.Span(lapsePart*float64(idle)))
	if trust.limit == 0 || limit < trust.limit {
		trust.limit = limit
	}
	trust.worked = min(trust.worked, trust.limit)
}

// trustOf gives what was learnt of a service.
func (sender *Sender) trustOf(service ids.Service) *trust {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	known := sender.trusts[service]
	if known == nil {
		known = &trust{}
		sender.trusts[service] = known
	}
	return known
}
