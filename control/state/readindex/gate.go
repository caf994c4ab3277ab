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
	// Ask asks one of them.
	Ask func(inner scope.Scope, address ids.Address) (Told, error)
	// First is closed once some version is acted on here, Serial gives which.
	First  <-chan struct{}
	Serial func() ids.Serial
	// Fetch gets news from a controller that told of a newer version.
	Fetch func(inner scope.Scope, address ids.Address)
	// Bound is how long the gate stays closed without any confirmation.
	Bound clock.Span
	// Jitter gives a random part of a span, so that those who start together
	// don't ask together.
	Jitter func(span clock.Span) clock.Span
}

// Gate holds a router back until its version is confirmed.
type Gate struct {
	options Options
	ready   chan struct{}
	state   atomic.Value
	queue   []ids.Address
	// target is the read index; known says that there is one.
	target ids.Serial
	known  bool
	// from told it last.
	from ids.Address
	// since is when the wait for a confirmation began.
	since clock.Instant
	had   bool
}

// NewGate makes a closed gate.
func NewGate(options Options) *Gate {
	if options.Jitter == nil {
		options.Jitter = func(span clock.Span) clock.Span { return span/2 + random.Part(span) }
	}
	made := &Gate{options: options, ready: make(chan struct{})}
	made.state.Store(Waiting)
	return made
}

// Ready is closed once the router may serve.
func (g *Gate) Ready() <-chan struct{} { return g.ready }

// State tells how it stands with the confirmation.
func (g *Gate) State() string { return g.state.Load().(string) }

type answer struct {
	from ids.Address
	told Told
	err  error
}

const (
	// looks is how many looks at the own version are in the bound.
	looks = 32
	// firstPause is the part of the bound between the first two questions; later
	// ones are half as long again apart each time, up to longestPause bounds.
	firstPause   = 6
	longestPause = 4
)

// Run asks until the version is confirmed, then waits for the scope's end: a
// part that ends is started again.
func (g *Gate) Run(ctx scope.Scope) {
	bound := g.options.Bound
	answers := make(chan answer, 64)
	pause := bound / firstPause
	next := ctx.Now()
	g.since = next
	for ctx.Err() == nil && !g.judge(ctx) {
		if now := ctx.Now(); !now.Before(next) && (!g.known || g.behind()) {
			g.ask(ctx, answers)
			next = now.Add(g.options.Jitter(pause))
			pause = min(pause*3/2, longestPause*bound)
		}
		select {
		case heard := <-answers:
			g.take(ctx, heard)
		case <-ctx.Clock.After(bound / looks):
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
}

// ask asks the next controller: each once, in random order, then all again.
func (g *Gate) ask(ctx scope.Scope, answers chan<- answer) {
	if len(g.queue) == 0 {
		g.queue = append(g.queue, g.options.Controllers()...)
		random.Shuffle(g.queue)
	}
	if len(g.queue) == 0 {
		return
	}
	address := g.queue[0]
	g.queue = g.queue[1:]
	go func() {
		short, release := ctx.WithLimit(g.options.Bound)
		defer release()
		told, err := g.options.Ask(short, address)
		select {
		case answers <- answer{from: address, told: told, err: err}:
		default:
		}
	}()
}

func (g *Gate) take(ctx scope.Scope, heard answer) {
	if heard.err != nil {
		return
	}
	g.known, g.target, g.since = true, max(g.target, heard.told.Serial), ctx.Now()
	g.from = heard.from
	g.fetch(ctx)
}

// fetch asks whoever told of a newer version for its news.
func (g *Gate) fetch(ctx scope.Scope) {
	if g.behind() {
		go g.options.Fetch(ctx, g.from)
	}
}

// first tells whether some version is acted on.
func (g *Gate) first() bool {
	select {
	case <-g.options.First:
		return true
	default:
		return false
	}
}

// behind tells whether an older version than the read index is acted on.
func (g *Gate) behind() bool {
	return g.known && g.first() && g.options.Serial() < g.target
}

// judge opens the gate where that is due; it tells whether all is confirmed.
func (g *Gate) judge(ctx scope.Scope) bool {
	if !g.first() {
		return false
	}
	if !g.had && g.known {
		// The wait for a version that is behind begins when it is there.
		g.since = ctx.Now()
		g.fetch(ctx)
	}
	g.had = true
	if g.known && !g.behind() {
		g.open(ctx, Confirmed)
		return true
	}
	if ctx.Now().Since(g.since) > g.options.Bound {
		g.open(ctx, Unconfirmed)
	}
	return false
}

var tidings = map[string]string{
	Unconfirmed: "ready, though no majority confirmed the version within the bound",
	Confirmed:   "a majority confirmed the version",
}

// open changes the state, and logs what is not as usual.
func (g *Gate) open(ctx scope.Scope, state string) {
	before := g.State()
	if before == state {
		return
	}
	g.state.Store(state)
	if state == Unconfirmed || before == Unconfirmed {
		ctx.Log.Warn().Str("part", "readindex").Str("state", state).Int64("version", int64(g.options.Serial())).
			Msg(tidings[state])
	}
	select {
	case <-g.ready:
	default:
		close(g.ready)
	}
}
