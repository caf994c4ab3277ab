package runner

import (
	"sort"
	"strconv"
	"strings"
	"sync"

	"onyxwell/base/scope"
)

// slots are the places of the requests that run, and the queue before them.
type slots struct {
	mu       sync.Mutex
	capacity int
	queue    int
	running  int
	handled  int
	waiting  []*waiter
}

type waiter struct {
	urgency int
	ready   chan struct{}
}

// acquire waits for a place; the more urgent go in first. False says that there
// is no room, or that the scope ended first.
func (s *slots) acquire(ctx scope.Scope, urgency int) bool {
	s.mu.Lock()
	if s.running < s.capacity {
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		return false
	}
	mine := &waiter{urgency: urgency, ready: make(chan struct{})}
	s.waiting = append(s.waiting, mine)
	sort.SliceStable(s.waiting, func(left int, right int) bool { return s.waiting[left].urgency < s.waiting[right].urgency })
	s.mu.Unlock()
	select {
	case <-mine.ready:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, waiting := range s.waiting {
		if waiting == mine {
			s.waiting = append(s.waiting[:index], s.waiting[index+1:]...)
			return false
		}
	}
	// The place came at the same moment.
	s.handOver()
	return false
}

// release frees a place.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handled++
	s.handOver()
}

func (s *slots) handOver() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0].ready)
	s.waiting = s.waiting[1:]
}

// load gives what runs and what waits.
func (s *slots) load() (running int, waiting int, handled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting), s.handled
}

// cache holds the parts of prompts that were read; the parts unused for longest
// give way.
type cache struct {
	mu      sync.Mutex
	limit   float64
	total   float64
	recency []string
	sizes   map[string]float64
}

// prefill notes a prompt as ID:TOKENS,ID:TOKENS and gives the tokens that had to be
// read: a part is kept only if every part before it is kept as well.
func (c *cache) prefill(model string, prompt string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread, whole := 0.0, true
	for _, part := range strings.Split(prompt, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !found || err != nil || tokens < 0 {
			continue
		}
		key := model + " " + id
		_, kept := c.sizes[key]
		if whole = whole && kept; !whole {
			unread += tokens
		}
		c.touch(key, tokens)
	}
	return unread
}

func (c *cache) touch(key string, tokens float64) {
	if c.sizes == nil {
		c.sizes = map[string]float64{}
	}
	if old, kept := c.sizes[key]; kept {
		c.total -= old
		for index, name := range c.recency {
			if name == key {
				c.recency = append(c.recency[:index], c.recency[index+1:]...)
				break
			}
		}
	}
	c.sizes[key] = tokens
	c.total += tokens
	c.recency = append(c.recency, key)
	for c.total > c.limit && len(c.recency) > 0 {
		c.total -= c.sizes[c.recency[0]]
		delete(c.sizes, c.recency[0])
		c.recency = c.recency[1:]
	}
}

func (c *cache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
