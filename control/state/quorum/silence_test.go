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

// testLink is the tracker of voter 0 of three, with a MaxAge of 375 ms, and its
// link to voter 1; voter 2 never answers.
type testLink struct {
	tracker     *Tracker
	partitioned atomic.Bool
	heartbeats  atomic.Int64
	// delay returns the round-trip time of the heartbeat with the given number,
	// counted from 1.
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

// TestWithQuorum_contextEndsSoonAfterPartition partitions the link up to 200 ms
// before the start of a command, while contact is still recent, and at various
// moments after it.
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
						t.Errorf("rtt %v: a command was canceled before the partition", rtt)
					}
					link.partitioned.Store(true)
					start = max(start, ctx.Now())
					<-guarded.Done()
				}
				if took := ctx.Now().Since(start); took > 250*time.Millisecond {
					t.Errorf("rtt %v, partitioned %v after the start: refused or canceled after %v, want at most 250ms", rtt, after, took)
				}
				for range 2 {
					if _, _, err := link.tracker.WithQuorum(ctx); errkind.KindOf(err) != errkind.NoQuorum || link.tracker.Status(ctx.Now()).Majority {
						t.Errorf("a command was started after contact was lost: %v", err)
					}
				}
				release()
				cancel()
				awaitPendingHeartbeats()
			})
		}
	}
}

// TestTracker_packetLossAndHighLatencyKeepQuorum runs commands of two seconds over
// links with packet loss (a retransmitted packet arrives at least 200 ms late), with
// high latency, and with permanent congestion: none may be canceled.
func TestTracker_packetLossAndHighLatencyKeepQuorum(t *testing.T) {
	const rtt = 70 * time.Millisecond
	cases := map[string]func(int64) time.Duration{
		"every second packet lost": func(number int64) time.Duration { return rtt + 270*time.Millisecond*time.Duration(number%2) },
		"two of three packets lost": func(number int64) time.Duration {
			return rtt + 270*time.Millisecond*time.Duration(min(1, number%3))
		},
		"round trip of 180 ms": constantDelay(180 * time.Millisecond),
		"round trip of 300 ms": constantDelay(300 * time.Millisecond),
		"permanent congestion": func(number int64) time.Duration {
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
						t.Errorf("command %d was canceled after %v, at a round-trip time of %v", command, ctx.Now().Since(start), link.tracker.majorityRTT())
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

// TestTracker_heartbeatRateIsBounded counts heartbeats: concurrent commands must
// share rounds, and the short interval must end with the last of them.
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
			t.Errorf("heartbeats in 6 s: %d idle, %d with commands in flight, %d after; want at most 25, 130 and idle+1", idle, busy, after)
		}
		cancel()
		awaitPendingHeartbeats()
	})
}

// jumpingClock is a clock that can jump ahead, which simulates a stall of the
// process.
type jumpingClock struct {
	clock.Clock
	mu     sync.Mutex
	offset time.Duration
}

// Now returns the time of the underlying clock plus the offset.
func (j *jumpingClock) Now() clock.Instant {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Clock.Now().Add(j.offset)
}

// TestTracker_stalledProcessReadsPendingResponsesFirst stalls the process during a
// command: contact then appears to be as old as the stall, but the command must not
// be canceled while a voter answers.
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
			t.Error("a command was canceled though only its own process stalled")
		}
		link.partitioned.Store(true)
		start := ctx.Now()
		if <-guarded.Done(); ctx.Now().Since(start) > 250*time.Millisecond {
			t.Errorf("a command was canceled %v after the partition, want at most 250ms", ctx.Now().Since(start))
		}
		release()
		awaitPendingHeartbeats()
	})
}
