package answer

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/control/spec"
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
)

// asTheConnectionSays stands for the deadlines that net/http sets: the
// connection puts those of the configuration in force in their place.
const asTheConnectionSays = 24 * time.Hour

// timing holds a connection to the limits in force now. net/http's server has
// its limits from when it is made, and a configuration may bring others.
type timing struct {
	limits func() spec.Limits
	lock   sync.Mutex
	phase  phase
	// since is when the phase began.
	since time.Time
}

// enter begins a phase.
func (t *timing) enter(next phase) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.phase, t.since = next, time.Now()
}

// deadline gives the deadline that counts where net/http sets one.
func (t *timing) deadline(set time.Time) time.Time {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.phase == handling {
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
		readingHead: boot.Milliseconds(limits.HeaderWaitMS), resting: boot.Milliseconds(limits.IdleMS),
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
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.phase == handling {
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
