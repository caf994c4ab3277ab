package router

import (
	"sync"

	"onyxwell/base/ids"
)

// checkSlots limits the concurrent health checks of unverified runners: one of each runner,
// and maxConcurrentChecks in each zone. It is safe for concurrent use.
type checkSlots struct {
	mu      sync.Mutex
	running map[ids.RunnerID]bool
	zones   map[ids.Zone]chan struct{}
}

func newCheckSlots() *checkSlots {
	return &checkSlots{running: map[ids.RunnerID]bool{}, zones: map[ids.Zone]chan struct{}{}}
}

// begin reports whether a check of a runner may begin: none is running or waiting. If so,
// end must be called.
func (c *checkSlots) begin(id ids.RunnerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[id] {
		return false
	}
	c.running[id] = true
	return true
}

func (c *checkSlots) end(id ids.RunnerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, id)
}

// ofZone returns the channel whose capacity is the number of slots of a zone.
func (c *checkSlots) ofZone(zone ids.Zone) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.zones[zone]
	if slots == nil {
		slots = make(chan struct{}, maxConcurrentChecks)
		c.zones[zone] = slots
	}
	return slots
}
