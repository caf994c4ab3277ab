// Package runnerstats collects a router's statistics of each runner: the requests in
// flight and completed, the load that the runner reports, and whether it is suspected
// of a failure. The balancer selects runners by these statistics, and they are
// reported to the autoscaler.
//
// Each request is recorded by RequestSent, ResponseBegan if there is a response, and
// RequestEnded, in this order.
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

// shardCount is the number of shards, each with its own lock.
const shardCount = 8

// State is the current state of a runner.
type State struct {
	Service ids.Service
	// InFlight is the number of this router's requests at the runner.
	InFlight float64
	// UnansweredTokens is the number of prompt tokens of the requests in flight
	// without a response.
	UnansweredTokens float64
	Load             Load
	// LastSeen is the time of the runner's last sign of life: a response or a
	// successful probe.
	LastSeen clock.Instant
	// Suspect reports whether the runner has failed and has given no sign of life
	// since. It is excluded from selection until a response or a probe clears it.
	Suspect bool
}

// runner holds the state and the statistics of a runner.
type runner struct {
	State
	probing probeState
	totals  totals
	pending map[uint64]pendingRequest
}

// totals holds the counts of a runner since the last report.
type totals struct {
	arrived, finished, failed float64
	// latencyMS is the sum of the durations of the finished requests.
	latencyMS float64
	// units is the number of tokens of the requests that arrived, counting at least 1
	// for each request.
	units float64
	// inFlight and pending are sums over the samples.
	inFlight, pending, samples float64
}

// Collector collects the statistics of all runners and the demand for services. It is
// safe for concurrent use.
type Collector struct {
	seed   maphash.Seed
	shards [shardCount]shard
	// demandMu guards the fields below, which count by service and route.
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

// New returns an empty Collector.
func New() *Collector {
	c := &Collector{seed: maphash.MakeSeed()}
	for index := range c.shards {
		c.shards[index].runners = map[ids.RunnerID]*runner{}
	}
	c.resetDemand()
	return c
}

// update calls change with a runner while holding its shard's lock. A runner that is
// not known yet is added.
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

// eachShard calls visit with the runners of each shard while holding its lock.
func (c *Collector) eachShard(visit func(runners map[ids.RunnerID]*runner)) {
	for index := range c.shards {
		s := &c.shards[index]
		s.mu.Lock()
		visit(s.runners)
		s.mu.Unlock()
	}
}

// State returns the current state of a runner.
func (c *Collector) State(id ids.RunnerID) State {
	var state State
	c.update(id, func(r *runner) { state = r.State })
	return state
}

// SentRequest describes a request that is sent to a runner.
type SentRequest struct {
	Service ids.Service
	// Number identifies the attempt among those of this router.
	Number uint64
	// Tokens is the prompt's length in tokens, or 0 if unknown.
	Tokens float64
	// Priority is the priority of the request's tenant or route.
	Priority int
	// LatencyTarget is the latency target of the route; 0 means none.
	LatencyTarget time.Duration
}

// RequestSent records that a request is sent to a runner.
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

// ResponseBegan records that the head of a response arrived, and clears a suspicion of
// the runner. number and tokens are those of the SentRequest. It returns for how long the
// runner was suspected or silent until now.
func (c *Collector) ResponseBegan(id ids.RunnerID, number uint64, tokens float64, now clock.Instant) (excluded time.Duration) {
	c.update(id, func(r *runner) {
		r.UnansweredTokens = max(0, r.UnansweredTokens-tokens)
		excluded = r.markAlive(now)
		delete(r.pending, number)
	})
	return excluded
}

// EndedRequest describes how a request at a runner ended.
type EndedRequest struct {
	// Number and Tokens are those of the SentRequest.
	Number uint64
	Tokens float64
	// Began reports whether ResponseBegan was called for the request.
	Began bool
	// Completed reports whether the whole response arrived, and RunnerFailed whether
	// the request ended by a failure of the runner.
	Completed    bool
	RunnerFailed bool
	// Duration is the time from sending the request to its end.
	Duration time.Duration
}

// RequestEnded records the end of a request. A completed request clears a suspicion of
// the runner, a failure of the runner raises one. It returns for how long the runner was
// suspected or silent until a completed request.
func (c *Collector) RequestEnded(id ids.RunnerID, end EndedRequest, now clock.Instant) (excluded time.Duration) {
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
			excluded = r.markAlive(now)
		}
		if end.RunnerFailed {
			if !countedAsFailed {
				r.totals.failed++
			}
			r.suspect(now)
		}
	})
	return excluded
}
