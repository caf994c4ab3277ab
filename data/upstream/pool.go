package upstream

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// hostPool is what is known of one runner's address, and its idle connections.
type hostPool struct {
	keepAlive atomic.Int64
	mu        sync.Mutex
	idle      []*conn
}

// pop takes the connection that was used last.
func (h *hostPool) pop() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.idle) - 1
	if last < 0 {
		return nil
	}
	link := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return link
}

// exceedsKeepAlive tells whether an idle age is more than the runner allows.
func (h *hostPool) exceedsKeepAlive(idle clock.Span) bool {
	keep := clock.Span(h.keepAlive.Load())
	return keep > 0 && idle > keep
}

// closeIdle closes the idle connections of more than an age; it counts the others.
func (h *hostPool) closeIdle(now clock.Instant, age clock.Span) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = slices.DeleteFunc(h.idle, func(link *conn) bool {
		idle := now.Since(link.lastRead)
		if idle < age && !h.exceedsKeepAlive(idle) {
			return false
		}
		_ = link.Conn.Close()
		return true
	})
	return len(h.idle)
}

// acquire gives a connection on which nothing of this or another request can still
// come: a kept one, or a new one where there is none. An attempt that went to
// the address before always gets a new one.
func (c *Client) acquire(ctx scope.Scope, trip Attempt) (*conn, observation, error) {
	host, now := c.hostPool(string(trip.Address)), c.options.Clock.Now()
	trust, old := c.idleEstimate(trip.Service), false
	for !trip.Request.wasSentTo(trip.Address) {
		link := host.pop()
		if link == nil {
			break
		}
		link.idleFor = now.Since(link.lastRead)
		tooOld := host.exceedsKeepAlive(link.idleFor) || !trust.allows(link.idleFor, trip.AtMostOnce)
		if !tooOld && link.idleFor < c.options.IdleTimeout && !link.carriedAttempt(trip.Request.AttemptID) && !link.hasPendingInput() {
			return link, validResponse, nil
		}
		_ = link.Conn.Close()
		old = old || tooOld
	}
	if old {
		return nil, staleConn, nil
	}
	opened, err := c.dial(ctx, "tcp", string(trip.Address))
	if err != nil {
		return nil, classifyDialError(err), err
	}
	return newConn(opened, c.options.Clock, host), validResponse, nil
}

// localErrors are errors of this machine: it has no descriptor, port or memory left.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// classifyDialError tells by which sign a failed dial is known.
func classifyDialError(err error) observation {
	for _, shortage := range localErrors {
		if errors.Is(err, shortage) {
			return localExhaustion
		}
	}
	return dialFailed
}

// minIdlePerHost is how many idle connections to one runner are kept at least.
const minIdlePerHost = 2

// release keeps a connection for the next request.
func (c *Client) release(link *conn) {
	host := link.pool
	host.mu.Lock()
	full := len(host.idle) >= max(minIdlePerHost, c.options.MaxIdlePerHost)
	if !full {
		host.idle = append(host.idle, link)
	}
	host.mu.Unlock()
	if full {
		_ = link.Conn.Close()
	}
	if c.options.IdleTimeout > 0 && c.sweeping.CompareAndSwap(false, true) {
		go c.sweepIdle()
	}
}

// sweepsPerIdleTimeout is how many times in the longest idle age all hosts are swept.
const sweepsPerIdleTimeout = 4

// sweepIdle closes what was idle for too long, as long as there is anything idle.
func (c *Client) sweepIdle() {
	for {
		<-c.options.Clock.After(c.options.IdleTimeout / sweepsPerIdleTimeout)
		if c.closeIdle(c.options.Clock.Now(), c.options.IdleTimeout) == 0 {
			c.sweeping.Store(false)
			return
		}
	}
}

// CloseIdleConnections closes the kept connections that nobody uses.
func (c *Client) CloseIdleConnections() { _ = c.closeIdle(c.options.Clock.Now(), 0) }

// closeIdle closes the idle connections of more than an age; it counts the others.
func (c *Client) closeIdle(now clock.Instant, age clock.Span) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := 0
	for _, host := range c.hosts {
		left += host.closeIdle(now, age)
	}
	return left
}

func (c *Client) hostPool(address string) *hostPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.hosts[address]
	if known == nil {
		known = &hostPool{}
		c.hosts[address] = known
	}
	return known
}

// learnKeepAlive takes from an answer how long the runner keeps an idle connection; the
// last fifth of that time is not relied on.
func (h *hostPool) learnKeepAlive(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			h.keepAlive.Store(int64(clock.Span(min(seconds, maxKeepAliveSeconds)) * clock.Second * 4 / 5))
		}
	}
}

// maxKeepAliveSeconds, in seconds, is the most of a runner's word that is remembered.
const maxKeepAliveSeconds = 24 * 60 * 60

// wasSentTo tells whether the request was sent to an address before.
func (r *Request) wasSentTo(address ids.Address) bool {
	return slices.Contains(r.sentTo, address)
}
