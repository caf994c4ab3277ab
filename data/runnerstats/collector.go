// Package runnerstats keeps what a router observes of each runner: requests in
// flight and ended, the load that the runner reports, and whether it is suspected
// of a failure. The balancer decides by it, and the autoscaler gets a report of it.
//
// A request is recorded by RequestSent, ResponseBegan where there is a response,
// and RequestEnded, in this order. A Collector is safe for concurrent use.
package runnerstats

import (
	"hash/maphash"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// shardCount is among how many locks the runners are divided.
const shardCount = 8

// State is what is known of a runner now.
type State struct {
	Service ids.Service
	// InFlight is how many requests of this router it has.
	InFlight float64
	// UnansweredTokens are the prompts' tokens of those without a response yet.
	UnansweredTokens float64
	Load             Load
	// LastSeen is when the runner last gave a sign of life.
	LastSeen clock.Instant
	// Suspect says that the runner has failed and gave no sign of life since:
	// nothing is sent to it until a probe succeeds.
	Suspect bool
}

// runner is all that is kept of a runner.
type runner struct {
	State
	probing probeState
	totals  totals
	pending map[uint64]pendingRequest
}

// totals is what is counted of a runner between two reports.
type totals struct {
	arrived, finished, failed float64
	latencyMS                 float64
	// units are the tokens of the requests that arrived, at least 1 each.
	units float64
	// inFlight and pending are sums over samples.
	inFlight, pending, samples float64
}

// Collector collects the statistics of all runners and the demand for services.
type Collector struct {
	seed   maphash.Seed
	shards [shardCount]shard
	// demandMu guards what is counted for services and routes, below.
	demandMu    sync.Mutex
	demand      map[demandKey]float64
	readings    map[readingKey]headroom.Reading
	completions map[lengthstats.Key]lengthstats.Totals
}

type shard struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runner
}

type demandKey struct {
	service     ids.Service
	homeRegions string
}

type readingKey struct {
	service ids.Service
	route   string
}

// New returns an empty collector.
func New() *Collector {
	c := &Collector{seed: maphash.MakeSeed()}
	for index := range c.shards {
		c.shards[index].runners = map[ids.RunnerID]*runner{}
	}
	c.resetDemand()
	return c
}

// update calls change with a runner, which is added if it is unknown, under its
// shard's lock.
func (c *Collector) update(id ids.RunnerID, change func(r *runner)) {
	s := &c.shards[maphash.String(c.seed, string(id))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runners[id]
	if r == nil {
		r = &runner{pending: map[uint64]pendingRequest{}}
		s.runners[id] = r
	}
	change(r)
}

// eachShard calls visit with the runners of each shard, under its lock.
func (c *Collector) eachShard(visit func(runners map[ids.RunnerID]*runner)) {
	for index := range c.shards {
		s := &c.shards[index]
		s.mu.Lock()
		visit(s.runners)
		s.mu.Unlock()
	}
}

// State returns the state of a runner.
func (c *Collector) State(id ids.RunnerID) State {
	var state State
	c.update(id, func(r *runner) { state = r.State })
	return state
}

// SentRequest is a request that is sent to a runner.
type SentRequest struct {
	Service ids.Service
	// Number identifies the request among this router's.
	Number uint64
	// Tokens is the prompt's length; 0 is unknown.
	Tokens float64
	// Priority is the priority of its route.
	Priority int
	// LatencyTarget is the latency target of the first event; 0 is none.
	LatencyTarget time.Duration
}

// RequestSent records a request that is sent to a runner.
func (c *Collector) RequestSent(id ids.RunnerID, req SentRequest, now clock.Instant) {
	c.update(id, func(r *runner) {
		r.Service = req.Service
		r.InFlight++
		r.UnansweredTokens += req.Tokens
		r.totals.arrived++
		r.totals.units += max(1, req.Tokens)
		r.Load.SentSince++
		r.pending[req.Number] = pendingRequest{sentAt: now, priority: req.Priority, latencyTarget: req.LatencyTarget}
	})
}

// ResponseBegan records the head of a response, by the number and the tokens of
// its request. It ends a suspicion.
func (c *Collector) ResponseBegan(id ids.RunnerID, number uint64, tokens float64, now clock.Instant) {
	c.update(id, func(r *runner) {
		r.UnansweredTokens = max(0, r.UnansweredTokens-tokens)
		r.markAlive(now)
		delete(r.pending, number)
	})
}

// EndedRequest is how a request at a runner ended.
type EndedRequest struct {
	// Number and Tokens are those of the SentRequest.
	Number uint64
	Tokens float64
	// Began says that ResponseBegan was called for it.
	Began bool
	// Completed says that the whole response arrived, RunnerFailed that the end
	// speaks against the runner.
	Completed    bool
	RunnerFailed bool
	// Duration is how long the request was at the runner.
	Duration time.Duration
}

// RequestEnded records the end of a request. A completed one ends a suspicion, a
// failure of the runner begins one.
func (c *Collector) RequestEnded(id ids.RunnerID, end EndedRequest, now clock.Instant) {
	c.update(id, func(r *runner) {
		r.InFlight = max(0, r.InFlight-1)
		countedAsFailed := r.pending[end.Number].overdue
		delete(r.pending, end.Number)
		if !end.Began {
			r.UnansweredTokens = max(0, r.UnansweredTokens-end.Tokens)
		}
		if end.Completed {
			r.totals.finished++
			r.totals.latencyMS += float64(end.Duration.Milliseconds())
			r.markAlive(now)
		}
		if end.RunnerFailed {
			if !countedAsFailed {
				r.totals.failed++
			}
			r.suspect(now)
		}
	})
}
