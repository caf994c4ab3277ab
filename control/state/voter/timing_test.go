package voter

import (
	"testing"
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/daemon"
)

// TestTimingOf_twoReplacementsFitCatchUpTime adds up the stages of two
// replacements in sequence, from the loss to the repair of the last key. They
// must fit into the time to catch up, whatever the bounds, as long as that is no
// less than the time a command may take.
func TestTimingOf_twoReplacementsFitCatchUpTime(t *testing.T) {
	for _, bounds := range []settings.Bounds{
		{CatchUpS: 4, InTouchMS: 4000, ApplyWithinMS: 3000},
		{CatchUpS: 6, InTouchMS: 6000, ApplyWithinMS: 4000},
		{CatchUpS: 6, InTouchMS: 2000, ApplyWithinMS: 6000},
		{CatchUpS: 60, InTouchMS: 5000, ApplyWithinMS: 5000},
		{CatchUpS: 0, InTouchMS: 4000, ApplyWithinMS: 3000},
	} {
		common := daemon.TimingOf(&settings.Settings{Bounds: bounds})
		timing, forwardTimeout := TimingOf(&settings.Settings{Bounds: bounds}, common.LeaseDuration, common.ForwardTimeout), common.ForwardTimeout
		catchUp := settings.Seconds(bounds.CatchUpS)
		if bounds.CatchUpS == 0 {
			catchUp = settings.Milliseconds(bounds.InTouchMS)
		}
		// A replacement takes one request to check whether the lost voter is
		// back, one for the copies, and six message rounds: to acquire the
		// voters' key, to commit its current value and to write the next one,
		// each twice. A round takes a quarter of the request timeout.
		replacement := timing.Tick + 2*timing.RequestTimeout + 6*timing.RequestTimeout/4
		total := timing.LostAfter + 2*replacement + 3*timing.Tick
		if total >= catchUp {
			t.Errorf("two replacements take %v, want less than the %v to catch up: %+v", total, catchUp, timing)
		}
		if timing.SuspectAfter <= forwardTimeout*2/3+time.Duration(timing.RequestTimeout)/4 || timing.LostAfter <= timing.SuspectAfter {
			t.Errorf("a voter that responds may be suspected between two heartbeats, or lost before it is suspected: %+v, a heartbeat every %v", timing, forwardTimeout*2/3)
		}
	}
}
