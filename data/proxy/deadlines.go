package proxy

import (
	"errors"
	"os"
	"sync"
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/config"
)

// connPhase is the state of a client's connection.
type connPhase int

const (
	// phaseReadingHead lasts from the accept, or the first byte of a further request,
	// to the end of the request's head.
	phaseReadingHead connPhase = iota
	// phaseIdle lasts from the end of a response to the next request's first byte.
	phaseIdle
	// phaseServing lasts while a request is served, which sets its own deadlines.
	phaseServing
	// phaseClosed begins when the router closes the connection while it is idle.
	// Requests that are still read from it are not served.
	phaseClosed
)

// placeholderTimeout is the timeout that net/http's server is configured with.
// Connections replace it by those of the current configuration.
const placeholderTimeout = 24 * time.Hour

// connDeadlines applies the timeouts of the current configuration to a
// connection. Those of net/http's server are fixed when it is created, whereas the
// configuration may change.
type connDeadlines struct {
	limits func() config.Limits
	mu     sync.Mutex
	phase  connPhase
	// since is when the phase began.
	since time.Time
	// hasInput reports whether bytes have been read since the connection was last
	// idle.
	hasInput bool
}

// enter begins a phase. It returns false if the connection is in phaseClosed.
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

// inputArrived records that bytes were read.
func (c *connDeadlines) inputArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasInput = true
}

// closeIfIdle enters phaseClosed unless a request is being read or served. It
// reports whether the connection is now in phaseClosed.
func (c *connDeadlines) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.hasInput {
		return false
	}
	c.phase = phaseClosed
	return true
}

// serving reports whether a request is being served, so that further input may be its
// body.
func (c *connDeadlines) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing
}

// hasRequest reports whether a request is being read or served.
func (c *connDeadlines) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing || (c.phase != phaseClosed && c.hasInput)
}

// keepsServerDeadline reports whether deadlines set by net/http apply unchanged.
// The caller must hold mu.
func (c *connDeadlines) keepsServerDeadline() bool {
	return c.phase == phaseServing || c.phase == phaseClosed
}

// readDeadline returns the deadline to use in place of one that net/http sets.
func (c *connDeadlines) readDeadline(deadline time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepsServerDeadline() {
		return deadline
	}
	if deadline.IsZero() {
		// net/http clears the deadline of an idle connection when a request begins.
		c.phase, c.since = phaseReadingHead, time.Now()
		return deadline
	}
	return c.expiry()
}

// expiry returns when the current phase times out by the current limits; the zero
// time means never. The caller must hold mu.
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

// extendedDeadline returns a new deadline and true if err is a timeout and the
// current limits, which may have been raised since it was set, allow more time.
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
