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

const shardCount = 8

// Load is what a runner told of itself in an answer.
type Load struct {
	Running    float64
	Waiting    float64
	Slots      float64
	ReportedAt clock.Instant
	SentSince  float64
}

// State is what is known of one runner.
type State struct {
	Service  ids.Service
	InFlight float64
	// UnansweredTokens are the tokens of prompts sent whose first event is not here.
	UnansweredTokens float64
	Load             Load
	// LastSeen is when the runner last gave a sign of life, Asked when the oldest
	// request that still waits for one was sent.
	LastSeen clock.Instant
	// Suspect says that the runner broke down and gave no sign of life since:
	// nothing new is sent to it until a test has found it well.
	Suspect   bool
	probes    int
	nextProbe clock.Instant
	// relapses counts doubts that came soon after the last one ended, ill the tests
	// that a runner answered by saying that it is ill.
	relapses         int
	unhealthyReplies int
	clearedAt        clock.Instant

	arrived, finished, failed, latencySumMS float64
	units                                   float64
	inFlightSum, pendingSum                 float64
	samples                                 float64
	pending                                 map[uint64]pendingRequest
}

// pendingRequest is a request that has no sign of an answer yet.
type pendingRequest struct {
	sentAt  clock.Instant
	urgency int
	goal    clock.Span
	overdue bool
}

// Collector holds the ledgers of all runners, in shards with a lock each.
type Collector struct {
	seed        maphash.Seed
	shards      [shardCount]shard
	aggregates  shard
	demand      map[demandKey]float64
	readings    map[readingKey]headroom.Reading
	completions map[lengthstats.Key]lengthstats.Totals
}

type readingKey struct {
	service ids.Service
	route   string
}

type shard struct {
	mu     sync.Mutex
	states map[ids.RunnerID]*State
}

type demandKey struct {
	service ids.Service
	homes   string
}

// New makes an empty board.
func New() *Collector {
	board := &Collector{seed: maphash.MakeSeed(), demand: map[demandKey]float64{}, readings: map[readingKey]headroom.Reading{}, completions: map[lengthstats.Key]lengthstats.Totals{}}
	for index := range board.shards {
		board.shards[index].states = map[ids.RunnerID]*State{}
	}
	return board
}

func (c *Collector) update(id ids.RunnerID, act func(ledger *State)) {
	part := &c.shards[maphash.String(c.seed, string(id))%shardCount]
	part.mu.Lock()
	defer part.mu.Unlock()
	ledger := part.states[id]
	if ledger == nil {
		ledger = &State{pending: map[uint64]pendingRequest{}}
		part.states[id] = ledger
	}
	act(ledger)
}

// State gives a copy of a runner's ledger.
func (c *Collector) State(id ids.RunnerID) State {
	var seen State
	c.update(id, func(ledger *State) { seen = *ledger })
	seen.pending = nil
	return seen
}

// AddDemand notes how much visitors want of a service.
func (c *Collector) AddDemand(service ids.Service, homes string) {
	c.aggregates.mu.Lock()
	defer c.aggregates.mu.Unlock()
	c.demand[demandKey{service: service, homes: homes}]++
}

// ObserveFirstEvent notes how long a first answer took for a request of so many units.
func (c *Collector) ObserveFirstEvent(service ids.Service, route string, units float64, first clock.Span) {
	milliseconds := float64(first) / float64(clock.Millisecond)
	c.aggregates.mu.Lock()
	defer c.aggregates.mu.Unlock()
	key := readingKey{service: service, route: route}
	c.readings[key] = c.readings[key].Add(headroom.Reading{
		Service: service, Route: route, Count: 1, Units: units, UnitsSquared: units * units,
		FirstTokenMS: milliseconds, UnitsFirstTokenMS: units * milliseconds,
	})
}

// SentRequest is a request that goes to a runner; its number is given back to Began
// and Ended.
type SentRequest struct {
	Service ids.Service
	Number  uint64
	Tokens  float64
	Urgency int
	// Goal is how soon a first sign is wanted.
	Goal clock.Span
}

// RequestSent notes a request that goes to a runner.
func (c *Collector) RequestSent(id ids.RunnerID, sending SentRequest, now clock.Instant) {
	c.update(id, func(ledger *State) {
		ledger.Service = sending.Service
		ledger.InFlight++
		ledger.UnansweredTokens += sending.Tokens
		ledger.arrived++
		ledger.units += max(1, sending.Tokens)
		ledger.Load.SentSince++
		ledger.pending[sending.Number] = pendingRequest{sentAt: now, urgency: sending.Urgency, goal: sending.Goal}
	})
}

// ResponseBegan notes the first sign of an answer.
func (c *Collector) ResponseBegan(id ids.RunnerID, number uint64, tokens float64, now clock.Instant) {
	c.update(id, func(ledger *State) {
		ledger.UnansweredTokens = max(0, ledger.UnansweredTokens-tokens)
		ledger.markAlive(now)
		delete(ledger.pending, number)
	})
}

// EndedRequest is how a request at a runner ended.
type EndedRequest struct {
	Service ids.Service
	Number  uint64
	Tokens  float64
	Began   bool
	// Completed is an answer that came whole; Broken a runner that broke down.
	Completed    bool
	RunnerFailed bool
	Duration     clock.Span
}

// RequestEnded notes the end of a request.
func (c *Collector) RequestEnded(id ids.RunnerID, ending EndedRequest, now clock.Instant) {
	c.update(id, func(ledger *State) {
		ledger.InFlight = max(0, ledger.InFlight-1)
		counted := ledger.pending[ending.Number].overdue
		delete(ledger.pending, ending.Number)
		if !ending.Began {
			ledger.UnansweredTokens = max(0, ledger.UnansweredTokens-ending.Tokens)
		}
		if ending.Completed {
			ledger.finished++
			ledger.latencySumMS += float64(ending.Duration.Milliseconds())
			ledger.markAlive(now)
		}
		if ending.RunnerFailed {
			if !counted {
				ledger.failed++
			}
			ledger.suspect(now)
		}
	})
}

// SampleInFlight adds one look at how many are running; looks are averaged.
func (c *Collector) SampleInFlight() {
	for index := range c.shards {
		part := &c.shards[index]
		part.mu.Lock()
		for _, ledger := range part.states {
			ledger.samples++
			ledger.inFlightSum += ledger.InFlight
			ledger.pendingSum += float64(len(ledger.pending))
		}
		part.mu.Unlock()
	}
}
