package proxy

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
)

// connSet is the set of open client connections of a proxy. The zero value is
// ready to use. It is safe for concurrent use.
type connSet struct {
	mu    sync.Mutex
	conns map[*clientConn]bool
}

func (c *connSet) add(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*clientConn]bool{}
	}
	c.conns[conn] = true
}

func (c *connSet) remove(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// list returns a copy of the set.
func (c *connSet) list() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*clientConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// CloseIdle closes the connections on which no request is being read or served.
// http.Server can close idle connections itself, but it also closes one whose next
// request it is reading, and then serves that request without being able to send
// the response.
func (p *Proxy) CloseIdle() {
	for _, conn := range p.conns.list() {
		if conn.deadlines.closeIfIdle() {
			_ = conn.Close()
		}
	}
}

// AwaitIdle closes connections as they become idle, until no request is being read
// or served or the context ends.
func (p *Proxy) AwaitIdle(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for p.hasRequests() && clock.Wait(ctx, p.clock, interval) {
		p.CloseIdle()
	}
}

func (p *Proxy) hasRequests() bool {
	for _, conn := range p.conns.list() {
		if conn.deadlines.hasRequest() {
			return true
		}
	}
	return false
}
