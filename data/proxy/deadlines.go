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

// connPhase is what a client's connection is at.
type connPhase int

const (
	// phaseReadingHead: a request's head is on its way, or the first is waited for.
	phaseReadingHead connPhase = iota
	// resting: the answer is out, and no further request has begun.
	phaseIdle
	// handling: a request is being answered; its deadlines are its own.
	phaseServing
	// closed: it was closed by this side while nothing was asked. What is read of
	// it still is not acted on.
	phaseClosed
)

// setByConn stands for the deadlines that net/http sets: the
// connection puts those of the configuration in force in their place.
const setByConn = 24 * time.Hour

// connDeadlines holds a connection to the limits in force now. net/http's server has
// its limits from when it is made, and a configuration may bring others.
type connDeadlines struct {
	limits func() config.Limits
	mu     sync.Mutex
	phase  connPhase
	// since is when the phase began.
	since time.Time
	// hasInput says that bytes of the next request are here.
	hasInput bool
}

// enter begins a phase; false says that the connection is closed.
func (c *connDeadlines) enter(next connPhase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase, c.since = next, time.Now()
	c.hasInput = c.hasInput && next != phaseIdle
	return true
}

// inputArrived notes that bytes have arrived.
func (c *connDeadlines) inputArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasInput = true
}

// closeIfIdle has a connection on which nothing is asked be closed; false says that
// something is.
func (c *connDeadlines) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.hasInput {
		return false
	}
	c.phase = phaseClosed
	return true
}

// hasRequest tells whether a request is being read or answered.
func (c *connDeadlines) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing || (c.phase != phaseClosed && c.hasInput)
}

// readDeadline gives the deadline that counts where net/http sets one.
func (c *connDeadlines) readDeadline(set time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.phase == phaseClosed {
		return set
	}
	if set.IsZero() {
		// The rest is over: a request has begun.
		c.phase, c.since = phaseReadingHead, time.Now()
		return set
	}
	return c.expiry()
}

// expiry is when the present phase has lasted too long; zero is never.
func (c *connDeadlines) expiry() time.Time {
	limits := c.limits()
	span := map[connPhase]clock.Span{
		phaseReadingHead: settings.Milliseconds(limits.HeaderTimeoutMS), phaseIdle: settings.Milliseconds(limits.IdleTimeoutMS),
	}[c.phase]
	if span <= 0 {
		return time.Time{}
	}
	return c.since.Add(span)
}

// extended tells whether a deadline that has passed was that of older limits, and
// until when there is time by those in force.
func (c *connDeadlines) extended(err error) (time.Time, bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.phase == phaseClosed {
		return time.Time{}, false
	}
	until := c.expiry()
	return until, until.IsZero() || time.Now().Before(until)
}

// markIdle notes that a connection is idle; net/http's server tells it.
func markIdle(link *clientConn, state http.ConnState) {
	if state == http.StateIdle {
		link.deadlines.enter(phaseIdle)
	}
}
