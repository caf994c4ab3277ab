package voter

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/control/daemon"
)

// TestTimingOf_twoReplacementsFitCatchUpTime adds the stages of two replacements one
// after the other up, from the loss to the repair of the last key: as long as a
// spec may take no longer than catching up they fit, whatever the bounds are.
func TestTimingOf_twoReplacementsFitCatchUpTime(t *testing.T) {
	for _, bounds := range []settings.Bounds{
		{CatchUpS: 4, InTouchMS: 4000, ApplyWithinMS: 3000},
		{CatchUpS: 6, InTouchMS: 6000, ApplyWithinMS: 4000},
		{CatchUpS: 6, InTouchMS: 2000, ApplyWithinMS: 6000},
		{CatchUpS: 60, InTouchMS: 5000, ApplyWithinMS: 5000},
		{CatchUpS: 0, InTouchMS: 4000, ApplyWithinMS: 3000},
	} {
		all := daemon.TimingOf(&settings.Settings{Bounds: bounds})
		pace, pass := TimingOf(&settings.Settings{Bounds: bounds}, all.LeaseDuration, all.ForwardTimeout), all.ForwardTimeout
		whole := settings.Seconds(bounds.CatchUpS)
		if bounds.CatchUpS == 0 {
			whole = settings.Milliseconds(bounds.InTouchMS)
		}
		// A seat takes a question whether the one is back, one for the copies, and
		// six rounds of messages: to take the voters' key over, to settle it and to
		// write it, twice. A round takes a quarter of what a question may.
		seat := pace.Tick + 2*pace.RequestTimeout + 6*pace.RequestTimeout/4
		sum := pace.LostAfter + 2*seat + 3*pace.Tick
		if sum >= whole {
			t.Errorf("the stages add up to %v of %v: %+v", sum, whole, pace)
		}
		if pace.SuspectAfter <= pass*2/3+clock.Span(pace.RequestTimeout)/4 || pace.LostAfter <= pace.SuspectAfter {
			t.Errorf("one that answers is in doubt between two questions: %+v, one each %v", pace, pass*2/3)
		}
	}
}
