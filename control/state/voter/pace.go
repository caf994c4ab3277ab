package voter

import (
	"onyxwell/base/clock"
	"onyxwell/base/settings"
)

// Pace is how soon a lost voter is replaced: parts of the time to catch up that
// add up to less than all of it, also for two losses one after the other.
type Pace struct {
	// Tick is the time between two looks while something changes.
	Tick clock.Span
	// Answer is how long one question may take.
	Answer clock.Span
	// Doubt is how long a voter may be silent before it is not waited for any more,
	// Missed before its seat is free to one that stands by.
	Doubt  clock.Span
	Missed clock.Span
	// Stir is how long a change keeps the looks at each tick.
	Stir clock.Span
}

// PaceOf gives each stage its part of the time to catch up, from how long a duty is
// held and an order passed on. Contact is asked for each two thirds of the latter:
// one that answers is never silent for twice as long.
func PaceOf(node *settings.Boot, hold clock.Span, pass clock.Span) Pace {
	whole := settings.Seconds(node.Bounds.CatchUpS)
	if whole == 0 {
		whole = 3 * hold
	}
	return Pace{
		Tick: whole / 24, Answer: min(hold/6, whole/18),
		Doubt: max(whole/8, pass*3/2), Missed: max(whole/4, 2*pass), Stir: 2 * whole,
	}
}

// or fills in what is not set, as parts of the patience.
func (p Pace) or(patience clock.Span) Pace {
	for _, one := range []struct {
		span *clock.Span
		part clock.Span
	}{
		{&p.Tick, patience / 8}, {&p.Answer, patience / 6}, {&p.Doubt, patience / 2},
		{&p.Missed, patience}, {&p.Stir, 4 * patience},
	} {
		if *one.span == 0 {
			*one.span = one.part
		}
	}
	return p
}
