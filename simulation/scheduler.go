package simulation

import (
	"container/heap"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	"onyxwell/base/clock"
)

// scheduler is the simulated time: acts at instants, one after another. Between two
// acts everything that the first set going has come to rest, since the whole
// runs in one synctest bubble.
type scheduler struct {
	mu          sync.Mutex
	seed        uint64
	start       time.Time
	queue       eventQueue
	executeZone uint64
	// sleeping says that the loop waits for an instant, or for an earlier act that
	// wakes it.
	sleeping bool
	wake     chan struct{}
	timer    *time.Timer
}

// event is an act at an instant; index is its place in the queue, below 0 once
// it has left it.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
	index    int
	// quiet says that the act sets nobody going.
	quiet bool
}

type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].sequence < e[right].sequence
}
func (e eventQueue) Swap(left, right int) {
	e[left], e[right] = e[right], e[left]
	e[left].index, e[right].index = left, right
}
func (e *eventQueue) Push(one any) {
	one.(*event).index = len(*e)
	*e = append(*e, one.(*event))
}
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	one := (*e)[last]
	(*e)[last], one.index = nil, -1
	*e = (*e)[:last]
	return one
}

func newScheduler(seed uint64) *scheduler {
	made := &scheduler{seed: seed, start: time.Now(), wake: make(chan struct{}, 1), timer: time.NewTimer(0)}
	made.timer.Stop()
	return made
}

// now is the simulated time since the beginning.
func (s *scheduler) now() clock.Span { return time.Since(s.start) }

// after has something happen once a span has passed, unless it is forgotten.
func (s *scheduler) after(span clock.Span, act func()) *event { return s.schedule(span, act, false) }

// afterQuiet does so with an act that sets no goroutine going: nothing has to come
// to rest after it.
func (s *scheduler) afterQuiet(span clock.Span, act func()) { s.schedule(span, act, true) }

func (s *scheduler) schedule(span clock.Span, act func(), quiet bool) *event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executeZone++
	made := &event{at: s.now() + max(0, span), sequence: s.executeZone, action: act, quiet: quiet}
	heap.Push(&s.queue, made)
	if s.sleeping {
		s.sleeping = false
		s.wake <- struct{}{}
	}
	return made
}

// cancel takes an event back that would do nothing any more.
func (s *scheduler) cancel(one *event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one.index >= 0 {
		heap.Remove(&s.queue, one.index)
	}
}

// step waits for the next act before the end and does it, with the quiet ones
// before it; false says that there is none. All must be at rest when it begins.
func (s *scheduler) step(end clock.Span) bool {
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

// sleepFor lets time pass; an act that is added meanwhile ends it.
func (s *scheduler) sleepFor(pause clock.Span) {
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

// draw gives a number that follows from the seed, a name and the instant, and
// not from what else is drawn: in which order goroutines run within an instant
// changes little. Draws of one name at one instant are alike.
func (s *scheduler) draw(name string) uint64 {
	return splitmix64(fnv1a(name) ^ splitmix64(s.seed^splitmix64(uint64(s.now()))))
}

// fnv1a is FNV-1a over all parts.
func fnv1a(parts ...string) uint64 {
	sum := uint64(0xcbf29ce484222325)
	for _, part := range parts {
		for index := range len(part) {
			sum = (sum ^ uint64(part[index])) * 0x100000001b3
		}
	}
	return sum
}

// jitter draws for the daemons' own jitter. The draw follows from its bound, and
// from no name in the program: a seed's run is the same after a rename or after a
// function was split.
func (s *scheduler) jitter(bound int64) int64 {
	name := "jitter " + strconv.FormatInt(bound, 10)
	return int64(s.draw(name) % uint64(bound))
}

// splitmix64 is the finalizer of splitmix64.
func splitmix64(word uint64) uint64 {
	word += 0x9e3779b97f4a7c15
	word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
	word = (word ^ word>>27) * 0x94d049bb133111eb
	return word ^ word>>31
}

// drawBelow draws an index, once a chance of one in so many, part a part of a span,
// between a span between two.
func (s *scheduler) drawBelow(name string, bound int) int { return int(s.draw(name) % uint64(bound)) }
func (s *scheduler) drawOneIn(name string, odds int) bool { return s.drawBelow(name, odds) == 0 }
func (s *scheduler) drawFraction(name string) float64     { return float64(s.draw(name)>>11) / (1 << 53) }
func (s *scheduler) drawBetween(name string, low clock.Span, high clock.Span) clock.Span {
	return low + clock.Span(s.drawFraction(name)*float64(high-low))
}
