package readindex

import (
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
)

// The states of a gate. Unconfirmed is the one exception: no majority could be
// had within the bound, and the router is ready with what it has, as one must
// be that is cut off with its region. It goes on asking until it is confirmed.
const (
	Waiting     = "waiting"
	Unconfirmed = "unconfirmed"
	Confirmed   = "confirmed"
)

// Options are what a gate is made from.
type Options struct {
	// Controllers gives the inner addresses of those that can be asked now.
	Controllers func() []ids.Address
	// Query asks one of them.
	Query func(inner scope.Scope, address ids.Address) (Response, error)
	// Applied is closed once some version is acted on here, Serial gives which.
	Applied       <-chan struct{}
	AppliedSerial func() ids.Serial
	// Fetch gets news from a controller that told of a newer version.
	Fetch func(inner scope.Scope, address ids.Address)
	// MaxWait is how long the gate stays closed without any confirmation.
	MaxWait clock.Span
	// Jitter gives a random part of a span, so that those who start together
	// don't ask together.
	Jitter func(span clock.Span) clock.Span
}

// Gate holds a router back until its version is confirmed.
type Gate struct {
	options    Options
	ready      chan struct{}
	state      atomic.Value
	candidates []ids.Address
	// readIndex is the read index; known says that there is one.
	readIndex    ids.Serial
	hasReadIndex bool
	// source told it last.
	source ids.Address
	// waitingSince is when the wait for a confirmation began.
	waitingSince clock.Instant
	wasApplied   bool
}

// NewGate makes a closed gate.
func NewGate(options Options) *Gate {
	if options.Jitter == nil {
		options.Jitter = func(span clock.Span) clock.Span { return span/2 + random.Duration(span) }
	}
	made := &Gate{options: options, ready: make(chan struct{})}
	made.state.Store(Waiting)
	return made
}

// Ready is closed once the router may serve.
func (g *Gate) Ready() <-chan struct{} { return g.ready }

// State tells how it stands with the confirmation.
func (g *Gate) State() string { return g.state.Load().(string) }

type queryResult struct {
	from     ids.Address
	response Response
	err      error
}

const (
	// checksPerMaxWait is how many looks at the own version are in the bound.
	checksPerMaxWait = 32
	// firstIntervalDivisor is the part of the bound between the first two questions; later
	// ones are half as long again apart each time, up to maxIntervalFactor bounds.
	firstIntervalDivisor = 6
	maxIntervalFactor    = 4
)

// Run asks until the version is confirmed, then waits for the scope's end: a
// part that ends is started again.
func (g *Gate) Run(ctx scope.Scope) {
	bound := g.options.MaxWait
	answers := make(chan queryResult, 64)
	pause := bound / firstIntervalDivisor
	next := ctx.Now()
	g.waitingSince = next
	for ctx.Err() == nil && !g.evaluate(ctx) {
		if now := ctx.Now(); !now.Before(next) && (!g.hasReadIndex || g.behind()) {
			g.queryNext(ctx, answers)
			next = now.Add(g.options.Jitter(pause))
			pause = min(pause*3/2, maxIntervalFactor*bound)
		}
		select {
		case heard := <-answers:
			g.handleResult(ctx, heard)
		case <-ctx.Clock.After(bound / checksPerMaxWait):
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
}

// queryNext asks the next controller: each once, in random order, then all again.
func (g *Gate) queryNext(ctx scope.Scope, answers chan<- queryResult) {
	if len(g.candidates) == 0 {
		g.candidates = append(g.candidates, g.options.Controllers()...)
		random.Shuffle(g.candidates)
	}
	if len(g.candidates) == 0 {
		return
	}
	address := g.candidates[0]
	g.candidates = g.candidates[1:]
	go func() {
		short, release := ctx.WithTimeout(g.options.MaxWait)
		defer release()
		told, err := g.options.Query(short, address)
		select {
		case answers <- queryResult{from: address, response: told, err: err}:
		default:
		}
	}()
}

func (g *Gate) handleResult(ctx scope.Scope, heard queryResult) {
	if heard.err != nil {
		return
	}
	g.hasReadIndex, g.readIndex, g.waitingSince = true, max(g.readIndex, heard.response.Serial), ctx.Now()
	g.source = heard.from
	g.fetchIfBehind(ctx)
}

// fetchIfBehind asks whoever told of a newer version for its news.
func (g *Gate) fetchIfBehind(ctx scope.Scope) {
	if g.behind() {
		go g.options.Fetch(ctx, g.source)
	}
}

// applied tells whether some version is acted on.
func (g *Gate) applied() bool {
	select {
	case <-g.options.Applied:
		return true
	default:
		return false
	}
}

// behind tells whether an older version than the read index is acted on.
func (g *Gate) behind() bool {
	return g.hasReadIndex && g.applied() && g.options.AppliedSerial() < g.readIndex
}

// evaluate opens the gate where that is due; it tells whether all is confirmed.
func (g *Gate) evaluate(ctx scope.Scope) bool {
	if !g.applied() {
		return false
	}
	if !g.wasApplied && g.hasReadIndex {
		// The wait for a version that is behind begins when it is there.
		g.waitingSince = ctx.Now()
		g.fetchIfBehind(ctx)
	}
	g.wasApplied = true
	if g.hasReadIndex && !g.behind() {
		g.setState(ctx, Confirmed)
		return true
	}
	if ctx.Now().Since(g.waitingSince) > g.options.MaxWait {
		g.setState(ctx, Unconfirmed)
	}
	return false
}

var stateMessages = map[string]string{
	Unconfirmed: "ready, though no majority confirmed the version within the bound",
	Confirmed:   "a majority confirmed the version",
}

// setState changes the state, and logs what is not as usual.
func (g *Gate) setState(ctx scope.Scope, state string) {
	before := g.State()
	if before == state {
		return
	}
	g.state.Store(state)
	if state == Unconfirmed || before == Unconfirmed {
		ctx.Log.Warn().Str("part", "readindex").Str("state", state).Int64("version", int64(g.options.AppliedSerial())).
			Msg(stateMessages[state])
	}
	select {
	case <-g.ready:
	default:
		close(g.ready)
	}
}
