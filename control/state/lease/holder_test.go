package lease

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
)

// countEpochs is a NextEpoch that counts up from the counter.
func countEpochs(counter *int64) func(context.Context, string) (int64, error) {
	return func(context.Context, string) (int64, error) { *counter++; return *counter, nil }
}

// TestHolder_leaseExpiredDuringRenewalGetsNewEpoch has a renewal take so long that
// the lease expires and another daemon holds it in between: what is granted then
// has a new epoch.
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
		t.Fatalf("a renewal in time: epoch %d, held %v", got, held)
	}
	slow = true
	fake.Advance(testTTL / 3)
	holder.TryAcquireOrRenew(ctx)
	if got, _ := holder.Held(fake.Now()); got != 3 {
		t.Fatalf("epoch %d after another had 2", got)
	}
}

// TestHolder_releaseDuringRenewalWins releases the lease while a renewal is in
// flight, and then resigns.
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
		t.Fatal("renewed what was released meanwhile")
	}
	if _, held := holder.Held(fake.Now()); held {
		t.Fatal("held after its release")
	}
	duringRequest = func() {}
	holder.Resign(ctx)
	if holder.TryAcquireOrRenew(ctx) {
		t.Fatal("requested after resigning")
	}
}

// TestHolder_stepDownLeavesLeaseToOthers has a holder stand down: another acquires
// the lease at once, and the one that stood down does not request it before its
// time.
func TestHolder_stepDownLeavesLeaseToOthers(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted")
	}
	c.holders[0].StepDown(c.ctx, testTTL)
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("requested while standing down")
	}
	if !c.holders[1].TryAcquireOrRenew(c.ctx) {
		t.Fatal("the lease is not free")
	}
	c.holders[1].Release(c.ctx)
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("standing down has no end")
	}
}

// TestHolder_ineligibleLeavesLeaseToOthers has a daemon that cannot do yet what the lease
// is for request nothing; once it holds the lease it renews it all the same.
func TestHolder_ineligibleLeavesLeaseToOthers(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	eligible := false
	c.holders[0].options.Eligible = func() bool { return eligible }
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("requested while not eligible")
	}
	eligible = true
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted though eligible")
	}
	eligible = false
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("what is held was not renewed")
	}
	c.holders[0].Release(c.ctx)
	if !c.holders[1].TryAcquireOrRenew(c.ctx) {
		t.Fatal("the lease is not free")
	}
}

// TestHolder_releasesOnlyWhatWasGranted counts the releases of a holder that is
// refused: what no voter granted need not be released.
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
			t.Errorf("outcome %d: released %d times", outcome, released)
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
		t.Errorf("counted %d", got)
	}
}
