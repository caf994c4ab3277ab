// Package random is the project's door to random numbers in what the daemons
// do: jitter, and the choice of partners and pauses. A simulation replaces it, so
// that the same seed draws the same numbers; the programs never do.
package random

import (
	"math/rand/v2"
	"sync/atomic"

	"onyxwell/base/clock"
)

var replaced atomic.Pointer[func(bound int64) int64]

// Replace has all draws come from a function, until it is replaced by none.
func Replace(draw func(bound int64) int64) {
	if draw == nil {
		replaced.Store(nil)
		return
	}
	replaced.Store(&draw)
}

// Int63 draws a number from 0 up to below the bound, which must be above 0.
func Int63(bound int64) int64 {
	if draw := replaced.Load(); draw != nil {
		return (*draw)(bound)
	}
	return rand.Int64N(bound)
}

// Below draws an index from 0 up to below the bound, which must be above 0.
func Below(bound int) int { return int(Int63(int64(bound))) }

// Part draws a part of a span; of none it is none.
func Part(span clock.Span) clock.Span {
	if span <= 0 {
		return 0
	}
	return clock.Span(Int63(int64(span)))
}

// Fraction draws a number from 0 up to below 1.
func Fraction() float64 { return float64(Int63(1<<53)) / (1 << 53) }

// Shuffle puts elements into a drawn order.
func Shuffle[Element any](elements []Element) {
	for last := len(elements) - 1; last > 0; last-- {
		other := Below(last + 1)
		elements[last], elements[other] = elements[other], elements[last]
	}
}
