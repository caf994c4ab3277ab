package proxy

import (
	"net"
	"sync"
)

const (
	// reservedFiles is the number of file descriptors reserved for other uses than
	// connections.
	reservedFiles = 200
	// clientFilesDivisor limits client connections to 1/clientFilesDivisor of the
	// remaining descriptors: attempts at runners need as many.
	clientFilesDivisor = 2
	// nearlyFullQuarters is how many quarters of the slots must be in use for
	// connections to be closed after their responses, so that waiting clients get
	// slots.
	nearlyFullQuarters = 3
)

// connSlots bounds the number of client connections. It is safe for concurrent
// use. A nil connSlots is unlimited.
type connSlots struct {
	tokens    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// newConnSlots returns the slots for a process that may open openFiles files; 0
// is unlimited.
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

// release frees a slot.
func (c *connSlots) release() {
	if c != nil {
		<-c.tokens
	}
}

// close unblocks all calls of acquire that wait.
func (c *connSlots) close() {
	if c != nil {
		c.closeOnce.Do(func() { close(c.closed) })
	}
}

// nearlyFull reports whether at least nearlyFullQuarters of the slots are in use.
func (c *connSlots) nearlyFull() bool {
	return c != nil && len(c.tokens) >= max(1, cap(c.tokens)*nearlyFullQuarters/4)
}
