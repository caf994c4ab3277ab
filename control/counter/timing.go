package counter

import (
	"cmp"
	"time"

	"onyxwell/base/settings"
)

// clientTimeout is how long an application waits for an answer before it goes on to
// another controller.
const clientTimeout = time.Second

// Timing holds the intervals and time-outs of the counters.
type Timing struct {
	// Interval is the time between two exchanges with a peer to which nothing is sent.
	Interval time.Duration
	// ExchangeTimeout is how long a peer's answer is waited for. Two in a row without an
	// answer make it silent, within the caller's patience.
	ExchangeTimeout time.Duration
	// AddTimeout is after how long an add is answered as undecided.
	AddTimeout time.Duration
	// CatchUpTimeout is how long a controller that starts waits for others, if none that
	// it has reached holds more than it does.
	CatchUpTimeout time.Duration
	// HandOverTimeout is how long one that leaves waits for others to hold what it does.
	HandOverTimeout time.Duration
	// ForgetAfter is after how long a controller that is believed to be lost is no longer
	// called.
	ForgetAfter time.Duration
	// ForgetUncontactedAfter is that of one that has never answered, and that the membership
	// does not know.
	ForgetUncontactedAfter time.Duration
	// StallAfter is for how long a commit may be under way before no further add is
	// accepted.
	StallAfter time.Duration
}

const (
	// In a merge time: so many ticks, and twice the catch-up.
	ticksPerMerge   = 6
	catchUpDivisor  = 2
	handOverDivisor = 2
	forgetAfter     = 30 * time.Minute
	// forgetUncontactedMerges is ForgetUncontactedAfter in merge times.
	forgetUncontactedMerges = 4
)

// TimingOf derives the timing from the settings: after a partition all records must
// reach all controllers within merge_ms.
func TimingOf(node *settings.Settings) Timing {
	merge := settings.Milliseconds(cmp.Or(node.Bounds.MergeMS, node.Bounds.ApplyWithinMS))
	return Timing{
		Interval:               merge / ticksPerMerge,
		ExchangeTimeout:        clientTimeout * 3 / 10,
		AddTimeout:             clientTimeout * 9 / 10,
		CatchUpTimeout:         merge / catchUpDivisor,
		HandOverTimeout:        settings.Seconds(node.Bounds.GraceS) / handOverDivisor,
		ForgetAfter:            forgetAfter,
		ForgetUncontactedAfter: merge * forgetUncontactedMerges,
		StallAfter:             clientTimeout * 3 / 10,
	}
}
