package quorum

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const (
	testMaxAge       = 400 * clock.Millisecond
	testRoundTimeout = 200 * clock.Millisecond
)

func testVoters(count int) func() register.VoterSet {
	made := register.VoterSet{Generation: 1}
	for index := range count {
		made.Members = append(made.Members, register.Member{Address: ids.Address(fmt.Sprint(index))})
	}
	return func() register.VoterSet { return made }
}

// newTestTracker is a contact of the first of some voters; the others answer after a
// delay each, or never.
func newTestTracker(count int, delays *sync.Map) *Tracker {
	return New(Options{Address: "0", Voters: testVoters(count), MaxAge: testMaxAge, Heartbeat: func(ctx scope.Scope, address ids.Address) (HeartbeatResponse, error) {
		delay, answers := delays.Load(address)
		if !answers {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		if !ctx.Wait(delay.(clock.Span)) {
			return HeartbeatResponse{}, ctx.Err()
		}
		return HeartbeatResponse{Incarnation: 7, Reading: int64(ctx.Now())}, nil
	}})
}

// drainPending lets messages that nobody answers run out.
func drainPending() { scope.New(scope.Options{}).Wait(4 * testMaxAge) }

func TestTracker_majorityAgeIsOldestOfNewestMajority(t *testing.T) {
	made := New(Options{Address: "0", Voters: testVoters(5), MaxAge: testMaxAge})
	now := clock.Instant(10 * clock.Second)
	made.RecordContact("1", now.Add(-100*clock.Millisecond))
	if _, known := made.MajorityAge(now); known {
		t.Fatal("two of five count as a majority")
	}
	made.RecordContact("2", now.Add(-300*clock.Millisecond))
	made.RecordContact("3", now.Add(-900*clock.Millisecond))
	if age, known := made.MajorityAge(now); !known || age != 300*clock.Millisecond {
		t.Fatalf("%v %v", age, known)
	}
	made.RecordContact("2", now.Add(-800*clock.Millisecond))
	if age, _ := made.MajorityAge(now); age != 300*clock.Millisecond {
		t.Fatal("an older question made contact older")
	}
	learning := testVoters(3)()
	learning.Members[1].Learner = true
	made = New(Options{Address: "0", Voters: func() register.VoterSet { return learning }, MaxAge: testMaxAge})
	made.RecordContact("1", now)
	if _, known := made.MajorityAge(now); known {
		t.Fatal("a seat that is learning counts")
	}
}

func TestTracker_partitionedControllerDetectsLossInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logtest.Buffer{}
		top := scope.New(scope.Options{Log: scope.NewLogger("info", log)})
		delays := &sync.Map{}
		delays.Store(ids.Address("1"), 70*clock.Millisecond)
		made := newTestTracker(3, delays)
		if err := made.EnsureQuorum(top); err != nil {
			t.Fatal(err)
		}
		guarded, end, err := made.WithQuorum(top)
		if err != nil {
			t.Fatal(err)
		}
		defer end()
		delays.Delete(ids.Address("1"))
		cut := top.Now()
		<-guarded.Done()
		if took := top.Now().Since(cut); took > 250*clock.Millisecond {
			t.Errorf("an order under way ended %v after the cut", took)
		}
		begin := top.Now()
		for range 3 {
			if err := made.EnsureQuorum(top); errkind.KindOf(err) != errkind.NoQuorum {
				t.Errorf("cut off: %v", err)
			}
		}
		if took := top.Now().Since(begin); took > 3*testRoundTimeout {
			t.Errorf("three refusals took %v", took)
		}
		delays.Store(ids.Address("2"), 70*clock.Millisecond)
		if err := made.EnsureQuorum(top); err != nil {
			t.Error(err)
		}
		if told := made.Status(top.Now()); !told.Majority || told.AgeMS != 70 {
			t.Errorf("%+v", told)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 2 {
			t.Errorf("%d lines for one loss and one return:\n%s", lines, log)
		}
		end()
		drainPending()
	})
}

