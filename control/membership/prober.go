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
	Kind     int64       `avro:"Kind"`
	Sequence int64       `avro:"Number"`
	From     ids.Address `avro:"From"`
	Target   ids.Address `avro:"Target"`
	Reports  []Member    `avro:"Reports"`
}

// SchemaName names the stored and sent form; it must never change.
func (Datagram) SchemaName() string { return "Datagram_23" }

// The kinds of datagrams.
const (
	kindPing int64 = iota
	kindAck
	kindPingRequest
)

// ProbeConfig is how often a daemon probes and how long it waits.
type ProbeConfig struct {
	Interval         clock.Span
	AckTimeout       clock.Span
	SuspicionTimeout clock.Span
	IndirectProbes   int
}

// Prober probes the members of a table in turn.
type Prober struct {
	Table  *Table
	Config ProbeConfig
	// Send sends bytes to a member's address; what is lost is lost.
	Send func(to ids.Address, body []byte)
	// Guard marks what is sent and counts what is refused; it may be left out.
	Guard *transport.Guard
	// Shuffle orders the members of one turn; tests replace it.
	Shuffle func(members []Member)
	// Spawn runs what asks on another's behalf; tests run it in place.
	Spawn func(ask func())

	mu           sync.Mutex
	lastSequence int64
	pendingAcks  map[int64]chan struct{}
	rotation     map[probeGroup][]Member
}

// Run probes until the scope ends.
func (p *Prober) Run(ctx scope.Scope) {
	last := ctx.Now()
	for ctx.Wait(p.Config.Interval) {
		now := ctx.Now()
		// A daemon whose own clock jumped was frozen: it doubts itself first.
		frozen := now.Since(last) > 3*p.Config.Interval
		last = now
		p.removeExpiredSuspects(frozen)
		for _, circle := range probeGroups {
			if target, found := p.nextTarget(circle); found && !frozen {
				go p.Probe(ctx, target)
			}
		}
	}
}

// Probe asks one member, then asks others to ask it, then suspects it.
func (p *Prober) Probe(ctx scope.Scope, target Member) {
	number, answered := p.registerProbe()
	defer p.unregisterProbe(number)
	begin := ctx.Now()
	p.send(target.Address, Datagram{Kind: kindPing, Sequence: number})
	if awaitAck(ctx, answered, p.Config.AckTimeout) {
		return
	}
	for _, third := range p.indirectProbers(target) {
		p.send(third.Address, Datagram{Kind: kindPingRequest, Sequence: number, Target: target.Address})
	}
	p.send(target.Address, Datagram{Kind: kindPing, Sequence: number})
	if awaitAck(ctx, answered, 2*p.Config.AckTimeout) || ctx.Err() != nil {
		return
	}
	if ctx.Now().Since(begin) > 6*p.Config.AckTimeout {
		return
	}
	p.Table.AdvanceState(target.Address, Suspect)
	for _, mate := range p.prioritizeZone(target) {
		p.spawn(func() { p.Probe(ctx, mate) })
	}
}

// Receive handles a datagram that arrived; one that can't be read is counted and
// dropped.
func (p *Prober) Receive(ctx scope.Scope, sender fmt.Stringer, body []byte) {
	datagram, err := transport.Open[Datagram](p.Guard, body)
	if err != nil {
		p.Guard.Rejected(ctx, sender.String(), err)
		return
	}
	handle := datagramHandlers[datagram.Kind]
	if handle == nil {
		p.Guard.Rejected(ctx, sender.String(), errkind.Errorf(errkind.UnknownCall, "datagram of kind %d", datagram.Kind))
		return
	}
	p.Table.Merge(datagram.Reports)
	handle(p, ctx, datagram)
}

var datagramHandlers = map[int64]func(*Prober, scope.Scope, Datagram){
	kindPing: func(prober *Prober, _ scope.Scope, datagram Datagram) {
		prober.send(datagram.From, Datagram{Kind: kindAck, Sequence: datagram.Sequence})
	},
	kindAck: func(prober *Prober, _ scope.Scope, datagram Datagram) { prober.acknowledge(datagram.Sequence) },
	kindPingRequest: func(prober *Prober, inner scope.Scope, datagram Datagram) {
		prober.spawn(func() {
			number, answered := prober.registerProbe()
			defer prober.unregisterProbe(number)
			prober.send(datagram.Target, Datagram{Kind: kindPing, Sequence: number})
			if awaitAck(inner, answered, prober.Config.AckTimeout) {
				prober.send(datagram.From, Datagram{Kind: kindAck, Sequence: datagram.Sequence})
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

func awaitAck(ctx scope.Scope, answered chan struct{}, span clock.Span) bool {
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

func (p *Prober) send(to ids.Address, datagram Datagram) {
	datagram.From = p.Table.Self().Address
	datagram.Reports = p.Table.selectReports(4, to)
	if body, err := transport.Seal(p.Guard, datagram); err == nil {
		p.Send(to, body)
	}
}

func (p *Prober) registerProbe() (int64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingAcks == nil {
		p.pendingAcks = map[int64]chan struct{}{}
	}
	p.lastSequence++
	p.pendingAcks[p.lastSequence] = make(chan struct{})
	return p.lastSequence, p.pendingAcks[p.lastSequence]
}

func (p *Prober) unregisterProbe(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingAcks, number)
}

func (p *Prober) acknowledge(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered := p.pendingAcks[number]; answered != nil {
		delete(p.pendingAcks, number)
		close(answered)
	}
}

// removeExpiredSuspects removes members whose suspicion was not refuted in time.
func (p *Prober) removeExpiredSuspects(frozen bool) {
	for _, member := range p.Table.Members() {
		if member.State == Suspect && !frozen && p.Table.StateAge(member.Address) > p.Config.SuspicionTimeout {
			p.Table.AdvanceState(member.Address, Removed)
		}
	}
}
