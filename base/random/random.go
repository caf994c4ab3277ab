// Package random is the only source of random numbers for what the daemons do:
// jitter, and the choice of peers. A simulation replaces the source, so that a
// seed determines a run; production code never does. The functions are safe for
// concurrent use. None of this is fit for secrets.
package random

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// source replaces math/rand where it is set.
var source atomic.Pointer[func(bound int64) int64]

// SetSource has all numbers come from draw, which returns one in [0, bound). Nil
// restores the default. Only tests and simulations may call it.
func SetSource(draw func(bound int64) int64) {
	if draw == nil {
		source.Store(nil)
		return
	}
	source.Store(&draw)
}

// Int64N returns a number in [0, bound); bound must be above 0.
func Int64N(bound int64) int64 {
	if draw := source.Load(); draw != nil {
		return (*draw)(bound)
	}
	return rand.Int64N(bound)
}

// IntN returns a number in [0, bound); bound must be above 0.
func IntN(bound int) int { return int(Int64N(int64(bound))) }

// Duration returns a duration in [0, bound), and 0 if bound is not above 0.
func Duration(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(Int64N(int64(bound)))
}

// Float64 returns a number in [0, 1).
func Float64() float64 { return float64(Int64N(1<<53)) / (1 << 53) }

// Shuffle permutes elements in place (Fisher and Yates).
func Shuffle[Element any](elements []Element) {
	for last := len(elements) - 1; last > 0; last-- {
		other := IntN(last + 1)
		elements[last], elements[other] = elements[other], elements[last]
	}
}
