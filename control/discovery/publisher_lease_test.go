package discovery

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
)

func TestPublisher_withoutLeaseDoesNotPoll(t *testing.T) {
	f := newPublisherFixture(t)
	f.Held = func(clock.Instant) (int64, bool) { return 3, false }
	f.poll()
	if calls := f.platform.takeCalls(); len(calls) != 0 {
		t.Fatalf("the platform was polled without the lease: %v", calls)
	}
}

func TestPublisher_resignsWhenPlatformUnreachable(t *testing.T) {
	f := newPublisherFixture(t)
	resigned := 0
	f.Resign = func(context.Context) { resigned++ }
	f.platform.down = true
	for range maxFailures {
		if resigned != 0 {
			t.Fatal("resigned before maxFailures polls failed")
		}
		f.poll()
	}
	if resigned != 1 {
		t.Fatalf("resigned %d times after maxFailures failed polls, want 1", resigned)
	}
}

// TestPublisher_discardsListReadUnderEarlierEpoch checks that a list is discarded if
// the lease ends and is granted again under a new epoch during the poll: the list
// may be older than one that another holder published in between.
func TestPublisher_discardsListReadUnderEarlierEpoch(t *testing.T) {
	f := newPublisherFixture(t)
	epoch := int64(2)
	f.Held = func(clock.Instant) (int64, bool) { epoch++; return epoch, true }
	f.poll()
	if _, ok := f.Updates.Get(ZoneKey("a")); ok || len(f.platform.takeCalls()) == 0 {
		t.Fatal("a list read under the earlier epoch was published, or the platform was not polled")
	}
}

// TestPublisher_staleHolderOverridesNothing suspends a holder right before it
// publishes and resumes it long after its lease ended. What its successor published
// must stay, even if that was only a heartbeat of an unchanged list.
func TestPublisher_staleHolderOverridesNothing(t *testing.T) {
	f := newPublisherFixture(t)
	epoch, held := int64(1), true
	f.Held = func(clock.Instant) (int64, bool) { return epoch, held }
	f.poll()
	held = false
	checks := 0
	frozen := &Publisher{
		Platform: f.Platform, Updates: f.Updates, Clock: f.clock, Log: f.Log,
		Interval: f.Interval, HeartbeatInterval: f.HeartbeatInterval,
	}
	frozen.Held = func(clock.Instant) (int64, bool) {
		if checks++; checks == 2 {
			// The holder's check of its lease succeeds, but before it publishes, its
			// successor polls and publishes.
			epoch, held = 3, true
			f.platform.condition = "ready"
			f.clock.Advance(10 * time.Second)
			f.poll()
		}
		return 2, true
	}
	f.platform.condition = "draining"
	frozen.Poll(context.Background())
	if list, serial := f.publishedList(t, "a"); serial>>32 != 3 || list.Runners[0].Draining {
		t.Fatalf("list has epoch %d, want the successor's 3 and no draining runner: %+v", serial>>32, list)
	}
	if serial := f.heartbeatSerial(); serial>>32 != 3 {
		t.Fatalf("heartbeat has epoch %d, want the successor's 3", serial>>32)
	}
}
