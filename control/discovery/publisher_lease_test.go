package discovery

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

func TestPublisher_withoutLeaseDoesNotPoll(t *testing.T) {
	reader, played, top, _ := newPublisher(t)
	reader.Held = func(clock.Instant) (int64, bool) { return 3, false }
	reader.Poll(top)
	if asked := played.takeCalls(); len(asked) != 0 {
		t.Fatalf("%v", asked)
	}
}

func TestPublisher_resignsWhenPlatformUnreachable(t *testing.T) {
	reader, played, top, _ := newPublisher(t)
	resigned := 0
	reader.Resign = func(scope.Scope) { resigned++ }
	played.down = true
	for range maxFailures {
		if resigned != 0 {
			t.Fatal("given back too soon")
		}
		reader.Poll(top)
	}
	if resigned != 1 {
		t.Fatalf("given back %d times", resigned)
	}
}

// TestPublisher_discardsListReadUnderEarlierEpoch has the duty end and come back under a new
// epoch while the platform is asked: what was heard may be older than what
// another told in between.
func TestPublisher_discardsListReadUnderEarlierEpoch(t *testing.T) {
	reader, played, top, _ := newPublisher(t)
	epoch := int64(2)
	reader.Held = func(clock.Instant) (int64, bool) { epoch++; return epoch, true }
	reader.Poll(top)
	if _, told := reader.Updates.Get(ZoneKey("a")); told || len(played.takeCalls()) == 0 {
		t.Fatal("a list from before the hold is told under its epoch")
	}
}

// TestPublisher_staleHolderOverridesNothing has a holder freeze right before it tells its
// list, and wake long after its lease ended: whatever the holder of then has
// told stays, also where it had nothing to say but that its list of before still
// holds.
func TestPublisher_staleHolderOverridesNothing(t *testing.T) {
	reader, played, top, machine := newPublisher(t)
	epoch, held := int64(1), true
	reader.Held = func(clock.Instant) (int64, bool) { return epoch, held }
	reader.Poll(top)
	held = false
	looks := 0
	frozen := &Publisher{Platform: reader.Platform, Updates: reader.Updates, Interval: reader.Interval, HeartbeatInterval: reader.HeartbeatInterval}
	frozen.Held = func(clock.Instant) (int64, bool) {
		if looks++; looks == 2 {
			// Its last look was in time; all this goes by before it acts on it.
			epoch, held = 3, true
			played.condition = "ready"
			machine.Advance(10 * clock.Second)
			reader.Poll(top)
		}
		return 2, true
	}
	played.condition = "draining"
	frozen.Poll(top)
	if list, serial := publishedList(t, reader.Updates, "a"); serial>>32 != 3 || list.Runners[0].Draining {
		t.Fatalf("a frozen holder's list of epoch %d stands: %+v", serial>>32, list)
	}
	if beat, _ := reader.Updates.Get(HeartbeatKey); beat.Version>>32 != 3 {
		t.Fatalf("a frozen holder's beat of epoch %d stands", beat.Version>>32)
	}
}
