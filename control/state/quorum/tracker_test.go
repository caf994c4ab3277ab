package quorum

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
)

func TestMain(m *testing.M) { proptest.Run(m) }

const (
	testMaxAge       = 400 * time.Millisecond
	testRoundTimeout = 200 * time.Millisecond
)

// testVoters returns voters with the addresses 0, 1, 2 and so on.
func testVoters(count int) func() register.VoterSet {
	voters := register.VoterSet{Generation: 1}
	for index := range count {
		voters.Members = append(voters.Members, register.Member{Address: ids.Address(fmt.Sprint(index))})
	}
	return func() register.VoterSet { return voters }
}

// newTestTracker is the tracker of the first of some voters; the others answer
// after their delay, by address, or never where they have none.
func newTestTracker(env scope.Scope, count int, delays *sync.Map) *Tracker {
	return New(Options{Clock: env.Clock, Log: env.Log, Address: "0", Voters: testVoters(count), MaxAge: testMaxAge, Heartbeat: func(ctx context.Context, address ids.Address) (HeartbeatResponse, error) {
		delay, ok := delays.Load(address)
		if !ok {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		if !clock.Wait(ctx, env.Clock, delay.(time.Duration)) {
			return HeartbeatResponse{}, ctx.Err()
		}
		return HeartbeatResponse{Incarnation: 7, Reading: int64(env.Now())}, nil
	}})
}

// awaitPendingHeartbeats lets heartbeats that nobody answers time out.
func awaitPendingHeartbeats() { scope.New(scope.Options{}).Wait(4 * testMaxAge) }

func TestTracker_majorityContactAgeIsOldestOfNewestMajority(t *testing.T) {
	tracker := New(Options{Address: "0", Voters: testVoters(5), MaxAge: testMaxAge})
	now := clock.Instant(10 * time.Second)
	tracker.RecordContact("1", now.Add(-100*time.Millisecond))
	if _, ok := tracker.MajorityContactAge(now); ok {
		t.Fatal("two of five count as a majority")
	}
	tracker.RecordContact("2", now.Add(-300*time.Millisecond))
	tracker.RecordContact("3", now.Add(-900*time.Millisecond))
	if age, ok := tracker.MajorityContactAge(now); !ok || age != 300*time.Millisecond {
		t.Fatalf("age %v, %v", age, ok)
	}
	tracker.RecordContact("2", now.Add(-800*time.Millisecond))
	if age, _ := tracker.MajorityContactAge(now); age != 300*time.Millisecond {
		t.Fatal("an older request made contact older")
	}
	voters := testVoters(3)()
	voters.Members[1].Learner = true
	tracker = New(Options{Address: "0", Voters: func() register.VoterSet { return voters }, MaxAge: testMaxAge})
	tracker.RecordContact("1", now)
	if _, ok := tracker.MajorityContactAge(now); ok {
		t.Fatal("a learner counts")
	}
}

func TestTracker_partitionedControllerDetectsLossInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logtest.Buffer{}
		ctx := scope.New(scope.Options{Log: scope.NewLogger("info", log)})
		delays := &sync.Map{}
		delays.Store(ids.Address("1"), 70*time.Millisecond)
		tracker := newTestTracker(ctx, 3, delays)
		if err := tracker.EnsureQuorum(ctx); err != nil {
			t.Fatal(err)
		}
		guarded, cancel, err := tracker.WithQuorum(ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer cancel()
		delays.Delete(ids.Address("1"))
		partitioned := ctx.Now()
		<-guarded.Done()
		if took := ctx.Now().Since(partitioned); took > 250*time.Millisecond {
			t.Errorf("a command in flight ended %v after the partition", took)
		}
		start := ctx.Now()
		for range 3 {
			if err := tracker.EnsureQuorum(ctx); errkind.KindOf(err) != errkind.NoQuorum {
				t.Errorf("partitioned: %v", err)
			}
		}
		if took := ctx.Now().Since(start); took > 3*testRoundTimeout {
			t.Errorf("three refusals took %v", took)
		}
		delays.Store(ids.Address("2"), 70*time.Millisecond)
		if err := tracker.EnsureQuorum(ctx); err != nil {
			t.Error(err)
		}
		if status := tracker.Status(ctx.Now()); !status.Majority || status.AgeMS != 70 {
			t.Errorf("%+v", status)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 2 {
			t.Errorf("%d lines for one loss and one return:\n%s", lines, log)
		}
		cancel()
		awaitPendingHeartbeats()
	})
}

