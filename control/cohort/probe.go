package cohort

import (
	"fmt"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
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
	Gate *courier.Gate
	// Shuffle orders the members of one turn; tests replace it.
	Shuffle func(members []Member)
	// Spawn runs what asks on another's behalf; tests run it in place.
	Spawn func(ask func())

	lock    sync.Mutex
	number  int64
	waiting map[int64]chan struct{}
	turns   map[circle][]Member
}

// Run probes until the scope ends.
func (prober *Prober) Run(inner scope.Scope) {
	last := inner.Now()
	for inner.Wait(prober.Pace.Every) {
		now := inner.Now()
		// A daemon whose own clock jumped was frozen: it doubts itself first.
		frozen := now.Since(last) > 3*prober.Pace.Every
		last = now
		prober.expire(frozen)
		for _, circle := range circles {
			if target, found := prober.next(circle); found && !frozen {
				go prober.Probe(inner, target)
			}
		}
	}
}

// Probe asks one member, then asks others to ask it, then suspects it.
func (prober *Prober) Probe(inner scope.Scope, target Member) {
	number, answered := prober.open()
	defer prober.close(number)
	begin := inner.Now()
	prober.post(target.Address, Datagram{Kind: kindProbe, Number: number})
	if waitFor(inner, answered, prober.Pace.Answer) {
		return
	}
	for _, third := range prober.thirds(target) {
		prober.post(third.Address, Datagram{Kind: kindSecond, Number: number, Target: target.Address})
	}
	prober.post(target.Address, Datagram{Kind: kindProbe, Number: number})
	if waitFor(inner, answered, 2*prober.Pace.Answer) || inner.Err() != nil {
		return
	}
	if inner.Now().Since(begin) > 6*prober.Pace.Answer {
		return
	}
	prober.Table.Judge(target.Address, Suspect)
	for _, mate := range prober.hurry(target) {
		prober.spawn(func() { prober.Probe(inner, mate) })
	}
}

// Take handles a datagram that arrived; one that can't be read is counted and
// dropped.
func (prober *Prober) Take(inner scope.Scope, sender fmt.Stringer, body []byte) {
	datagram, err := courier.Disclose[Datagram](prober.Gate, body)
	if err != nil {
		prober.Gate.Refused(inner, sender.String(), err)
		return
	}
	handle := handlers[datagram.Kind]
	if handle == nil {
		prober.Gate.Refused(inner, sender.String(), failure.Of(failure.UnknownCall, "datagram of kind %d", datagram.Kind))
		return
	}
	prober.Table.Merge(datagram.Reports)
	handle(prober, inner, datagram)
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

func (prober *Prober) spawn(ask func()) {
	if prober.Spawn != nil {
		prober.Spawn(ask)
		return
	}
	go ask()
}

func waitFor(inner scope.Scope, answered chan struct{}, span clock.Span) bool {
	select {
	case <-answered:
		return true
	default:
	}
	select {
	case <-answered:
		return true
	case <-inner.Done():
		return false
	case <-inner.Clock.After(span):
		return false
	}
}

func (prober *Prober) post(to ids.Address, datagram Datagram) {
	datagram.From = prober.Table.Self().Address
	datagram.Reports = prober.Table.untold(4, to)
	if body, err := courier.Enclose(prober.Gate, datagram); err == nil {
		prober.Send(to, body)
	}
}

func (prober *Prober) open() (int64, chan struct{}) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if prober.waiting == nil {
		prober.waiting = map[int64]chan struct{}{}
	}
	prober.number++
	prober.waiting[prober.number] = make(chan struct{})
	return prober.number, prober.waiting[prober.number]
}

func (prober *Prober) close(number int64) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	delete(prober.waiting, number)
}

func (prober *Prober) wake(number int64) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if answered := prober.waiting[number]; answered != nil {
		delete(prober.waiting, number)
		close(answered)
	}
}

// expire removes members whose suspicion was not refuted in time.
func (prober *Prober) expire(frozen bool) {
	for _, member := range prober.Table.Members() {
		if member.State == Suspect && !frozen && prober.Table.Since(member.Address) > prober.Pace.Suspicion {
			prober.Table.Judge(member.Address, Removed)
		}
	}
}
