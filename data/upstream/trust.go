package upstream

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
	mu     sync.Mutex
	limit  clock.Span
	worked clock.Span
}

// allows tells whether a connection that was idle for so long may be used. For
// what may run only once, just ages that were seen to work are good enough.
func (t *trust) allows(idle clock.Span, once bool) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 && idle > t.limit {
		return false
	}
	return !once || idle <= max(t.worked, fewestTrusted)
}

// work notes that a connection of that idle age was still good.
func (t *trust) work(idle clock.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.worked = max(t.worked, idle)
	if t.limit > 0 && idle > t.limit/2 {
		t.limit += clock.Span(regained * float64(t.limit))
	}
}

// lapse notes that a connection of that idle age was not.
func (t *trust) lapse(idle clock.Span) {
	if idle <= fewestTrusted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := max(fewestTrusted, clock.Span(lapsePart*float64(idle)))
	if t.limit == 0 || limit < t.limit {
		t.limit = limit
	}
	t.worked = min(t.worked, t.limit)
}

// trustOf gives what was learnt of a service.
func (s *Sender) trustOf(service ids.Service) *trust {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.trusts[service]
	if known == nil {
		known = &trust{}
		s.trusts[service] = known
	}
	return known
}
