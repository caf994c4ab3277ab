// Package random is the project's door to random numbers in what the daemons
// do: jitter, and the choice of partners and pauses. A simulation replaces it, so
// that the same seed draws the same numbers; the programs never do.
package random

import (
	"math/rand/v2"
	"sync/atomic"

	"onyxwell/base/clock"
)

var source atomic.Pointer[func(bound int64) int64]

// SetSource has all draws come from a function, until it is replaced by none.
func SetSource(draw func(bound int64) int64) {
	if draw == nil {
		source.Store(nil)
		return
	}
	source.Store(&draw)
}

// Int64N draws a number from 0 up to below the bound, which must be above 0.
func Int64N(bound int64) int64 {
	if draw := source.Load(); draw != nil {
		return (*draw)(bound)
	}
	return rand.Int64N(bound)
}

// IntN draws an index from 0 up to below the bound, which must be above 0.
func IntN(bound int) int { return int(Int64N(int64(bound))) }

// Duration draws a part of a span; of none it is none.
func Duration(span clock.Span) clock.Span {
	if span <= 0 {
		return 0
	}
	return clock.Span(Int64N(int64(span)))
}

// Float64 draws a number from 0 up to below 1.
func Float64() float64 { return float64(Int64N(1<<53)) / (1 << 53) }

// Shuffle puts elements into a drawn order.
func Shuffle[Element any](elements []Element) {
	for last := len(elements) - 1; last > 0; last-- {
		other := IntN(last + 1)
		elements[last], elements[other] = elements[other], elements[last]
	}
}
