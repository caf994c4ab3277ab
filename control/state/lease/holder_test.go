package lease

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
)

// countEpochs returns an Options.NextEpoch that increments the counter.
func countEpochs(counter *int64) func(context.Context, string) (int64, error) {
	return func(context.Context, string) (int64, error) { *counter++; return *counter, nil }
}

// TestHolder_leaseExpiredDuringRenewalGetsNewEpoch delays a renewal until the
// lease has expired and another daemon has held it: the lease that is then
// granted must have a new epoch.
func TestHolder_leaseExpiredDuringRenewalGetsNewEpoch(t *testing.T) {
	fake := clock.NewFake()
	ctx := scope.New(scope.Options{Clock: fake})
	epoch, slow := int64(0), false
	holder := NewHolder(Options{
		Clock: ctx.Clock, Log: ctx.Log, Name: "plan", Address: "a", TTL: testTTL,
		RequestGrant: func(context.Context, Request) Outcome {
			if slow {
				fake.Advance(testTTL * 9 / 10)
				epoch++
			}
			return MajorityGranted
		},
		NextEpoch: countEpochs(&epoch),
	})
	holder.TryAcquireOrRenew(ctx)
	fake.Advance(testTTL / 3)
	holder.TryAcquireOrRenew(ctx)
	if got, held := holder.Held(fake.Now()); !held || got != 1 {
		t.Fatalf("after a renewal in time: epoch %d, held %v, want epoch 1, held", got, held)
	}
	slow = true
	fake.Advance(testTTL / 3)
	holder.TryAcquireOrRenew(ctx)
	if got, _ := holder.Held(fake.Now()); got != 3 {
		t.Fatalf("epoch %d after another daemon held the lease with epoch 2, want 3", got)
	}
}

// TestHolder_releaseDuringRenewalWins releases the lease while a renewal is in
// flight: the response to the renewal must not restore it. After Resign the lease
// must not be requested again.
func TestHolder_releaseDuringRenewalWins(t *testing.T) {
	fake := clock.NewFake()
	ctx := scope.New(scope.Options{Clock: fake})
	var holder *Holder
	duringRequest := func() {}
	epoch := int64(0)
	holder = NewHolder(Options{
		Clock: ctx.Clock, Log: ctx.Log, Name: "plan", Address: "a", TTL: testTTL,
		RequestGrant: func(_ context.Context, req Request) Outcome {
			if req.Release {
				return MinorityGranted
			}
			duringRequest()
			return MajorityGranted
		},
		NextEpoch: countEpochs(&epoch),
	})
	holder.TryAcquireOrRenew(ctx)
	duringRequest = func() { holder.Release(ctx) }
	if holder.TryAcquireOrRenew(ctx) {
		t.Fatal("renewed a lease that was released during the renewal")
	}
	if _, held := holder.Held(fake.Now()); held {
		t.Fatal("the lease is held after its release")
	}
	duringRequest = func() {}
	holder.Resign(ctx)
	if holder.TryAcquireOrRenew(ctx) {
		t.Fatal("acquired after Resign")
	}
}

// TestHolder_stepDownLeavesLeaseToOthers has a holder step down: another daemon
// can acquire the lease immediately, and the one that stepped down requests it
// again only after the given duration.
func TestHolder_stepDownLeavesLeaseToOthers(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted")
	}
	c.holders[0].StepDown(c.ctx, testTTL)
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("acquired before the end of the step-down")
	}
	if !c.holders[1].TryAcquireOrRenew(c.ctx) {
		t.Fatal("another daemon could not acquire the lease")
	}
	c.holders[1].Release(c.ctx)
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted after the end of the step-down")
	}
}

// TestHolder_ineligibleLeavesLeaseToOthers checks that a daemon that is not
// eligible does not request the lease, but renews one that it already holds.
func TestHolder_ineligibleLeavesLeaseToOthers(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	eligible := false
	c.holders[0].options.Eligible = func() bool { return eligible }
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("acquired while not eligible")
	}
	eligible = true
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted though eligible")
	}
	eligible = false
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("a held lease was not renewed while not eligible")
	}
	c.holders[0].Release(c.ctx)
	if !c.holders[1].TryAcquireOrRenew(c.ctx) {
		t.Fatal("another daemon could not acquire the lease")
	}
}

// TestHolder_releasesOnlyWhatWasGranted counts the releases of a holder whose
// request is refused: if no voter granted it, no release is sent.
func TestHolder_releasesOnlyWhatWasGranted(t *testing.T) {
	ctx := scope.New(scope.Options{Clock: clock.NewFake()})
	for outcome, want := range map[Outcome]int{NoneGranted: 0, MinorityGranted: 1} {
		released := 0
		holder := NewHolder(Options{Clock: ctx.Clock, Log: ctx.Log, Name: "plan", Address: "a", TTL: testTTL, RequestGrant: func(_ context.Context, req Request) Outcome {
			if req.Release {
				released++
			}
			return outcome
		}})
		if holder.TryAcquireOrRenew(ctx) || released != want {
			t.Errorf("outcome %d: the holder acquired the lease or sent a wrong number of releases: %d", outcome, released)
		}
	}
}

func TestHolder_nonIncreasingEpochIsReported(t *testing.T) {
	ctx := scope.New(scope.Options{Clock: clock.NewFake()})
	monitor := &invariant.Monitor{Tolerant: true}
	holder := NewHolder(Options{Clock: ctx.Clock, Log: ctx.Log, Name: "census", Monitor: monitor})
	for index, epoch := range []int64{4, 5, 5} {
		holder.recordGrant(int64(index+1), epoch, clock.Instant(time.Second))
	}
	if got := monitor.Count(invariant.EpochRises); got != 1 {
		t.Errorf("%d violations of epoch-rises counted, want 1", got)
	}
}
