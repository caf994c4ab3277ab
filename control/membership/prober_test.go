package membership

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// tickClock is a clock that stands still. After(interval) fires when the test sends a
// tick; any other After never fires.
type tickClock struct {
	clock.Clock
	interval time.Duration
	ticks    chan struct{}
}

// After implements clock.Clock.
func (t tickClock) After(span time.Duration) <-chan struct{} {
	if span == t.interval {
		return t.ticks
	}
	return nil
}

// TestProberRun_waitsForProbes cancels Run while probes wait for acks that never arrive:
// no probe may be left when Run has returned, and a canceled probe must not suspect its
// target.
func TestProberRun_waitsForProbes(t *testing.T) {
	source := tickClock{Clock: clock.NewFake(), interval: time.Second, ticks: make(chan struct{})}
	table := NewTable(source, Member{Address: "a:1", Zone: "east", Relay: true})
	table.Merge([]Member{
		{Address: "b:1", Zone: "east", Incarnation: 1},
		{Address: "c:1", Zone: "west", Incarnation: 1, Relay: true},
	})
	pinged := make(chan ids.Address, 2)
	prober := &Prober{
		Table: table, Config: ProbeConfig{Interval: source.interval, AckTimeout: 2 * source.interval},
		Send: func(to ids.Address, _ []byte) { pinged <- to },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		prober.Run(ctx)
	}()
	source.ticks <- struct{}{}
	for range 2 {
		<-pinged
	}
	cancel()
	<-done
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if len(prober.pendingAcks) != 0 {
		t.Errorf("%d probes outlive Run", len(prober.pendingAcks))
	}
	for _, address := range []ids.Address{"b:1", "c:1"} {
		if member, _ := table.Find(address); member.State != Alive {
			t.Errorf("%s is in state %d after a canceled probe, want Alive", address, member.State)
		}
	}
}
