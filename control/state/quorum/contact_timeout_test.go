package quorum

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// testLink is a tracker of the first of three voters, with a MaxAge of 375 ms, and
// its link to the second; the third never answers.
type testLink struct {
	tracker     *Tracker
	partitioned atomic.Bool
	heartbeats  atomic.Int64
	// delay is the round-trip time of the heartbeat of that number.
	delay func(number int64) time.Duration
}

func newTestLink(env scope.Scope, delay func(number int64) time.Duration) *testLink {
	link := &testLink{delay: delay}
	link.tracker = New(Options{Clock: env.Clock, Log: env.Log, Address: "0", Voters: testVoters(3), MaxAge: 375 * time.Millisecond, Heartbeat: func(ctx context.Context, address ids.Address) (HeartbeatResponse, error) {
		if address == "2" {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		if link.partitioned.Load() || !clock.Wait(ctx, env.Clock, link.delay(link.heartbeats.Add(1))) || link.partitioned.Load() {
			<-ctx.Done()
			return HeartbeatResponse{}, ctx.Err()
		}
		return HeartbeatResponse{Incarnation: 7, Reading: int64(env.Now())}, nil
	}})
	return link
}

func constantDelay(delay time.Duration) func(int64) time.Duration {
	return func(int64) time.Duration { return delay }
}

// TestWithQuorum_contextEndsSoonAfterPartition partitions the link before a
// command that is begun on contact still fresh, with its start, and at any moment
// of it.
func TestWithQuorum_contextEndsSoonAfterPartition(t *testing.T) {
	for _, rtt := range []time.Duration{time.Millisecond, 35 * time.Millisecond, 70 * time.Millisecond, 80 * time.Millisecond} {
		for after := -200 * time.Millisecond; after < 600*time.Millisecond; after += 37 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := scope.New(scope.Options{}).WithCancel()
				link := newTestLink(ctx, constantDelay(rtt))
				go link.tracker.Run(ctx)
				ctx.Wait(time.Second)
				link.partitioned.Store(after < 0)
				ctx.Wait(max(0, -after))
				start := ctx.Now()
				guarded, release, err := link.tracker.WithQuorum(ctx)
				if err == nil {
					clock.Wait(guarded, ctx.Clock, max(0, after))
					if guarded.Err() != nil {
						t.Errorf("rtt %v: a command ended before the partition", rtt)
					}
					link.partitioned.Store(true)
					start = max(start, ctx.Now())
					<-guarded.Done()
				}
				if took := ctx.Now().Since(start); took > 250*time.Millisecond {
					t.Errorf("rtt %v, partitioned %v after the start: ended after %v", rtt, after, took)
				}
				for range 2 {
					if _, _, err := link.tracker.WithQuorum(ctx); errkind.KindOf(err) != errkind.NoQuorum || link.tracker.Status(ctx.Now()).Majority {
						t.Errorf("begun after a majority fell silent: %v", err)
					}
				}
				release()
				cancel()
				awaitPendingHeartbeats()
			})
		}
	}
}

// TestTracker_packetLossAndHighLatencyKeepQuorum runs commands of two seconds on
// links that lose packets (which arrive 200 ms and more late, once sent again),
// that are long, and that are congested for good.
func TestTracker_packetLossAndHighLatencyKeepQuorum(t *testing.T) {
	const rtt = 70 * time.Millisecond
	cases := map[string]func(int64) time.Duration{
		"each second lost": func(number int64) time.Duration { return rtt + 270*time.Millisecond*time.Duration(number%2) },
		"two of three lost": func(number int64) time.Duration {
			return rtt + 270*time.Millisecond*time.Duration(min(1, number%3))
		},
		"long":   constantDelay(180 * time.Millisecond),
		"longer": constantDelay(300 * time.Millisecond),
		"congested for good": func(number int64) time.Duration {
			return rtt + min(150*time.Millisecond, time.Duration(max(0, number-8))*10*time.Millisecond)
		},
		"jitter": func(number int64) time.Duration { return rtt + time.Duration(number*37%101)*time.Millisecond },
	}
	for name, delay := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := scope.New(scope.Options{}).WithCancel()
				link := newTestLink(ctx, delay)
				go link.tracker.Run(ctx)
				ctx.Wait(2 * time.Second)
				for command := range 5 {
					guarded, release, err := link.tracker.WithQuorum(ctx)
					if err != nil {
						t.Fatal(err)
					}
					if start := ctx.Now(); !clock.Wait(guarded, ctx.Clock, 2*time.Second) {
						t.Errorf("command %d ended after %v, at a round trip of %v", command, ctx.Now().Since(start), link.tracker.majorityRTT())
					}
					release()
					ctx.Wait(300 * time.Millisecond)
				}
				cancel()
				awaitPendingHeartbeats()
			})
		})
	}
}

// TestTracker_heartbeatRateIsBounded counts heartbeats: concurrent commands share
// their rounds, which end with them.
func TestTracker_heartbeatRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := scope.New(scope.Options{}).WithCancel()
		link := newTestLink(ctx, constantDelay(70*time.Millisecond))
		go link.tracker.Run(ctx)
		count := func() int64 {
			before := link.heartbeats.Load()
			ctx.Wait(6 * time.Second)
			return link.heartbeats.Load() - before
		}
		ctx.Wait(time.Second)
		idle := count()
		var releases []func()
		for range 40 {
			_, release, _ := link.tracker.WithQuorum(ctx)
			releases = append(releases, release)
		}
		busy := count()
		for _, release := range releases {
			release()
		}
		ctx.Wait(time.Second)
		after := count()
		t.Logf("heartbeats to a voter in 6 s: %d idle, %d with commands in flight, %d after", idle, busy, after)
		if busy > 130 || idle > 25 || after > idle+1 {
			t.Errorf("%d idle, %d with commands in flight, %d after", idle, busy, after)
		}
		cancel()
		awaitPendingHeartbeats()
	})
}

// jumpingClock is a clock that can jump ahead, as clocks seem to after a stall of
// the process.
type jumpingClock struct {
	clock.Clock
	mu     sync.Mutex
	offset time.Duration
}

// Now is ahead by the offset.
func (j *jumpingClock) Now() clock.Instant {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Clock.Now().Add(j.offset)
}

// TestTracker_stalledProcessReadsPendingResponsesFirst stalls a process during a
// command: contact seems as old as the stall, but a voter that answers shows it.
func TestTracker_stalledProcessReadsPendingResponsesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jumping := &jumpingClock{Clock: scope.New(scope.Options{}).Clock}
		ctx := scope.New(scope.Options{Clock: jumping})
		link := newTestLink(ctx, constantDelay(70*time.Millisecond))
		guarded, release, err := link.tracker.WithQuorum(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			clock.Wait(guarded, ctx.Clock, 500*time.Millisecond)
			jumping.mu.Lock()
			jumping.offset += time.Second
			jumping.mu.Unlock()
		}
		if !clock.Wait(guarded, ctx.Clock, time.Second) {
			t.Error("a command ended though its process alone stalled")
		}
		link.partitioned.Store(true)
		start := ctx.Now()
		if <-guarded.Done(); ctx.Now().Since(start) > 250*time.Millisecond {
			t.Errorf("ended %v after a partition", ctx.Now().Since(start))
		}
		release()
		awaitPendingHeartbeats()
	})
}
