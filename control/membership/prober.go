package membership

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ProbeConfig says how often a daemon probes and how long it waits.
type ProbeConfig struct {
	// Interval is the time between two probes of one group.
	Interval time.Duration
	// AckTimeout is how long a direct probe waits; an indirect one waits twice
	// as long.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many others are asked to probe a silent member.
	IndirectProbes int
}

// Multiples of ProbeConfig's spans.
const (
	// stalledIntervals is the gap between two rounds, in intervals, above which
	// this daemon must have stalled itself and judges nobody by it.
	stalledIntervals = 3
	// indirectAckTimeouts is how long an indirect probe waits, in ack timeouts.
	indirectAckTimeouts = 2
	// stalledProbeTimeouts is the length of a probe, in ack timeouts, above which this
	// daemon must have stalled in the middle of it.
	stalledProbeTimeouts = 6
)

// Prober detects members of a table that fail. It runs on the table's clock.
type Prober struct {
	Table  *Table
	Config ProbeConfig
	// Send sends a datagram to an address. It does not block and may lose it.
	Send func(to ids.Address, body []byte)
	// Guard tags what is sent and counts what is rejected. It may be nil.
	Guard *transport.Guard

	// shuffle replaces the random order of a rotation in tests; inline has tests
	// run what else runs in a goroutine of its own.
	shuffle func(members []Member)
	inline  bool

	mu           sync.Mutex
	lastSequence int64
	// pendingAcks holds the probes that wait for an ack, by sequence.
	pendingAcks map[int64]chan struct{}
	rotation    map[probeGroup][]Member
}

// Run probes until ctx ends, and returns once all probes that it started have.
func (p *Prober) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	last := p.Table.Now()
	for clock.Wait(ctx, p.Table.clock, p.Config.Interval) {
		now := p.Table.Now()
		stalled := now.Since(last) > stalledIntervals*p.Config.Interval
		last = now
		p.removeExpiredSuspects(stalled)
		for _, group := range probeGroups {
			if target, ok := p.nextTarget(group); ok && !stalled {
				probes.Go(func() { p.Probe(ctx, target) })
			}
		}
	}
}

// Probe pings a member, then asks others to ping it, and suspects it where no ack
// came either way. The other members of a suspected remote zone are probed at
// once; Probe returns after them.
func (p *Prober) Probe(ctx context.Context, target Member) {
	if !p.probeFailed(ctx, target) {
		return
	}
	p.Table.AdvanceState(target.Address, Suspect)
	var probes sync.WaitGroup
	defer probes.Wait()
	for _, peer := range p.prioritizeZone(target) {
		probes.Add(1)
		p.spawn(func() {
			defer probes.Done()
			p.Probe(ctx, peer)
		})
	}
}

// probeFailed reports whether a member answered neither a direct nor an indirect probe.
// A probe that was cut short, or in which this daemon stalled, says nothing.
func (p *Prober) probeFailed(ctx context.Context, target Member) bool {
	sequence, acked := p.registerProbe()
	defer p.unregisterProbe(sequence)
	begin := p.Table.Now()
	p.send(target.Address, Datagram{Kind: kindPing, Sequence: sequence})
	if p.awaitAck(ctx, acked, p.Config.AckTimeout) {
		return false
	}
	for _, helper := range p.indirectProbers(target) {
		p.send(helper.Address, Datagram{Kind: kindPingRequest, Sequence: sequence, Target: target.Address})
	}
	p.send(target.Address, Datagram{Kind: kindPing, Sequence: sequence})
	if p.awaitAck(ctx, acked, indirectAckTimeouts*p.Config.AckTimeout) || ctx.Err() != nil {
		return false
	}
	return p.Table.Now().Since(begin) <= stalledProbeTimeouts*p.Config.AckTimeout
}

func (p *Prober) spawn(task func()) {
	if p.inline {
		task()
		return
	}
	go task()
}

// awaitAck reports whether the ack came before the timeout and before ctx ended.
func (p *Prober) awaitAck(ctx context.Context, acked <-chan struct{}, timeout time.Duration) bool {
	// An ack that is there already counts, whatever else is ready too.
	select {
	case <-acked:
		return true
	default:
	}
	select {
	case <-acked:
		return true
	case <-ctx.Done():
		return false
	case <-p.Table.clock.After(timeout):
		return false
	}
}

// registerProbe returns the sequence of a new probe and the channel that its ack
// closes; the caller unregisters it.
func (p *Prober) registerProbe() (sequence int64, acked <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingAcks == nil {
		p.pendingAcks = map[int64]chan struct{}{}
	}
	p.lastSequence++
	pending := make(chan struct{})
	p.pendingAcks[p.lastSequence] = pending
	return p.lastSequence, pending
}

func (p *Prober) unregisterProbe(sequence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingAcks, sequence)
}

// acknowledge wakes the probe that waits for the ack, if it still does.
func (p *Prober) acknowledge(sequence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if acked := p.pendingAcks[sequence]; acked != nil {
		delete(p.pendingAcks, sequence)
		close(acked)
	}
}

// removeExpiredSuspects removes the members whose suspicion was not refuted in
// time; none where this daemon stalled itself and may have missed a refutation.
func (p *Prober) removeExpiredSuspects(stalled bool) {
	if stalled {
		return
	}
	for _, member := range p.Table.Members() {
		if member.State == Suspect && p.Table.StateAge(member.Address) > p.Config.SuspicionTimeout {
			p.Table.AdvanceState(member.Address, Removed)
		}
	}
}
