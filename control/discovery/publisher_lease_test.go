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
		t.Fatalf("%v", calls)
	}
}

func TestPublisher_resignsWhenPlatformUnreachable(t *testing.T) {
	f := newPublisherFixture(t)
	resigned := 0
	f.Resign = func(context.Context) { resigned++ }
	f.platform.down = true
	for range maxFailures {
		if resigned != 0 {
			t.Fatal("resigned too soon")
		}
		f.poll()
	}
	if resigned != 1 {
		t.Fatalf("resigned %d times", resigned)
	}
}

// TestPublisher_discardsListReadUnderEarlierEpoch has the lease end and be granted
// again under a new epoch during a poll: the list may be older than what another
// holder published in between.
func TestPublisher_discardsListReadUnderEarlierEpoch(t *testing.T) {
	f := newPublisherFixture(t)
	epoch := int64(2)
	f.Held = func(clock.Instant) (int64, bool) { epoch++; return epoch, true }
	f.poll()
	if _, ok := f.Updates.Get(ZoneKey("a")); ok || len(f.platform.takeCalls()) == 0 {
		t.Fatal("a list from before the grant was published under its epoch")
	}
}

// TestPublisher_staleHolderOverridesNothing has a holder freeze right before it
// publishes, and wake long after its lease ended: whatever its successor published
// stays, even if that was no more than a heartbeat of an unchanged list.
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
			// The check was in time; all this happens before it is acted on.
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
		t.Fatalf("frozen holder's list of epoch %d stands: %+v", serial>>32, list)
	}
	if serial := f.heartbeatSerial(); serial>>32 != 3 {
		t.Fatalf("frozen holder's heartbeat of epoch %d stands", serial>>32)
	}
}
