package proxy

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// connSet are the connections of a front's clients. The zero value is ready.
type connSet struct {
	mu    sync.Mutex
	conns map[*clientConn]bool
}

func (c *connSet) add(link *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*clientConn]bool{}
	}
	c.conns[link] = true
}

func (c *connSet) remove(link *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, link)
}

// list gives all connections.
func (c *connSet) list() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*clientConn
	for link := range c.conns {
		all = append(all, link)
	}
	return all
}

// CloseIdle closes the connections on which nothing is asked. net/http would do that
// too, and also close one whose next request it is reading, which it then has
// answered into nothing.
func (p *Proxy) CloseIdle() {
	for _, link := range p.conns.list() {
		if link.deadlines.closeIfIdle() {
			_ = link.Close()
		}
	}
}

// AwaitIdle closes connections as their answers go out, until none is asked for one
// any more or the scope ends.
func (p *Proxy) AwaitIdle(ctx scope.Scope) {
	const pause = 20 * clock.Millisecond
	for p.hasRequests() && ctx.Wait(pause) {
		p.CloseIdle()
	}
}

func (p *Proxy) hasRequests() bool {
	for _, link := range p.conns.list() {
		if link.deadlines.hasRequest() {
			return true
		}
	}
	return false
}
