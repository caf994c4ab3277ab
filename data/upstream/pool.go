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
	// minIdlePerHost is the least MaxIdlePerHost.
	minIdlePerHost = 2
	// sweepsPerIdleTimeout is how many times in an IdleTimeout idle connections
	// are swept.
	sweepsPerIdleTimeout = 4
	// maxKeepAliveSeconds bounds the keep-alive time that a runner announces.
	maxKeepAliveSeconds = 24 * 60 * 60
)

// hostPool holds the idle connections to one address.
type hostPool struct {
	// keepAlive is how long the runner keeps an idle connection, as a time.Duration;
	// 0 where it does not say.
	keepAlive atomic.Int64
	// mu guards idle, which is ordered by the time of release.
	mu   sync.Mutex
	idle []*persistConn
}

// pop removes and returns the connection that was released last, or nil.
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

// push adds a connection unless there are limit of them; it reports whether it did.
func (h *hostPool) push(pc *persistConn, limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= limit {
		return false
	}
	h.idle = append(h.idle, pc)
	return true
}

// exceedsKeepAlive reports whether a connection has been idle for longer than
// the runner announced to keep it.
func (h *hostPool) exceedsKeepAlive(idleFor time.Duration) bool {
	keepAlive := time.Duration(h.keepAlive.Load())
	return keepAlive > 0 && idleFor > keepAlive
}

// closeIdle closes the connections that have been idle for at least maxIdle; it
// returns how many are left.
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

// learnKeepAlive takes the keep-alive time from a response. Its last fifth is not
// relied on.
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

// acquire returns an idle connection or dials one; with an error or an
// observation other than validResponse there is no connection. A request that
// was sent to the address before always gets a new connection, since a late
// response to the earlier attempt could arrive on a pooled one.
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

// acquireIdle returns an idle connection that may carry the attempt, if there is
// one; it closes those that may not. stale says that any of them was too old.
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

// resourceErrors are dial errors of this machine: it is out of descriptors, ports
// or memory.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

func classifyDialError(err error) observation {
	for _, resourceErr := range resourceErrors {
		if errors.Is(err, resourceErr) {
			return localExhaustion
		}
	}
	return dialFailed
}

// release puts a connection back for the next request, or closes it where there
// are enough.
func (c *Client) release(pc *persistConn) {
	if !pc.pool.push(pc, max(minIdlePerHost, c.options.MaxIdlePerHost)) {
		_ = pc.Conn.Close()
	}
	if c.options.IdleTimeout > 0 && c.sweeping.CompareAndSwap(false, true) {
		go c.sweepIdle()
	}
}

// sweepIdle closes connections that were idle for too long. It returns when
// there is no idle connection; release starts it again.
func (c *Client) sweepIdle() {
	for {
		<-c.options.Clock.After(c.options.IdleTimeout / sweepsPerIdleTimeout)
		if c.closeIdle(c.options.Clock.Now(), c.options.IdleTimeout) == 0 {
			c.sweeping.Store(false)
			return
		}
	}
}

// closeIdle closes the connections that have been idle for at least maxIdle; it
// returns how many are left.
func (c *Client) closeIdle(now clock.Instant, maxIdle time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := 0
	for _, pool := range c.pools {
		left += pool.closeIdle(now, maxIdle)
	}
	return left
}

// pool returns the pool of an address.
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
