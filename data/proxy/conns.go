package proxy

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
)

// connSet is the set of a proxy's clients' connections. Its zero value is ready
// for use.
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

func (c *connSet) list() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*clientConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// CloseIdle closes the connections on which no request is read or served.
// http.Server would do that too, but also close one whose next request it is
// reading, and then serve that request without a way to answer it.
func (p *Proxy) CloseIdle() {
	for _, conn := range p.conns.list() {
		if conn.deadlines.closeIfIdle() {
			_ = conn.Close()
		}
	}
}

// AwaitIdle closes connections as their responses go out, until no request is
// read or served any more or the context ends.
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
