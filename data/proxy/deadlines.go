package proxy

import (
	"errors"
	"os"
	"sync"
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/config"
)

// connPhase is what a client's connection is at.
type connPhase int

const (
	// phaseReadingHead is from the first byte of a request's head, or from the
	// accept, to its last.
	phaseReadingHead connPhase = iota
	// phaseIdle is after a response while no further request has begun.
	phaseIdle
	// phaseServing is while a request is served; its deadlines are its own.
	phaseServing
	// phaseClosed is after the router closed it while idle. What is still read of
	// it is not acted on.
	phaseClosed
)

// placeholderTimeout stands for the time-outs that net/http's server is made with: the
// connection puts those of the configuration in force in their place.
const placeholderTimeout = 24 * time.Hour

// connDeadlines holds a connection to the limits in force now. net/http's server
// has its time-outs from when it is made, and a configuration may bring others.
type connDeadlines struct {
	limits func() config.Limits
	mu     sync.Mutex
	phase  connPhase
	// since is when the phase began.
	since time.Time
	// hasInput says that bytes of the next request are here.
	hasInput bool
}

// enter begins a phase. It returns false where the connection is closed.
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

// inputArrived notes that bytes were read.
func (c *connDeadlines) inputArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasInput = true
}

// closeIfIdle enters phaseClosed unless a request is being read or served, and
// returns whether it did.
func (c *connDeadlines) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.hasInput {
		return false
	}
	c.phase = phaseClosed
	return true
}

// serving returns whether a request is being served, of which only a body may still come.
func (c *connDeadlines) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing
}

// hasRequest returns whether a request is being read or served.
func (c *connDeadlines) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing || (c.phase != phaseClosed && c.hasInput)
}

// keepsServerDeadline returns whether a deadline is set as net/http gives it. The
// caller holds the lock.
func (c *connDeadlines) keepsServerDeadline() bool {
	return c.phase == phaseServing || c.phase == phaseClosed
}

// readDeadline returns the deadline to set where net/http sets one.
func (c *connDeadlines) readDeadline(deadline time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepsServerDeadline() {
		return deadline
	}
	if deadline.IsZero() {
		// net/http ends the idle time so: a request has begun.
		c.phase, c.since = phaseReadingHead, time.Now()
		return deadline
	}
	return c.expiry()
}

// expiry returns when the present phase times out by the limits in force; the
// zero time is never. The caller holds the lock.
func (c *connDeadlines) expiry() time.Time {
	limits, timeoutMS := c.limits(), 0.0
	switch c.phase {
	case phaseReadingHead:
		timeoutMS = limits.HeaderTimeoutMS
	case phaseIdle:
		timeoutMS = limits.IdleTimeoutMS
	}
	timeout := settings.Milliseconds(timeoutMS)
	if timeout <= 0 {
		return time.Time{}
	}
	return c.since.Add(timeout)
}

// extendedDeadline returns the new deadline, and true, where err is a time-out by limits
// that are in force no more and those in force leave time.
func (c *connDeadlines) extendedDeadline(err error) (time.Time, bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepsServerDeadline() {
		return time.Time{}, false
	}
	expiry := c.expiry()
	return expiry, expiry.IsZero() || time.Now().Before(expiry)
}
