package readindex

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// States of a Gate, as shown in the status and in the log.
const (
	// Waiting is the state of a closed gate.
	Waiting = "waiting"
	// Unconfirmed is the state of a gate that opened after MaxWait, without
	// confirmation that the applied version is new enough. The gate continues to
	// query controllers until it is Confirmed.
	Unconfirmed = "unconfirmed"
	// Confirmed is the state of an open gate whose router has applied the read index
	// or a later version.
	Confirmed = "confirmed"
)

const (
	// checksPerMaxWait is how many times per MaxWait the applied version is checked.
	checksPerMaxWait = 32
	// The interval between two queries starts at MaxWait / firstIntervalDivisor and
	// grows by half after each query, up to MaxWait * maxIntervalFactor.
	firstIntervalDivisor = 6
	maxIntervalFactor    = 4
	// maxQueuedResults limits the number of query results that wait for Run. Further
	// results are dropped.
	maxQueuedResults = 64
)

// Options configures a Gate. All fields except Jitter are required.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Controllers returns the addresses of the controllers that can be queried.
	Controllers func() []ids.Address
	// Query asks one controller for the read index.
	Query func(ctx context.Context, address ids.Address) (Response, error)
	// Applied is closed once the router has applied any version; from then on
	// AppliedVersion returns the applied version.
	Applied        <-chan struct{}
	AppliedVersion func() ids.Version
	// Fetch exchanges updates with a controller, to get a newer version from it.
	Fetch func(ctx context.Context, address ids.Address)
	// MaxWait is how long a gate whose router has applied a version stays closed
	// unconfirmed. The time starts anew with each response, and when the first version
	// is applied after a response.
	MaxWait time.Duration
	// Jitter randomizes a query interval, so that routers that start at the same time
	// do not all query at the same time. By default it returns a duration between 0.5
	// and 1.5 times the interval.
	Jitter func(interval time.Duration) time.Duration
}

// Gate keeps a router from serving until its configuration version is confirmed.
// Ready and State may be called from any goroutine; all other state belongs to Run.
type Gate struct {
	options Options
	ready   chan struct{}
	state   atomic.Value

	// goroutines counts the queries and fetches that Run has started and waits for.
	goroutines sync.WaitGroup
	// candidates are the controllers still to be queried in this round, in random order.
	candidates []ids.Address
	// readIndex is the newest version in any response, and lastResponder the controller
	// that responded last; both are valid only if hasReadIndex is set.
	readIndex     ids.Version
	hasReadIndex  bool
	lastResponder ids.Address
	// waitingSince is the start of the wait that MaxWait limits.
	waitingSince clock.Instant
	// wasApplied reports whether any version had been applied at the last check.
	wasApplied bool
}

// NewGate returns a closed Gate; Run opens it.
func NewGate(options Options) *Gate {
	if options.Jitter == nil {
		options.Jitter = func(interval time.Duration) time.Duration { return interval/2 + random.Duration(interval) }
	}
	g := &Gate{options: options, ready: make(chan struct{})}
	g.state.Store(Waiting)
	return g
}

// Ready returns a channel that is closed once the router may serve.
func (g *Gate) Ready() <-chan struct{} { return g.ready }

// State returns Waiting, Unconfirmed or Confirmed.
func (g *Gate) State() string { return g.state.Load().(string) }

// queryResult is the result of a query to one controller.
type queryResult struct {
	from     ids.Address
	response Response
	err      error
}

// Run queries controllers until the version is confirmed. It returns only when ctx
// has ended, since a supervisor would restart a service that returns earlier.
func (g *Gate) Run(ctx context.Context) {
	defer g.goroutines.Wait()
	maxWait := g.options.MaxWait
	results := make(chan queryResult, maxQueuedResults)
	interval := maxWait / firstIntervalDivisor
	next := g.options.Clock.Now()
	g.waitingSince = next
	for ctx.Err() == nil && !g.evaluate(ctx) {
		if now := g.options.Clock.Now(); !now.Before(next) && (!g.hasReadIndex || g.behind()) {
			g.queryNext(ctx, results)
			next = now.Add(g.options.Jitter(interval))
			interval = min(interval*3/2, maxIntervalFactor*maxWait)
		}
		select {
		case result := <-results:
			g.handleResult(ctx, result)
		case <-g.options.Clock.After(maxWait / checksPerMaxWait):
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
}

// queryNext queries the next controller. Each round queries every controller once,
// in a new random order.
func (g *Gate) queryNext(ctx context.Context, results chan<- queryResult) {
	if len(g.candidates) == 0 {
		g.candidates = append(g.candidates, g.options.Controllers()...)
		random.Shuffle(g.candidates)
	}
	if len(g.candidates) == 0 {
		return
	}
	address := g.candidates[0]
	g.candidates = g.candidates[1:]
	g.goroutines.Go(func() {
		ctx, cancel := g.options.Clock.WithTimeout(ctx, g.options.MaxWait)
		defer cancel()
		resp, err := g.options.Query(ctx, address)
		select {
		case results <- queryResult{from: address, response: resp, err: err}:
		default:
		}
	})
}

// handleResult updates the read index from a response; it ignores failed queries.
func (g *Gate) handleResult(ctx context.Context, result queryResult) {
	if result.err != nil {
		return
	}
	g.hasReadIndex, g.readIndex, g.waitingSince = true, max(g.readIndex, result.response.Version), g.options.Clock.Now()
	g.lastResponder = result.from
	g.fetchIfBehind(ctx)
}

// fetchIfBehind fetches updates from the controller that responded last if the
// applied version is older than the read index.
func (g *Gate) fetchIfBehind(ctx context.Context) {
	if g.behind() {
		source := g.lastResponder
		g.goroutines.Go(func() { g.options.Fetch(ctx, source) })
	}
}

// applied reports whether the router has applied any version.
func (g *Gate) applied() bool {
	select {
	case <-g.options.Applied:
		return true
	default:
		return false
	}
}

// behind reports whether the router has applied a version that is older than the
// read index.
func (g *Gate) behind() bool {
	return g.hasReadIndex && g.applied() && g.options.AppliedVersion() < g.readIndex
}

// evaluate opens the gate if the version is confirmed or MaxWait has passed, and
// reports whether the version is confirmed.
func (g *Gate) evaluate(ctx context.Context) bool {
	if !g.applied() {
		return false
	}
	if !g.wasApplied && g.hasReadIndex {
		// Only now can it be known whether the version is behind: MaxWait counts from
		// here.
		g.waitingSince = g.options.Clock.Now()
		g.fetchIfBehind(ctx)
	}
	g.wasApplied = true
	if g.hasReadIndex && !g.behind() {
		g.setState(Confirmed)
		return true
	}
	if g.options.Clock.Now().Since(g.waitingSince) > g.options.MaxWait {
		g.setState(Unconfirmed)
	}
	return false
}

// stateMessages maps each state that is logged to its log message.
var stateMessages = map[string]string{
	Unconfirmed: "ready with unconfirmed version",
	Confirmed:   "version confirmed",
}

// setState opens the gate in the given state. It logs when the gate opens
// unconfirmed, and when it is confirmed after that.
func (g *Gate) setState(state string) {
	before := g.State()
	if before == state {
		return
	}
	g.state.Store(state)
	if state == Unconfirmed || before == Unconfirmed {
		g.options.Log.Warn().Str("part", "readindex").Str("state", state).Int64("version", int64(g.options.AppliedVersion())).
			Msg(stateMessages[state])
	}
	select {
	case <-g.ready:
	default:
		close(g.ready)
	}
}
