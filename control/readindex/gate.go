package readindex

import (
	"sync/atomic"

	"onyxwell/base/chance"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
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
		options.Jitter = func(span clock.Span) clock.Span { return span/2 + chance.Part(span) }
	}
	made := &Gate{options: options, ready: make(chan struct{})}
	made.state.Store(Waiting)
	return made
}

// Ready is closed once the router may serve.
func (gate *Gate) Ready() <-chan struct{} { return gate.ready }

// State tells how it stands with the confirmation.
func (gate *Gate) State() string { return gate.state.Load().(string) }

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
func (gate *Gate) Run(inner scope.Scope) {
	bound := gate.options.Bound
	answers := make(chan answer, 64)
	pause := bound / firstPause
	next := inner.Now()
	gate.since = next
	for inner.Err() == nil && !gate.judge(inner) {
		if now := inner.Now(); !now.Before(next) && (!gate.known || gate.behind()) {
			gate.ask(inner, answers)
			next = now.Add(gate.options.Jitter(pause))
			pause = min(pause*3/2, longestPause*bound)
		}
		select {
		case heard := <-answers:
			gate.take(inner, heard)
		case <-inner.Clock.After(bound / looks):
		case <-inner.Done():
		}
	}
	<-inner.Done()
}

// ask asks the next controller: each once, in random order, then all again.
func (gate *Gate) ask(inner scope.Scope, answers chan<- answer) {
	if len(gate.queue) == 0 {
		gate.queue = append(gate.queue, gate.options.Controllers()...)
		chance.Shuffle(gate.queue)
	}
	if len(gate.queue) == 0 {
		return
	}
	address := gate.queue[0]
	gate.queue = gate.queue[1:]
	go func() {
		short, release := inner.WithLimit(gate.options.Bound)
		defer release()
		told, err := gate.options.Ask(short, address)
		select {
		case answers <- answer{from: address, told: told, err: err}:
		default:
		}
	}()
}

func (gate *Gate) take(inner scope.Scope, heard answer) {
	if heard.err != nil {
		return
	}
	gate.known, gate.target, gate.since = true, max(gate.target, heard.told.Serial), inner.Now()
	gate.from = heard.from
	gate.fetch(inner)
}

// fetch asks whoever told of a newer version for its news.
func (gate *Gate) fetch(inner scope.Scope) {
	if gate.behind() {
		go gate.options.Fetch(inner, gate.from)
	}
}

// first tells whether some version is acted on.
func (gate *Gate) first() bool {
	select {
	case <-gate.options.First:
		return true
	default:
		return false
	}
}

// behind tells whether an older version than the read index is acted on.
func (gate *Gate) behind() bool {
	return gate.known && gate.first() && gate.options.Serial() < gate.target
}

// judge opens the gate where that is due; it tells whether all is confirmed.
func (gate *Gate) judge(inner scope.Scope) bool {
	if !gate.first() {
		return false
	}
	if !gate.had && gate.known {
		// The wait for a version that is behind begins when it is there.
		gate.since = inner.Now()
		gate.fetch(inner)
	}
	gate.had = true
	if gate.known && !gate.behind() {
		gate.open(inner, Confirmed)
		return true
	}
	if inner.Now().Since(gate.since) > gate.options.Bound {
		gate.open(inner, Unconfirmed)
	}
	return false
}

var tidings = map[string]string{
	Unconfirmed: "ready, though no majority confirmed the version within the bound",
	Confirmed:   "a majority confirmed the version",
}

// open changes the state, and logs what is not as usual.
func (gate *Gate) open(inner scope.Scope, state string) {
	before := gate.State()
	if before == state {
		return
	}
	gate.state.Store(state)
	if state == Unconfirmed || before == Unconfirmed {
		inner.Log.Warn().Str("part", "readindex").Str("state", state).Int64("version", int64(gate.options.Serial())).
			Msg(tidings[state])
	}
	select {
	case <-gate.ready:
	default:
		close(gate.ready)
	}
}
