package upstream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"onyxwell/base/clock"
)

const (
	// minIdlePerHost is the lower bound of Options.MaxIdlePerHost.
	minIdlePerHost = 2
	// sweepsPerIdleTimeout is the number of times per Options.IdleTimeout that the
	// pools are searched for connections that were idle for too long.
	sweepsPerIdleTimeout = 4
	// maxKeepAliveSeconds is the upper bound of the keep-alive timeout that is accepted
	// from a runner: one day.
	maxKeepAliveSeconds = 24 * 60 * 60
)

// hostPool holds the idle connections to one address.
type hostPool struct {
	// keepAlive is for how long an idle connection may be used according to the
	// runner's Keep-Alive header, as a time.Duration; 0 if the runner has sent none.
	keepAlive atomic.Int64
	// mu guards idle, which is ordered by time of release, oldest first.
	mu   sync.Mutex
	idle []*persistConn
}

// pop removes and returns the connection that was released last, or nil if there is
// none.
func (h *hostPool) pop() *persistConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.idle) - 1
	if last < 0 {
		return nil
	}
	pc := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return pc
}

// push adds a connection unless the pool holds limit connections already. It reports
// whether the connection was added.
func (h *hostPool) push(pc *persistConn, limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= limit {
		return false
	}
	h.idle = append(h.idle, pc)
	return true
}

// exceedsKeepAlive reports whether an idle time exceeds keepAlive.
func (h *hostPool) exceedsKeepAlive(idleFor time.Duration) bool {
	keepAlive := time.Duration(h.keepAlive.Load())
	return keepAlive > 0 && idleFor > keepAlive
}

// closeIdle closes the connections that have been idle for at least maxIdle or for
// longer than keepAlive. It returns the number of connections left.
func (h *hostPool) closeIdle(now clock.Instant, maxIdle time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = slices.DeleteFunc(h.idle, func(pc *persistConn) bool {
		idleFor := now.Since(pc.lastRead)
		if idleFor < maxIdle && !h.exceedsKeepAlive(idleFor) {
			return false
		}
		_ = pc.Conn.Close()
		return true
	})
	return len(h.idle)
}

// learnKeepAlive sets keepAlive from the timeout parameter of a Keep-Alive header.
// Only four fifths of the announced timeout are relied on.
func (h *hostPool) learnKeepAlive(header http.Header) {
	for _, param := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			h.keepAlive.Store(int64(time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second * 4 / 5))
		}
	}
}

// acquire returns an idle connection or dials a new one. On success the observation
// is validResponse; any other observation tells why the connection is nil. If no idle
// connection is usable and any was too old, acquire returns staleConn and does not
// dial. A request that was sent to the address before always gets a new connection,
// since a late response to the earlier attempt could arrive on a pooled one.
func (c *Client) acquire(ctx context.Context, attempt Attempt) (*persistConn, observation, error) {
	pool := c.pool(string(attempt.Address))
	if !attempt.Request.wasSentTo(attempt.Address) {
		pc, stale := c.acquireIdle(pool, attempt)
		if pc != nil {
			return pc, validResponse, nil
		}
		if stale {
			return nil, staleConn, nil
		}
	}
	conn, err := c.dial(ctx, "tcp", string(attempt.Address))
	if err != nil {
		return nil, classifyDialError(err), err
	}
	return newPersistConn(conn, c.options.Clock, pool), validResponse, nil
}

// acquireIdle returns an idle connection that may carry the attempt, or nil. It
// closes the connections that it finds unusable. If it returns nil, stale reports
// whether any of those had been idle for longer than the runner's Keep-Alive header
// or the service's idle estimate allows.
func (c *Client) acquireIdle(pool *hostPool, attempt Attempt) (pc *persistConn, stale bool) {
	now, estimate := c.options.Clock.Now(), c.idleEstimate(attempt.Service)
	for pc := pool.pop(); pc != nil; pc = pool.pop() {
		pc.idleFor = now.Since(pc.lastRead)
		tooOld := pool.exceedsKeepAlive(pc.idleFor) || !estimate.allows(pc.idleFor, attempt.AtMostOnce)
		if !tooOld && pc.idleFor < c.options.IdleTimeout && !pc.carriedAttempt(attempt.Request.AttemptID) && !pc.hasPendingInput() {
			return pc, false
		}
		_ = pc.Conn.Close()
		stale = stale || tooOld
	}
	return nil, stale
}

// resourceErrors are the dial errors that mean that this machine has run out of file
// descriptors, ports or memory.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

func classifyDialError(err error) observation {
	for _, resourceErr := range resourceErrors {
		if errors.Is(err, resourceErr) {
			return localExhaustion
		}
	}
	return dialFailed
}

// release returns a connection to its pool, or closes it if the pool is full. It
// starts the sweep of idle connections unless that is running or IdleTimeout is 0.
func (c *Client) release(pc *persistConn) {
	if !pc.pool.push(pc, max(minIdlePerHost, c.options.MaxIdlePerHost)) {
		_ = pc.Conn.Close()
	}
	if c.options.IdleTimeout > 0 && c.sweeping.CompareAndSwap(false, true) {
		go c.sweepIdle()
	}
}

// sweepIdle periodically closes the connections that have been idle for too long. It
// returns when no idle connection is left; release starts it again.
func (c *Client) sweepIdle() {
	for {
		<-c.options.Clock.After(c.options.IdleTimeout / sweepsPerIdleTimeout)
		if c.closeIdle(c.options.Clock.Now(), c.options.IdleTimeout) == 0 {
			c.sweeping.Store(false)
			return
		}
	}
}

// closeIdle closes the connections of all pools that have been idle for at least
// maxIdle or for longer than their pool's keepAlive. It returns the number of
// connections left.
func (c *Client) closeIdle(now clock.Instant, maxIdle time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := 0
	for _, pool := range c.pools {
		left += pool.closeIdle(now, maxIdle)
	}
	return left
}

// pool returns the pool for an address, and creates it if necessary.
func (c *Client) pool(address string) *hostPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = &hostPool{}
		c.pools[address] = pool
	}
	return pool
}
