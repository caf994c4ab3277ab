package voter

import (
	"cmp"
	"time"

	"onyxwell/base/settings"
)

// Timing determines how soon a lost voter is replaced.
type Timing struct {
	// Tick is the time between two checks while the view of the voters changes.
	Tick time.Duration
	// RequestTimeout bounds one request to another controller.
	RequestTimeout time.Duration
	// SuspectAfter is how long a voter may be silent before its responses are no
	// longer awaited, LostAfter how long before a standby may replace it.
	SuspectAfter time.Duration
	LostAfter    time.Duration
	// ActiveFor is how long after a change the voters are checked at each tick.
	ActiveFor time.Duration
}

// TimingOf divides the time to catch up (bounds.catch_up_s, or three lease
// durations if that is 0) among the stages of a replacement. The stages of two
// replacements in sequence add up to less than that time. A voter that responds
// is never suspected: heartbeats are sent every 2/3 of forwardTimeout, and
// SuspectAfter is at least 3/2 of it.
func TimingOf(node *settings.Settings, leaseDuration time.Duration, forwardTimeout time.Duration) Timing {
	catchUp := settings.Seconds(node.Bounds.CatchUpS)
	if catchUp == 0 {
		catchUp = 3 * leaseDuration
	}
	return Timing{
		Tick:           catchUp / 24,
		RequestTimeout: min(leaseDuration/6, catchUp/18),
		SuspectAfter:   max(catchUp/8, forwardTimeout*3/2),
		LostAfter:      max(catchUp/4, 2*forwardTimeout),
		ActiveFor:      2 * catchUp,
	}
}

// withDefaults returns the timing with each field that is 0 set in proportion to
// base.
func (t Timing) withDefaults(base time.Duration) Timing {
	return Timing{
		Tick:           cmp.Or(t.Tick, base/8),
		RequestTimeout: cmp.Or(t.RequestTimeout, base/6),
		SuspectAfter:   cmp.Or(t.SuspectAfter, base/2),
		LostAfter:      cmp.Or(t.LostAfter, base),
		ActiveFor:      cmp.Or(t.ActiveFor, 4*base),
	}
}
