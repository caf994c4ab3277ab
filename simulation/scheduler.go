package simulation

import (
	"container/heap"
	"strconv"
	"sync"
	"testing/synctest"
	"time"
)

// scheduler runs events at simulated instants, one after another. It runs in a
// synctest bubble: between two events every goroutine that the first one woke has
// come to rest. after, afterQuiet and cancel are safe for concurrent use; step is
// called by one goroutine.
type scheduler struct {
	mu    sync.Mutex
	seed  uint64
	start time.Time
	queue eventQueue
	// lastSequence orders events of the same instant by when they were scheduled.
	lastSequence uint64
	// sleeping says that step waits for an instant, or for an earlier event, which
	// wakes it through wake.
	sleeping bool
	wake     chan struct{}
	timer    *time.Timer
}

// event is an action at an instant.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
	// index is the position in the queue, -1 once it has left it.
	index int
	// quiet says that the action wakes no goroutine.
	quiet bool
}

// eventQueue is a heap of events by instant and sequence.
type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}
func (e *eventQueue) Push(x any) {
	x.(*event).index = len(*e)
	*e = append(*e, x.(*event))
}
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last], popped.index = nil, -1
	*e = (*e)[:last]
	return popped
}

func newScheduler(seed uint64) *scheduler {
	s := &scheduler{seed: seed, start: time.Now(), wake: make(chan struct{}, 1), timer: time.NewTimer(0)}
	s.timer.Stop()
	return s
}

// now returns the simulated time since the start of the run.
func (s *scheduler) now() time.Duration { return time.Since(s.start) }

// after schedules an action once d has passed.
func (s *scheduler) after(d time.Duration, action func()) *event { return s.schedule(d, action, false) }

// afterQuiet schedules an action that wakes no goroutine: step need not wait for
// others to come to rest after it.
func (s *scheduler) afterQuiet(d time.Duration, action func()) { s.schedule(d, action, true) }

func (s *scheduler) schedule(d time.Duration, action func(), quiet bool) *event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSequence++
	scheduled := &event{at: s.now() + max(0, d), sequence: s.lastSequence, action: action, quiet: quiet}
	heap.Push(&s.queue, scheduled)
	if s.sleeping {
		s.sleeping = false
		s.wake <- struct{}{}
	}
	return scheduled
}

// cancel takes back an event that has not run yet.
func (s *scheduler) cancel(scheduled *event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if scheduled.index >= 0 {
		heap.Remove(&s.queue, scheduled.index)
	}
}

// step waits for the next event up to the end and runs it, with the quiet ones
// before it; it reports whether there was one. All goroutines must be at rest
// when it is called.
func (s *scheduler) step(end time.Duration) bool {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.mu.Unlock()
			return false
		}
		pause := s.queue[0].at - s.now()
		if pause <= 0 {
			next := heap.Pop(&s.queue).(*event)
			s.mu.Unlock()
			next.action()
			if next.quiet {
				continue
			}
			synctest.Wait()
			return true
		}
		s.sleeping = true
		s.mu.Unlock()
		s.sleepFor(pause)
	}
}

// sleepFor lets time pass; an event that is scheduled meanwhile ends it.
func (s *scheduler) sleepFor(pause time.Duration) {
	s.timer.Reset(pause)
	select {
	case <-s.timer.C:
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.sleeping {
			<-s.wake
		}
		s.sleeping = false
	case <-s.wake:
		s.timer.Stop()
		synctest.Wait()
	}
}

// draw returns a number that follows from the seed, the name of the draw and the
// instant, and from no earlier draw: in which order goroutines run within an
// instant then changes little. Draws of one name at one instant are equal.
func (s *scheduler) draw(name string) uint64 {
	return splitmix64(fnv1a(name) ^ splitmix64(s.seed^splitmix64(uint64(s.now()))))
}

// drawBelow draws an index from 0 to bound-1.
func (s *scheduler) drawBelow(name string, bound int) int { return int(s.draw(name) % uint64(bound)) }

// drawOneIn is true once in so many draws.
func (s *scheduler) drawOneIn(name string, odds int) bool { return s.drawBelow(name, odds) == 0 }

// drawFraction draws a number from 0 up to, not including, 1.
func (s *scheduler) drawFraction(name string) float64 { return float64(s.draw(name)>>11) / (1 << 53) }

// drawBetween draws a duration between two.
func (s *scheduler) drawBetween(name string, low time.Duration, high time.Duration) time.Duration {
	return low + time.Duration(s.drawFraction(name)*float64(high-low))
}

// jitter is the daemons' source of randomness. The draw follows from its bound
// and from no name in the program, so that a rename or a function that is split
// leaves a seed's run as it was.
func (s *scheduler) jitter(bound int64) int64 {
	name := "jitter " + strconv.FormatInt(bound, 10)
	return int64(s.draw(name) % uint64(bound))
}

// fnv1a is the 64-bit FNV-1a hash of a text.
func fnv1a(text string) uint64 {
	hash := uint64(0xcbf29ce484222325)
	for index := range len(text) {
		hash = (hash ^ uint64(text[index])) * 0x100000001b3
	}
	return hash
}

// splitmix64 is one step of the generator of that name.
func splitmix64(word uint64) uint64 {
	word += 0x9e3779b97f4a7c15
	word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
	word = (word ^ word>>27) * 0x94d049bb133111eb
	return word ^ word>>31
}
