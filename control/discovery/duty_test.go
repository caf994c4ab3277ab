package discovery

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

func TestWithoutTheDutyNobodyAsks(t *testing.T) {
	reader, played, top, _ := newReader(t)
	reader.Held = func(clock.Instant) (int64, bool) { return 3, false }
	reader.Read(top)
	if asked := played.asked(); len(asked) != 0 {
		t.Fatalf("%v", asked)
	}
}

func TestDutyIsGivenBackWhereThePlatformIsNotReached(t *testing.T) {
	reader, played, top, _ := newReader(t)
	resigned := 0
	reader.Resign = func(scope.Scope) { resigned++ }
	played.down = true
	for range failuresBorne {
		if resigned != 0 {
			t.Fatal("given back too soon")
		}
		reader.Read(top)
	}
	if resigned != 1 {
		t.Fatalf("given back %d times", resigned)
	}
}

// TestHoldGainedAnewTellsNothingOld has the duty end and come back under a new
// epoch while the platform is asked: what was heard may be older than what
// another told in between.
func TestHoldGainedAnewTellsNothingOld(t *testing.T) {
	reader, played, top, _ := newReader(t)
	epoch := int64(2)
	reader.Held = func(clock.Instant) (int64, bool) { epoch++; return epoch, true }
	reader.Read(top)
	if _, told := reader.News.Get(PartKey("a")); told || len(played.asked()) == 0 {
		t.Fatal("a list from before the hold is told under its epoch")
	}
}

// TestFrozenHolderOverridesNothing has a holder freeze right before it tells its
// list, and wake long after its lease ended: whatever the holder of then has
// told stays, also where it had nothing to say but that its list of before still
// holds.
func TestFrozenHolderOverridesNothing(t *testing.T) {
	reader, played, top, machine := newReader(t)
	epoch, held := int64(1), true
	reader.Held = func(clock.Instant) (int64, bool) { return epoch, held }
	reader.Read(top)
	held = false
	looks := 0
	frozen := &Reader{Platform: reader.Platform, News: reader.News, Every: reader.Every, Beat: reader.Beat}
	frozen.Held = func(clock.Instant) (int64, bool) {
		if looks++; looks == 2 {
			// Its last look was in time; all this goes by before it acts on it.
			epoch, held = 3, true
			played.condition = "ready"
			machine.Move(10 * clock.Second)
			reader.Read(top)
		}
		return 2, true
	}
	played.condition = "draining"
	frozen.Read(top)
	if list, serial := partOf(t, reader.News, "a"); serial>>32 != 3 || list.Runners[0].Draining {
		t.Fatalf("a frozen holder's list of epoch %d stands: %+v", serial>>32, list)
	}
	if beat, _ := reader.News.Get(BeatKey); beat.Version>>32 != 3 {
		t.Fatalf("a frozen holder's beat of epoch %d stands", beat.Version>>32)
	}
}
