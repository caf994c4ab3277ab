package quorum

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// testLink is a contact of the first of three on a bound of 375 ms; a question takes
// what the line's delay says, or is never answered.
type testLink struct {
	tracker     *Tracker
	partitioned atomic.Bool
	heartbeats  atomic.Int64
	delay       func(number int64) clock.Span
}

func newTestLink(delay func(number int64) clock.Span) *testLink {
	made := &testLink{delay: delay}
	made.tracker = New(Options{Address: "0", Voters: testVoters(3), MaxAge: 375 * clock.Millisecond, Heartbeat: func(ctx scope.Scope, address ids.Address) (HeartbeatResponse, error) {
		if address == "2" {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		if cut := made.partitioned.Load(); cut || !ctx.Wait(made.delay(made.heartbeats.Add(1))) || made.partitioned.Load() {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		return HeartbeatResponse{Incarnation: 7, Reading: int64(ctx.Now())}, nil
	}})
	return made
}

func constantDelay(span clock.Span) func(int64) clock.Span {
	return func(int64) clock.Span { return span }
}

// TestTracker_guardedContextEndsSoonAfterPartition cuts the line before an order that
// is begun on contact still fresh, with it, and at any moment of it.
func TestTracker_guardedContextEndsSoonAfterPartition(t *testing.T) {
	for _, trip := range []clock.Span{clock.Millisecond, 35 * clock.Millisecond, 70 * clock.Millisecond, 80 * clock.Millisecond} {
		for before := -200 * clock.Millisecond; before < 600*clock.Millisecond; before += 37 * clock.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				top, end := scope.New(scope.Options{}).WithCancel()
				line := newTestLink(constantDelay(trip))
				go line.tracker.Run(top)
				top.Wait(clock.Second)
				line.partitioned.Store(before < 0)
				top.Wait(max(0, -before))
				begin := top.Now()
				guarded, release, err := line.tracker.WithQuorum(top)
				if err == nil {
					guarded.Wait(max(0, before))
					if guarded.Err() != nil {
						t.Errorf("trip %v: an order ended before the cut", trip)
					}
					line.partitioned.Store(true)
					begin = max(begin, top.Now())
					<-guarded.Done()
				}
				if took := top.Now().Since(begin); took > 250*clock.Millisecond {
					t.Errorf("trip %v, cut %v after the beginning: ended after %v", trip, before, took)
				}
				for range 2 {
					if _, _, err := line.tracker.WithQuorum(top); errkind.KindOf(err) != errkind.NoQuorum || line.tracker.Status(top.Now()).Majority {
						t.Errorf("begun on contact that fell silent: %v", err)
					}
				}
				release()
				end()
				drainPending()
			})
		}
	}
}

// TestTracker_packetLossAndHighLatencyKeepQuorum has orders go on for two seconds each on lines
// that lose packets, which come 200 ms and more late, that are far, and that
// are choked for good.
func TestTracker_packetLossAndHighLatencyKeepQuorum(t *testing.T) {
	const trip = 70 * clock.Millisecond
	cases := map[string]func(int64) clock.Span{
		"each second lost": func(number int64) clock.Span { return trip + 270*clock.Millisecond*clock.Span(number%2) },
		"two of three lost": func(number int64) clock.Span {
			return trip + 270*clock.Millisecond*clock.Span(min(1, number%3))
		},
		"far":     constantDelay(180 * clock.Millisecond),
		"further": constantDelay(300 * clock.Millisecond),
		"choked from then on": func(number int64) clock.Span {
			return trip + min(150*clock.Millisecond, clock.Span(max(0, number-8))*10*clock.Millisecond)
		},
		"swaying": func(number int64) clock.Span { return trip + clock.Span(number*37%101)*clock.Millisecond },
	}
	for name, delay := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				top, end := scope.New(scope.Options{}).WithCancel()
				line := newTestLink(delay)
				go line.tracker.Run(top)
				top.Wait(2 * clock.Second)
				for order := range 5 {
					guarded, release, err := line.tracker.WithQuorum(top)
					if err != nil {
						t.Fatal(err)
					}
					if begin := top.Now(); !guarded.Wait(2 * clock.Second) {
						t.Errorf("order %d ended after %v, at a round trip of %v", order, top.Now().Since(begin), line.tracker.majorityRTT())
					}
					release()
					top.Wait(300 * clock.Millisecond)
				}
				end()
				drainPending()
			})
		})
	}
}

// TestTracker_heartbeatRateIsBounded counts questions: the pace is kept by all
// orders together, and ends with them.
func TestTracker_heartbeatRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		top, end := scope.New(scope.Options{}).WithCancel()
		line := newTestLink(constantDelay(70 * clock.Millisecond))
		go line.tracker.Run(top)
		count := func() int64 {
			before := line.heartbeats.Load()
			top.Wait(6 * clock.Second)
			return line.heartbeats.Load() - before
		}
		top.Wait(clock.Second)
		calm := count()
		var releases []func()
		for range 40 {
			_, release, _ := line.tracker.WithQuorum(top)
			releases = append(releases, release)
		}
		busy := count()
		for _, release := range releases {
			release()
		}
		top.Wait(clock.Second)
		after := count()
		t.Logf("questions to a voter in 6 s: %d in calm, %d under orders, %d after", calm, busy, after)
		if busy > 130 || calm > 25 || after > calm+1 {
			t.Errorf("%d in calm, %d under orders, %d after", calm, busy, after)
		}
		end()
		drainPending()
	})
}

// jumpingClock is a clock that can leap ahead, as all seem to that a process which
// stood still looks at.
type jumpingClock struct {
	clock.Clock
	mu     sync.Mutex
	offset clock.Span
}

// Now is ahead by what was leapt.
func (j *jumpingClock) Now() clock.Instant {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Clock.Now().Add(j.offset)
}

// TestTracker_stalledProcessReadsPendingAnswersFirst has a process stand still in an order:
// contact is as old as that, but whoever answers still shows it.
func TestTracker_stalledProcessReadsPendingAnswersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &jumpingClock{Clock: scope.New(scope.Options{}).Clock}
		top := scope.New(scope.Options{Clock: machine})
		line := newTestLink(constantDelay(70 * clock.Millisecond))
		guarded, release, err := line.tracker.WithQuorum(top)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			guarded.Wait(500 * clock.Millisecond)
			machine.mu.Lock()
			machine.offset += clock.Second
			machine.mu.Unlock()
		}
		if !guarded.Wait(clock.Second) {
			t.Error("an order ended though its process alone stood still")
		}
		line.partitioned.Store(true)
		begin := top.Now()
		if <-guarded.Done(); top.Now().Since(begin) > 250*clock.Millisecond {
			t.Errorf("ended %v after a cut", top.Now().Since(begin))
		}
		release()
		drainPending()
	})
}
