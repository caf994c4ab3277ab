package simulation

import (
	"container/heap"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	"onyxwell/base/clock"
)

// loop is the simulated time: acts at instants, one after another. Between two
// acts everything that the first set going has come to rest, since the whole
// runs in one synctest bubble.
type loop struct {
	mu    sync.Mutex
	seed  uint64
	begin time.Time
	queue queue
	order uint64
	// asleep says that the loop waits for an instant, or for an earlier act that
	// wakes it.
	asleep bool
	wake   chan struct{}
	timer  *time.Timer
}

// event is an act at an instant; index is its place in the queue, below 0 once
// it has left it.
type event struct {
	at    time.Duration
	order uint64
	act   func()
	index int
	// quiet says that the act sets nobody going.
	quiet bool
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(left, right int) bool {
	if q[left].at != q[right].at {
		return q[left].at < q[right].at
	}
	return q[left].order < q[right].order
}
func (q queue) Swap(left, right int) {
	q[left], q[right] = q[right], q[left]
	q[left].index, q[right].index = left, right
}
func (q *queue) Push(one any) {
	one.(*event).index = len(*q)
	*q = append(*q, one.(*event))
}
func (q *queue) Pop() any {
	last := len(*q) - 1
	one := (*q)[last]
	(*q)[last], one.index = nil, -1
	*q = (*q)[:last]
	return one
}

func newLoop(seed uint64) *loop {
	made := &loop{seed: seed, begin: time.Now(), wake: make(chan struct{}, 1), timer: time.NewTimer(0)}
	made.timer.Stop()
	return made
}

// now is the simulated time since the beginning.
func (l *loop) now() clock.Span { return time.Since(l.begin) }

// after has something happen once a span has passed, unless it is forgotten.
func (l *loop) after(span clock.Span, act func()) *event { return l.add(span, act, false) }

// quietly does so with an act that sets no goroutine going: nothing has to come
// to rest after it.
func (l *loop) quietly(span clock.Span, act func()) { l.add(span, act, true) }

func (l *loop) add(span clock.Span, act func(), quiet bool) *event {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order++
	made := &event{at: l.now() + max(0, span), order: l.order, act: act, quiet: quiet}
	heap.Push(&l.queue, made)
	if l.asleep {
		l.asleep = false
		l.wake <- struct{}{}
	}
	return made
}

// forget takes an event back that would do nothing any more.
func (l *loop) forget(one *event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if one.index >= 0 {
		heap.Remove(&l.queue, one.index)
	}
}

// step waits for the next act before the end and does it, with the quiet ones
// before it; false says that there is none. All must be at rest when it begins.
func (l *loop) step(end clock.Span) bool {
	for {
		l.mu.Lock()
		if len(l.queue) == 0 || l.queue[0].at > end {
			l.mu.Unlock()
			return false
		}
		pause := l.queue[0].at - l.now()
		if pause <= 0 {
			next := heap.Pop(&l.queue).(*event)
			l.mu.Unlock()
			next.act()
			if next.quiet {
				continue
			}
			synctest.Wait()
			return true
		}
		l.asleep = true
		l.mu.Unlock()
		l.sleepFor(pause)
	}
}

// sleepFor lets time pass; an act that is added meanwhile ends it.
func (l *loop) sleepFor(pause clock.Span) {
	l.timer.Reset(pause)
	select {
	case <-l.timer.C:
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.asleep {
			<-l.wake
		}
		l.asleep = false
	case <-l.wake:
		l.timer.Stop()
		synctest.Wait()
	}
}

// draw gives a number that follows from the seed, a name and the instant, and
// not from what else is drawn: in which order goroutines run within an instant
// changes little. Draws of one name at one instant are alike.
func (l *loop) draw(name string) uint64 {
	return mix(digest(name) ^ mix(l.seed^mix(uint64(l.now()))))
}

// digest is FNV-1a over all parts.
func digest(parts ...string) uint64 {
	sum := uint64(0xcbf29ce484222325)
	for _, part := range parts {
		for index := range len(part) {
			sum = (sum ^ uint64(part[index])) * 0x100000001b3
		}
	}
	return sum
}

// chance draws for the daemons' own jitter. The draw follows from its bound, and
// from no name in the program: a seed's run is the same after a rename or after a
// function was split.
func (l *loop) chance(bound int64) int64 {
	name := "jitter " + strconv.FormatInt(bound, 10)
	return int64(l.draw(name) % uint64(bound))
}

// mix is the finalizer of splitmix64.
func mix(word uint64) uint64 {
	word += 0x9e3779b97f4a7c15
	word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
	word = (word ^ word>>27) * 0x94d049bb133111eb
	return word ^ word>>31
}

// below draws an index, once a chance of one in so many, part a part of a span,
// between a span between two.
func (l *loop) below(name string, bound int) int { return int(l.draw(name) % uint64(bound)) }
func (l *loop) once(name string, odds int) bool  { return l.below(name, odds) == 0 }
func (l *loop) fraction(name string) float64     { return float64(l.draw(name)>>11) / (1 << 53) }
func (l *loop) between(name string, low clock.Span, high clock.Span) clock.Span {
	return low + clock.Span(l.fraction(name)*float64(high-low))
}
