package membership

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ProbeConfig holds the intervals and timeouts of probes.
type ProbeConfig struct {
	// Interval is the time between two probes within one probe group.
	Interval time.Duration
	// AckTimeout is how long a direct probe waits for an ack. An indirect probe
	// waits twice as long.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the suspicion.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of other members that are asked to probe a member
	// that did not answer directly.
	IndirectProbes int
}

// Multiples of the durations in ProbeConfig.
const (
	// stalledIntervals is the gap between two probe rounds, in intervals, above which
	// this daemon must have stalled; it then neither probes nor removes members in that
	// round.
	stalledIntervals = 3
	// indirectAckTimeouts is how long an indirect probe waits for an ack, in ack
	// timeouts.
	indirectAckTimeouts = 2
	// stalledProbeTimeouts is the duration of a probe, in ack timeouts, above which
	// this daemon must have stalled during it.
	stalledProbeTimeouts = 6
)

// Prober detects failed members of a table. It uses the table's clock.
type Prober struct {
	Table  *Table
	Config ProbeConfig
	// Send sends a datagram to an address. It must not block and may lose the
	// datagram.
	Send func(to ids.Address, body []byte)
	// Guard seals outgoing datagrams and counts rejected incoming ones. It may be
	// nil.
	Guard *transport.Guard

	// shuffle, if set, replaces the random order of a rotation in tests. inline makes
	// spawn run its task synchronously in tests.
	shuffle func(members []Member)
	inline  bool

	mu           sync.Mutex
	lastSequence int64
	// pendingAcks holds the channels of the probes that wait for an ack, by sequence
	// number.
	pendingAcks map[int64]chan struct{}
	rotation    map[probeGroup][]Member
}

// Run probes the members of each group in turn and removes expired suspects until ctx
// ends. It returns once all probes that it started have ended.
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

// Probe pings a member directly, then through other members, and marks it as Suspect
// if no ack arrives either way. If the member belongs to another zone, Probe then probes
// the other live backbone members of that zone immediately and returns after those probes.
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

// probeFailed reports whether a member answered neither a direct nor an indirect
// probe. A probe that ctx ended, or during which this daemon stalled, does not count as
// failed.
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

// awaitAck reports whether the ack arrived before the timeout and before ctx ended.
func (p *Prober) awaitAck(ctx context.Context, acked <-chan struct{}, timeout time.Duration) bool {
	// select picks at random among ready cases: an ack that has already arrived must
	// win over an expired timeout or an ended context.
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

// registerProbe returns the sequence number of a new probe and the channel that is
// closed when its ack arrives. The caller must call unregisterProbe.
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

// acknowledge wakes the probe with that sequence number if it still waits for its ack.
func (p *Prober) acknowledge(sequence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if acked := p.pendingAcks[sequence]; acked != nil {
		delete(p.pendingAcks, sequence)
		close(acked)
	}
}

// removeExpiredSuspects marks members as Removed that did not refute a suspicion in
// time. It does nothing if this daemon stalled, since it may then have missed a
// refutation.
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
