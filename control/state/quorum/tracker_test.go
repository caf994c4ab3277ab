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

// newTestTracker returns the tracker of voter 0 of count voters. The others answer
// after their delay, by address, or never if they have none.
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

// awaitPendingHeartbeats waits until unanswered heartbeats have timed out.
func awaitPendingHeartbeats() { scope.New(scope.Options{}).Wait(4 * testMaxAge) }

func TestTracker_majorityContactAgeIsOldestOfNewestMajority(t *testing.T) {
	tracker := New(Options{Address: "0", Voters: testVoters(5), MaxAge: testMaxAge})
	now := clock.Instant(10 * time.Second)
	tracker.RecordContact("1", now.Add(-100*time.Millisecond))
	if _, ok := tracker.MajorityContactAge(now); ok {
		t.Fatal("two of five voters count as a majority")
	}
	tracker.RecordContact("2", now.Add(-300*time.Millisecond))
	tracker.RecordContact("3", now.Add(-900*time.Millisecond))
	if age, ok := tracker.MajorityContactAge(now); !ok || age != 300*time.Millisecond {
		t.Fatalf("contact age %v, %v; want 300ms, true", age, ok)
	}
	tracker.RecordContact("2", now.Add(-800*time.Millisecond))
	if age, _ := tracker.MajorityContactAge(now); age != 300*time.Millisecond {
		t.Fatal("the answer to an older request increased the contact age")
	}
	voters := testVoters(3)()
	voters.Members[1].Learner = true
	tracker = New(Options{Address: "0", Voters: func() register.VoterSet { return voters }, MaxAge: testMaxAge})
	tracker.RecordContact("1", now)
	if _, ok := tracker.MajorityContactAge(now); ok {
		t.Fatal("a learner counts towards the majority")
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
			t.Errorf("a command in flight was canceled %v after the partition, want at most 250ms", took)
		}
		start := ctx.Now()
		for range 3 {
			if err := tracker.EnsureQuorum(ctx); errkind.KindOf(err) != errkind.NoQuorum {
				t.Errorf("EnsureQuorum while partitioned: %v, want an error of kind NoQuorum", err)
			}
		}
		if took := ctx.Now().Since(start); took > 3*testRoundTimeout {
			t.Errorf("three calls while partitioned took %v, want at most three round timeouts", took)
		}
		delays.Store(ids.Address("2"), 70*time.Millisecond)
		if err := tracker.EnsureQuorum(ctx); err != nil {
			t.Error(err)
		}
		if status := tracker.Status(ctx.Now()); !status.Majority || status.AgeMS != 70 {
			t.Errorf("status %+v, want a majority with an age of 70 ms", status)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 2 {
			t.Errorf("%d log lines for one loss and one return of contact, want 2:\n%s", lines, log)
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
				t.Fatalf("no quorum while idle: contact is %v old", age)
			}
		}
		cancel()
		awaitPendingHeartbeats()
	})
}

// TestWithQuorum_checksCallerAfterStall guards against starting a command after a
// stall of the process for a caller that disconnected meanwhile: only the wait after
// the stall lets the process detect that.
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
		t.Fatal("the stall was not detected")
	}
	if err := callWithQuorum(true); errkind.KindOf(err) != errkind.NoQuorum {
		t.Fatalf("WithQuorum for a caller that disconnected: %v, want an error of kind NoQuorum", err)
	}
	if err := callWithQuorum(false); err != nil {
		t.Fatal(err)
	}
}

// TestTracker_remoteDeadlineExpiresBeforeForwarderGivesUp draws the clocks' offset, a
// small drift and the delays of the heartbeat: a command that arrives after the
// forwarder gave up is refused, and one that arrives early enough is not.
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
			t.Fatal("a command was refused long before the forwarder gave up")
		}
		fake.Advance(giveUp.Since(fake.Now()))
		if receiver.WithinDeadline(deadline, remoteNow()) {
			t.Fatal("a command was accepted after the forwarder gave up")
		}
		if restarted := New(Options{Address: "1", Voters: testVoters(3), MaxAge: testMaxAge}); restarted.WithinDeadline(deadline, 0) {
			t.Fatal("a command was accepted by another incarnation of the receiver")
		}
	})
}
