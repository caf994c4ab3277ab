package voter

import (
	"onyxwell/base/clock"
	"onyxwell/base/settings"
)

// Timing is how soon a lost voter is replaced: parts of the time to catch up that
// add up to less than all of it, also for two losses one after the other.
type Timing struct {
	// Tick is the time between two looks while something changes.
	Tick clock.Span
	// RequestTimeout is how long one question may take.
	RequestTimeout clock.Span
	// SuspectAfter is how long a voter may be silent before it is not waited for any more,
	// Missed before its seat is free to one that stands by.
	SuspectAfter clock.Span
	LostAfter    clock.Span
	// ActiveFor is how long a change keeps the looks at each tick.
	ActiveFor clock.Span
}

// TimingOf gives each stage its part of the time to catch up, from how long a duty is
// held and an order passed on. Contact is asked for each two thirds of the latter:
// one that answers is never silent for twice as long.
func TimingOf(node *settings.Settings, hold clock.Span, pass clock.Span) Timing {
	whole := settings.Seconds(node.Bounds.CatchUpS)
	if whole == 0 {
		whole = 3 * hold
	}
	return Timing{
		Tick: whole / 24, RequestTimeout: min(hold/6, whole/18),
		SuspectAfter: max(whole/8, pass*3/2), LostAfter: max(whole/4, 2*pass), ActiveFor: 2 * whole,
	}
}

// withDefaults fills in what is not set, as parts of the patience.
func (t Timing) withDefaults(patience clock.Span) Timing {
	for _, one := range []struct {
		span *clock.Span
		part clock.Span
	}{
		{&t.Tick, patience / 8}, {&t.RequestTimeout, patience / 6}, {&t.SuspectAfter, patience / 2},
		{&t.LostAfter, patience}, {&t.ActiveFor, 4 * patience},
	} {
		if *one.span == 0 {
			*one.span = one.part
		}
	}
	return t
}