func TestTracker_runKeepsQuorumWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		top, end := scope.New(scope.Options{}).WithCancel()
		delays := &sync.Map{}
		delays.Store(ids.Address("1"), 70*clock.Millisecond)
		made := newTestTracker(3, delays)
		go made.Run(top)
		top.Wait(clock.Second)
		for range 50 {
			if top.Wait(61 * clock.Millisecond); !made.HasQuorum(top.Now()) {
				age, _ := made.MajorityAge(top.Now())
				t.Fatalf("contact is %v old", age)
			}
		}
		end()
		drainPending()
	})
}

// TestTracker_stalledProcessNoticesGoneCallerFirst has a process stand still: a
// caller that went in the meantime is noticed before its order is begun.
func TestTracker_stalledProcessNoticesGoneCallerFirst(t *testing.T) {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	made := New(Options{Address: "0", Voters: testVoters(1), MaxAge: testMaxAge})
	made.lastTick = machine.Now()
	guard := func(goes bool) error {
		caller, gone := top.WithCancel()
		defer gone()
		told := make(chan error)
		go func() {
			_, end, err := made.WithQuorum(caller)
			end()
			told <- err
		}()
		if goes {
			gone()
		}
		for {
			select {
			case err := <-told:
				return err
			default:
				machine.AdvanceToNext()
			}
		}
	}
	if err := guard(false); err != nil {
		t.Fatal(err)
	}
	machine.Advance(2 * testMaxAge)
	if !made.recentlyStalled(machine.Now()) {
		t.Fatal("not found to have stood still")
	}
	if err := guard(true); errkind.KindOf(err) != errkind.NoQuorum {
		t.Fatalf("begun for a caller that is gone: %v", err)
	}
	if err := guard(false); err != nil {
		t.Fatal(err)
	}
}

// TestTracker_remoteDeadlineNeverOutlivesForwarder has clocks differ by anything and run a little
// apart, answers and orders take any time: whoever gets the order late finds
// it closed, and one that was quick finds it open.
func TestTracker_remoteDeadlineNeverOutlivesForwarder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := clock.Span(rapid.IntRange(0, 1<<40).Draw(t, "offset"))
		pace := rapid.IntRange(995, 1000).Draw(t, "receiver's pace in thousandths")
		machine := clock.NewFake()
		top := scope.New(scope.Options{Clock: machine})
		theirs := func() clock.Instant {
			return clock.Instant(offset) + machine.Now()*clock.Instant(pace)/1000
		}
		receiver := New(Options{Address: "1", Voters: testVoters(3), MaxAge: testMaxAge})
		there, back := rapid.IntRange(0, 300).Draw(t, "there"), rapid.IntRange(0, 300).Draw(t, "back")
		passer := New(Options{Address: "0", Voters: testVoters(3), MaxAge: testMaxAge, Heartbeat: func(scope.Scope, ids.Address) (HeartbeatResponse, error) {
			machine.Advance(clock.Span(there) * clock.Millisecond)
			told := receiver.Respond(theirs())
			machine.Advance(clock.Span(back) * clock.Millisecond)
			return told, nil
		}})
		_ = passer.heartbeat(top, "1")
		machine.Advance(clock.Span(rapid.IntRange(0, 3000).Draw(t, "age")) * clock.Millisecond)
		giveUp := machine.Now().Add(testMaxAge + clock.Span(there+back)*clock.Millisecond)
		stamp, err := passer.RemoteDeadline(top, "1", giveUp)
		if err != nil {
			t.Fatal(err)
		}
		if quick := machine.Now().Since(giveUp) < -clock.Span(back)*clock.Millisecond-100*clock.Millisecond; quick && !receiver.WithinDeadline(stamp, theirs()) {
			t.Fatal("a quick order finds itself closed")
		}
		machine.Advance(giveUp.Since(machine.Now()))
		if receiver.WithinDeadline(stamp, theirs()) {
			t.Fatal("open after its passer gave up")
		}
		if again := New(Options{Address: "1", Voters: testVoters(3), MaxAge: testMaxAge}); again.WithinDeadline(stamp, 0) {
			t.Fatal("open in another life")
		}
	})
}
