package proxy

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/control/config"
)

// phase is what a client's connection is at.
type phase int

const (
	// readingHead: a request's head is on its way, or the first is waited for.
	readingHead phase = iota
	// resting: the answer is out, and no further request has begun.
	resting
	// handling: a request is being answered; its deadlines are its own.
	handling
	// closed: it was closed by this side while nothing was asked. What is read of
	// it still is not acted on.
	closed
)

// asTheConnectionSays stands for the deadlines that net/http sets: the
// connection puts those of the configuration in force in their place.
const asTheConnectionSays = 24 * time.Hour

// timing holds a connection to the limits in force now. net/http's server has
// its limits from when it is made, and a configuration may bring others.
type timing struct {
	limits func() config.Limits
	mu     sync.Mutex
	phase  phase
	// since is when the phase began.
	since time.Time
	// begun says that bytes of the next request are here.
	begun bool
}

// enter begins a phase; false says that the connection is closed.
func (t *timing) enter(next phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == closed {
		return false
	}
	t.phase, t.since = next, time.Now()
	t.begun = t.begun && next != resting
	return true
}

// begin notes that bytes have arrived.
func (t *timing) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun = true
}

// end has a connection on which nothing is asked be closed; false says that
// something is.
func (t *timing) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == handling || t.begun {
		return false
	}
	t.phase = closed
	return true
}

// asked tells whether a request is being read or answered.
func (t *timing) asked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == handling || (t.phase != closed && t.begun)
}

// deadline gives the deadline that counts where net/http sets one.
func (t *timing) deadline(set time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == handling || t.phase == closed {
		return set
	}
	if set.IsZero() {
		// The rest is over: a request has begun.
		t.phase, t.since = readingHead, time.Now()
		return set
	}
	return t.until()
}

// until is when the present phase has lasted too long; zero is never.
func (t *timing) until() time.Time {
	limits := t.limits()
	span := map[phase]clock.Span{
		readingHead: settings.Milliseconds(limits.HeaderTimeoutMS), resting: settings.Milliseconds(limits.IdleTimeoutMS),
	}[t.phase]
	if span <= 0 {
		return time.Time{}
	}
	return t.since.Add(span)
}

// longer tells whether a deadline that has passed was that of older limits, and
// until when there is time by those in force.
func (t *timing) longer(err error) (time.Time, bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == handling || t.phase == closed {
		return time.Time{}, false
	}
	until := t.until()
	return until, until.IsZero() || time.Now().Before(until)
}

// rests notes that a connection is idle; net/http's server tells it.
func rests(link *watched, state http.ConnState) {
	if state == http.StateIdle {
		link.timing.enter(resting)
	}
}
