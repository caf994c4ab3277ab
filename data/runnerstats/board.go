// Package runnerstats keeps what a router sees of each runner: requests arrived,
// running and finished, how long they took, and the load that runners tell.
package runnerstats

import (
	"hash/maphash"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

const shards = 8

// Load is what a runner told of itself in an answer.
type Load struct {
	Running float64
	Waiting float64
	Slots   float64
	At      clock.Instant
	Sent    float64
}

// Ledger is what is known of one runner.
type Ledger struct {
	Service ids.Service
	Running float64
	// Unanswered are the tokens of prompts sent whose first event is not here.
	Unanswered float64
	Load       Load
	// Heard is when the runner last gave a sign of life, Asked when the oldest
	// request that still waits for one was sent.
	Heard clock.Instant
	// Doubted says that the runner broke down and gave no sign of life since:
	// nothing new is sent to it until a test has found it well.
	Doubted bool
	tests   int
	due     clock.Instant
	// falls counts doubts that came soon after the last one ended, ill the tests
	// that a runner answered by saying that it is ill.
	falls   int
	ill     int
	cleared clock.Instant

	arrived, finished, failed, spentMS float64
	units                              float64
	runningSum, pendingSum             float64
	looks                              float64
	waits                              map[uint64]waiting
}

// waiting is a request that has no sign of an answer yet.
type waiting struct {
	since   clock.Instant
	urgency int
	goal    clock.Span
	overdue bool
}

// Board holds the ledgers of all runners, in shards with a lock each.
type Board struct {
	seed   maphash.Seed
	shards [shards]shard
	demand shard
	wanted map[demandKey]float64
	read   map[readingKey]headroom.Reading
	took   map[lengthstats.Key]lengthstats.Totals
}

type readingKey struct {
	service ids.Service
	route   string
}

type shard struct {
	mu      sync.Mutex
	ledgers map[ids.RunnerID]*Ledger
}

type demandKey struct {
	service ids.Service
	homes   string
}

// NewBoard makes an empty board.
func NewBoard() *Board {
	board := &Board{seed: maphash.MakeSeed(), wanted: map[demandKey]float64{}, read: map[readingKey]headroom.Reading{}, took: map[lengthstats.Key]lengthstats.Totals{}}
	for index := range board.shards {
		board.shards[index].ledgers = map[ids.RunnerID]*Ledger{}
	}
	return board
}

func (b *Board) with(id ids.RunnerID, act func(ledger *Ledger)) {
	part := &b.shards[maphash.String(b.seed, string(id))%shards]
	part.mu.Lock()
	defer part.mu.Unlock()
	ledger := part.ledgers[id]
	if ledger == nil {
		ledger = &Ledger{waits: map[uint64]waiting{}}
		part.ledgers[id] = ledger
	}
	act(ledger)
}

// Look gives a copy of a runner's ledger.
func (b *Board) Look(id ids.RunnerID) Ledger {
	var seen Ledger
	b.with(id, func(ledger *Ledger) { seen = *ledger })
	seen.waits = nil
	return seen
}

// Asked notes how much visitors want of a service.
func (b *Board) Asked(service ids.Service, homes string) {
	b.demand.mu.Lock()
	defer b.demand.mu.Unlock()
	b.wanted[demandKey{service: service, homes: homes}]++
}

// Read notes how long a first answer took for a request of so many units.
func (b *Board) Read(service ids.Service, route string, units float64, first clock.Span) {
	milliseconds := float64(first) / float64(clock.Millisecond)
	b.demand.mu.Lock()
	defer b.demand.mu.Unlock()
	key := readingKey{service: service, route: route}
	b.read[key] = b.read[key].Add(headroom.Reading{
		Service: service, Route: route, Count: 1, Units: units, UnitsSquared: units * units,
		FirstTokenMS: milliseconds, UnitsFirstTokenMS: units * milliseconds,
	})
}

// Sending is a request that goes to a runner; its number is given back to Began
// and Ended.
type Sending struct {
	Service ids.Service
	Number  uint64
	Tokens  float64
	Urgency int
	// Goal is how soon a first sign is wanted.
	Goal clock.Span
}

// Sent notes a request that goes to a runner.
func (b *Board) Sent(id ids.RunnerID, sending Sending, now clock.Instant) {
	b.with(id, func(ledger *Ledger) {
		ledger.Service = sending.Service
		ledger.Running++
		ledger.Unanswered += sending.Tokens
		ledger.arrived++
		ledger.units += max(1, sending.Tokens)
		ledger.Load.Sent++
		ledger.waits[sending.Number] = waiting{since: now, urgency: sending.Urgency, goal: sending.Goal}
	})
}

// Began notes the first sign of an answer.
func (b *Board) Began(id ids.RunnerID, number uint64, tokens float64, now clock.Instant) {
	b.with(id, func(ledger *Ledger) {
		ledger.Unanswered = max(0, ledger.Unanswered-tokens)
		ledger.clear(now)
		delete(ledger.waits, number)
	})
}

// Ending is how a request at a runner ended.
type Ending struct {
	Service ids.Service
	Number  uint64
	Tokens  float64
	Began   bool
	// Finished is an answer that came whole; Broken a runner that broke down.
	Finished bool
	Broken   bool
	Spent    clock.Span
}

// Ended notes the end of a request.
func (b *Board) Ended(id ids.RunnerID, ending Ending, now clock.Instant) {
	b.with(id, func(ledger *Ledger) {
		ledger.Running = max(0, ledger.Running-1)
		counted := ledger.waits[ending.Number].overdue
		delete(ledger.waits, ending.Number)
		if !ending.Began {
			ledger.Unanswered = max(0, ledger.Unanswered-ending.Tokens)
		}
		if ending.Finished {
			ledger.finished++
			ledger.spentMS += float64(ending.Spent.Milliseconds())
			ledger.clear(now)
		}
		if ending.Broken {
			if !counted {
				ledger.failed++
			}
			ledger.doubt(now)
		}
	})
}

// Sample adds one look at how many are running; looks are averaged.
func (b *Board) Sample() {
	for index := range b.shards {
		part := &b.shards[index]
		part.mu.Lock()
		for _, ledger := range part.ledgers {
			ledger.looks++
			ledger.runningSum += ledger.Running
			ledger.pendingSum += float64(len(ledger.waits))
		}
		part.mu.Unlock()
	}
}
