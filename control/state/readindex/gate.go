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

// The states of a Gate, as the status and the log show them.
const (
	// Waiting is closed.
	Waiting = "waiting"
	// Unconfirmed is open, though no majority confirmed a version within MaxWait.
	// The gate goes on querying until it is Confirmed.
	Unconfirmed = "unconfirmed"
	// Confirmed is open: the read index, or a later version, is applied.
	Confirmed = "confirmed"
)

const (
	// checksPerMaxWait is how often per MaxWait the applied version is checked.
	checksPerMaxWait = 32
	// The interval between two queries starts at MaxWait / firstIntervalDivisor and
	// grows by half each time, up to MaxWait * maxIntervalFactor.
	firstIntervalDivisor = 6
	maxIntervalFactor    = 4
	// maxQueuedResults bounds the results that wait for Run; further ones are
	// dropped.
	maxQueuedResults = 64
)

// Options configure a Gate. All but Jitter are required.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Controllers returns the addresses of the controllers that can be queried now.
	Controllers func() []ids.Address
	// Query asks one controller for the read index.
	Query func(ctx context.Context, address ids.Address) (Response, error)
	// Applied is closed once some version is applied here; AppliedSerial then
	// returns which.
	Applied        <-chan struct{}
	AppliedVersion func() ids.Version
	// Fetch exchanges updates with a controller that has a newer version.
	Fetch func(ctx context.Context, address ids.Address)
	// MaxWait is how long the gate stays closed without any confirmation.
	MaxWait time.Duration
	// Jitter randomizes a query interval, so that routers that start together do
	// not query together; by default it returns between 0.5 and 1.5 of it.
	Jitter func(interval time.Duration) time.Duration
}

// Gate keeps a router from serving until its version is confirmed. Ready and
// State may be called from any goroutine; the other state belongs to Run.
type Gate struct {
	options Options
	ready   chan struct{}
	state   atomic.Value

	// goroutines are the goroutines that Run started and awaits.
	goroutines sync.WaitGroup
	// candidates are the controllers that are yet to be queried, in random order.
	candidates []ids.Address
	// readIndex is the newest serial of all responses, where hasReadIndex; source
	// is the controller that responded last.
	readIndex     ids.Version
	hasReadIndex  bool
	lastResponder ids.Address
	// waitingSince is the start of the wait that MaxWait bounds.
	waitingSince clock.Instant
	// wasApplied reports that some version was already applied at the last check.
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

// queryResult is what came of the query to one controller.
type queryResult struct {
	from     ids.Address
	response Response
	err      error
}

// Run queries controllers until the version is confirmed, and returns when ctx
// has ended: a supervisor would start a service that returns earlier again.
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

// queryNext queries the next controller: each once, in random order, then all
// again.
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

func (g *Gate) handleResult(ctx context.Context, result queryResult) {
	if result.err != nil {
		return
	}
	g.hasReadIndex, g.readIndex, g.waitingSince = true, max(g.readIndex, result.response.Version), g.options.Clock.Now()
	g.lastResponder = result.from
	g.fetchIfBehind(ctx)
}

// fetchIfBehind fetches from the controller that responded last.
func (g *Gate) fetchIfBehind(ctx context.Context) {
	if g.behind() {
		source := g.lastResponder
		g.goroutines.Go(func() { g.options.Fetch(ctx, source) })
	}
}

// applied reports whether some version is applied here.
func (g *Gate) applied() bool {
	select {
	case <-g.options.Applied:
		return true
	default:
		return false
	}
}

// behind reports whether the version that is applied here is older than the read
// index.
func (g *Gate) behind() bool {
	return g.hasReadIndex && g.applied() && g.options.AppliedVersion() < g.readIndex
}

// evaluate opens the gate where that is due, and reports whether the version is
// confirmed.
func (g *Gate) evaluate(ctx context.Context) bool {
	if !g.applied() {
		return false
	}
	if !g.wasApplied && g.hasReadIndex {
		// The wait for a version that is behind starts once that is known.
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

var stateMessages = map[string]string{
	Unconfirmed: "ready with unconfirmed version",
	Confirmed:   "version confirmed",
}

// setState opens the gate in the state. It logs only a router that became ready
// unconfirmed, and its confirmation.
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
