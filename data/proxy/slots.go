package proxy

import (
	"net"
	"sync"
)

const (
	// reservedFiles are the descriptors kept for other uses than connections.
	reservedFiles = 200
	// clientFilesDivisor says which part of the others clients' connections may
	// take, as 1/clientFilesDivisor; attempts at runners need as many.
	clientFilesDivisor = 2
	// nearlyFullQuarters is from how many quarters of the slots on connections end
	// with their responses, so that waiting clients get their turn.
	nearlyFullQuarters = 3
)

// connSlots bounds the number of clients' connections. A nil one has no bound.
type connSlots struct {
	tokens    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// newConnSlots returns the slots of a process that may open openFiles files; 0
// is no bound.
func newConnSlots(openFiles int) *connSlots {
	if openFiles <= 0 {
		return nil
	}
	count := max(1, (openFiles-reservedFiles)/clientFilesDivisor)
	return &connSlots{tokens: make(chan struct{}, count), closed: make(chan struct{})}
}

// acquire waits for a slot; it returns net.ErrClosed once the slots are closed.
func (c *connSlots) acquire() error {
	if c == nil {
		return nil
	}
	select {
	case c.tokens <- struct{}{}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// release gives a slot back.
func (c *connSlots) release() {
	if c != nil {
		<-c.tokens
	}
}

// close ends the wait of all who acquire.
func (c *connSlots) close() {
	if c != nil {
		c.closeOnce.Do(func() { close(c.closed) })
	}
}

// nearlyFull returns whether few slots are free.
func (c *connSlots) nearlyFull() bool {
	return c != nil && len(c.tokens) >= max(1, cap(c.tokens)*nearlyFullQuarters/4)
}
