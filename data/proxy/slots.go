package proxy

import (
	"net"
	"sync"
)

const (
	// reservedFiles are the descriptors that the machine keeps for files.
	reservedFiles = 200
	// clientFilesDivisor is the part of the others, one in so many, that clients'
	// connections may take; requests to runners need as many.
	clientFilesDivisor = 2
	// nearlyFullQuarters is the part of the places, in quarters, from which connections
	// end with their answers, so that others get their turn.
	nearlyFullQuarters = 3
)

// connSlots are those for clients' connections. A nil one has places for all.
type connSlots struct {
	tokens    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// newConnSlots makes the places of a process that may open so many files; 0 is no
// bound.
func newConnSlots(openFiles int) *connSlots {
	if openFiles <= 0 {
		return nil
	}
	count := max(1, (openFiles-reservedFiles)/clientFilesDivisor)
	return &connSlots{tokens: make(chan struct{}, count), closed: make(chan struct{})}
}

// acquire waits for a place.
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

// release gives a place back.
func (c *connSlots) release() {
	if c != nil {
		<-c.tokens
	}
}

// close has nobody wait any more.
func (c *connSlots) close() {
	if c != nil {
		c.closeOnce.Do(func() { close(c.closed) })
	}
}

// nearlyFull tells whether few places are left.
func (c *connSlots) nearlyFull() bool {
	return c != nil && len(c.tokens) >= max(1, cap(c.tokens)*nearlyFullQuarters/4)
}
