package membership

import (
	"fmt"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// Datagram is what daemons send each other to learn who is there.
type Datagram struct {
	Kind    int64       `avro:"Kind"`
	Number  int64       `avro:"Number"`
	From    ids.Address `avro:"From"`
	Target  ids.Address `avro:"Target"`
	Reports []Member    `avro:"Reports"`
}

// SchemaName names the stored and sent form; it must never change.
func (Datagram) SchemaName() string { return "Datagram_23" }

// The kinds of datagrams.
const (
	kindProbe int64 = iota
	kindAnswer
	kindSecond
)

// Pace is how often a daemon probes and how long it waits.
type Pace struct {
	Every     clock.Span
	Answer    clock.Span
	Suspicion clock.Span
	Seconds   int
}

// Prober probes the members of a table in turn.
type Prober struct {
	Table *Table
	Pace  Pace
	// Send sends bytes to a member's address; what is lost is lost.
	Send func(to ids.Address, body []byte)
	// Gate marks what is sent and counts what is refused; it may be left out.
	Gate *transport.Gate
	// Shuffle orders the members of one turn; tests replace it.
	Shuffle func(members []Member)
	// Spawn runs what asks on another's behalf; tests run it in place.
	Spawn func(ask func())

	mu      sync.Mutex
	number  int64
	waiting map[int64]chan struct{}
	turns   map[circle][]Member
}

// Run probes until the scope ends.
func (p *Prober) Run(ctx scope.Scope) {
	last := ctx.Now()
	for ctx.Wait(p.Pace.Every) {
		now := ctx.Now()
		// A daemon whose own clock jumped was frozen: it doubts itself first.
		frozen := now.Since(last) > 3*p.Pace.Every
		last = now
		p.expire(frozen)
		for _, circle := range circles {
			if target, found := p.next(circle); found && !frozen {
				go p.Probe(ctx, target)
			}
		}
	}
}

// Probe asks one member, then asks others to ask it, then suspects it.
func (p *Prober) Probe(ctx scope.Scope, target Member) {
	number, answered := p.open()
	defer p.close(number)
	begin := ctx.Now()
	p.post(target.Address, Datagram{Kind: kindProbe, Number: number})
	if waitFor(ctx, answered, p.Pace.Answer) {
		return
	}
	for _, third := range p.thirds(target) {
		p.post(third.Address, Datagram{Kind: kindSecond, Number: number, Target: target.Address})
	}
	p.post(target.Address, Datagram{Kind: kindProbe, Number: number})
	if waitFor(ctx, answered, 2*p.Pace.Answer) || ctx.Err() != nil {
		return
	}
	if ctx.Now().Since(begin) > 6*p.Pace.Answer {
		return
	}
	p.Table.Judge(target.Address, Suspect)
	for _, mate := range p.hurry(target) {
		p.spawn(func() { p.Probe(ctx, mate) })
	}
}

// Take handles a datagram that arrived; one that can't be read is counted and
// dropped.
func (p *Prober) Take(ctx scope.Scope, sender fmt.Stringer, body []byte) {
	datagram, err := transport.Disclose[Datagram](p.Gate, body)
	if err != nil {
		p.Gate.Refused(ctx, sender.String(), err)
		return
	}
	handle := handlers[datagram.Kind]
	if handle == nil {
		p.Gate.Refused(ctx, sender.String(), errkind.Of(errkind.UnknownCall, "datagram of kind %d", datagram.Kind))
		return
	}
	p.Table.Merge(datagram.Reports)
	handle(p, ctx, datagram)
}

var handlers = map[int64]func(*Prober, scope.Scope, Datagram){
	kindProbe: func(prober *Prober, _ scope.Scope, datagram Datagram) {
		prober.post(datagram.From, Datagram{Kind: kindAnswer, Number: datagram.Number})
	},
	kindAnswer: func(prober *Prober, _ scope.Scope, datagram Datagram) { prober.wake(datagram.Number) },
	kindSecond: func(prober *Prober, inner scope.Scope, datagram Datagram) {
		prober.spawn(func() {
			number, answered := prober.open()
			defer prober.close(number)
			prober.post(datagram.Target, Datagram{Kind: kindProbe, Number: number})
			if waitFor(inner, answered, prober.Pace.Answer) {
				prober.post(datagram.From, Datagram{Kind: kindAnswer, Number: datagram.Number})
			}
		})
	},
}

func (p *Prober) spawn(ask func()) {
	if p.Spawn != nil {
		p.Spawn(ask)
		return
	}
	go ask()
}

func waitFor(ctx scope.Scope, answered chan struct{}, span clock.Span) bool {
	select {
	case <-answered:
		return true
	default:
	}
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	case <-ctx.Clock.After(span):
		return false
	}
}

func (p *Prober) post(to ids.Address, datagram Datagram) {
	datagram.From = p.Table.Self().Address
	datagram.Reports = p.Table.untold(4, to)
	if body, err := transport.Enclose(p.Gate, datagram); err == nil {
		p.Send(to, body)
	}
}

func (p *Prober) open() (int64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[int64]chan struct{}{}
	}
	p.number++
	p.waiting[p.number] = make(chan struct{})
	return p.number, p.waiting[p.number]
}

func (p *Prober) close(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

func (p *Prober) wake(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered := p.waiting[number]; answered != nil {
		delete(p.waiting, number)
		close(answered)
	}
}

// expire removes members whose suspicion was not refuted in time.
func (p *Prober) expire(frozen bool) {
	for _, member := range p.Table.Members() {
		if member.State == Suspect && !frozen && p.Table.Since(member.Address) > p.Pace.Suspicion {
			p.Table.Judge(member.Address, Removed)
		}
	}
}
