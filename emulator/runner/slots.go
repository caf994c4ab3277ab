package runner

import (
	"context"
	"slices"
	"sort"
	"sync"
)

// slots are the requests that run at once, and the queue before them.
type slots struct {
	mu       sync.Mutex
	capacity int
	queue    int // how many may wait
	running  int
	handled  int
	waiting  []*waiter // the next first
}

type waiter struct {
	urgency int
	ready   chan struct{} // closed once the waiter has a slot
}

// acquire waits for a slot. Lower urgencies go first, equal ones in their order.
// It returns false where the queue is full or the context ends first; otherwise
// the caller must call release.
func (s *slots) acquire(ctx context.Context, urgency int) bool {
	own := s.enqueue(urgency)
	if own == nil {
		return false
	}
	select {
	case <-own.ready: // also where the context has ended already
		return true
	default:
	}
	select {
	case <-own.ready:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, own); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	// The slot came at the same moment.
	s.handOver()
	return false
}

// enqueue returns a waiter that is ready where a slot is free, or nil where the
// queue is full.
func (s *slots) enqueue(urgency int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := &waiter{urgency: urgency, ready: make(chan struct{})}
	if s.running < s.capacity {
		s.running++
		close(own.ready)
		return own
	}
	if len(s.waiting) >= s.queue {
		return nil
	}
	s.waiting = append(s.waiting, own)
	sort.SliceStable(s.waiting, func(i int, j int) bool { return s.waiting[i].urgency < s.waiting[j].urgency })
	return own
}

// release returns a slot whose request was handled.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handled++
	s.handOver()
}

// handOver gives a slot to the next waiter, or frees it. It requires s.mu.
func (s *slots) handOver() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0].ready)
	s.waiting = s.waiting[1:]
}

// load returns how many requests run and wait now, and how many were handled.
func (s *slots) load() (running int, queued int, handled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting), s.handled
}