func TestTracker_runKeepsQuorumWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := scope.New(scope.Options{}).WithCancel()
		delays := &sync.Map{}
		delays.Store(ids.Address("1"), 70*time.Millisecond)
		tracker := newTestTracker(ctx, 3, delays)
		go tracker.Run(ctx)
		ctx.Wait(time.Second)
		for range 50 {
			if ctx.Wait(61 * time.Millisecond); !tracker.HasQuorum(ctx.Now()) {
				age, _ := tracker.MajorityContactAge(ctx.Now())
				t.Fatalf("contact is %v old", age)
			}
		}
		cancel()
		awaitPendingHeartbeats()
	})
}

// TestWithQuorum_checksCallerAfterStall stalls a process: a caller
// that went away in the meantime is noticed before its command is begun.
func TestWithQuorum_checksCallerAfterStall(t *testing.T) {
	fake := clock.NewFake()
	ctx := scope.New(scope.Options{Clock: fake})
	tracker := New(Options{Clock: fake, Log: ctx.Log, Address: "0", Voters: testVoters(1), MaxAge: testMaxAge})
	tracker.lastTick = fake.Now()
	callWithQuorum := func(callerCanceled bool) error {
		caller, cancelCaller := ctx.WithCancel()
		defer cancelCaller()
		result := make(chan error)
		go func() {
			_, cancel, err := tracker.WithQuorum(caller)
			cancel()
			result <- err
		}()
		if callerCanceled {
			cancelCaller()
		}
		for {
			select {
			case err := <-result:
				return err
			default:
				fake.AdvanceToNext()
			}
		}
	}
	if err := callWithQuorum(false); err != nil {
		t.Fatal(err)
	}
	fake.Advance(2 * testMaxAge)
	if !tracker.detectStall(fake.Now()) {
		t.Fatal("the stall was not noticed")
	}
	if err := callWithQuorum(true); errkind.KindOf(err) != errkind.NoQuorum {
		t.Fatalf("begun for a caller that is gone: %v", err)
	}
	if err := callWithQuorum(false); err != nil {
		t.Fatal(err)
	}
}

// TestTracker_remoteDeadlineExpiresBeforeForwarderGivesUp draws clocks that differ by
// any offset and drift a little, and any delays: a command that arrives late is
// refused, and one that arrives early enough is not.
func TestTracker_remoteDeadlineExpiresBeforeForwarderGivesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.IntRange(0, 1<<40).Draw(t, "offset"))
		rate := rapid.IntRange(995, 1000).Draw(t, "receiver's rate in thousandths")
		fake := clock.NewFake()
		ctx := scope.New(scope.Options{Clock: fake})
		remoteNow := func() clock.Instant {
			return clock.Instant(offset) + fake.Now()*clock.Instant(rate)/1000
		}
		receiver := New(Options{Address: "1", Voters: testVoters(3), MaxAge: testMaxAge})
		requestDelay, responseDelay := rapid.IntRange(0, 300).Draw(t, "there"), rapid.IntRange(0, 300).Draw(t, "back")
		forwarder := New(Options{Clock: fake, Log: ctx.Log, Address: "0", Voters: testVoters(3), MaxAge: testMaxAge, Heartbeat: func(context.Context, ids.Address) (HeartbeatResponse, error) {
			fake.Advance(time.Duration(requestDelay) * time.Millisecond)
			resp := receiver.Respond(remoteNow())
			fake.Advance(time.Duration(responseDelay) * time.Millisecond)
			return resp, nil
		}})
		_ = forwarder.heartbeat(ctx, "1")
		fake.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
		giveUp := fake.Now().Add(testMaxAge + time.Duration(requestDelay+responseDelay)*time.Millisecond)
		deadline, err := forwarder.RemoteDeadline(ctx, "1", giveUp)
		if err != nil {
			t.Fatal(err)
		}
		early := fake.Now().Since(giveUp) < -time.Duration(responseDelay)*time.Millisecond-100*time.Millisecond
		if early && !receiver.WithinDeadline(deadline, remoteNow()) {
			t.Fatal("an early command is refused")
		}
		fake.Advance(giveUp.Since(fake.Now()))
		if receiver.WithinDeadline(deadline, remoteNow()) {
			t.Fatal("accepted after the forwarder gave up")
		}
		if restarted := New(Options{Address: "1", Voters: testVoters(3), MaxAge: testMaxAge}); restarted.WithinDeadline(deadline, 0) {
			t.Fatal("accepted by another incarnation")
		}
	})
}
