package counter

import (
	"cmp"
	"time"

	"onyxwell/base/settings"
)

// clientTimeout is how long an application waits for an answer before it tries another
// controller.
const clientTimeout = time.Second

// Timing holds the intervals and timeouts of the counters.
type Timing struct {
	// Interval is the time between two exchanges with a peer while there are no new
	// records to send.
	Interval time.Duration
	// ExchangeTimeout limits the wait for a peer's answer. Two consecutive timeouts mark
	// the peer as silent, and together they are shorter than clientTimeout.
	ExchangeTimeout time.Duration
	// AddTimeout is the time after which an add that is not yet on enough disks is answered
	// as undecided.
	AddTimeout time.Duration
	// CatchUpTimeout is how long a starting controller waits for a first answer from any
	// peer before it serves the records of its own disk alone.
	CatchUpTimeout time.Duration
	// HandOverTimeout is how long a leaving controller waits for others to store all of
	// its records.
	HandOverTimeout time.Duration
	// ForgetAfter is how long a controller that the membership has removed is treated as
	// still listed, and how long a peer is kept that is neither listed nor heard of any
	// more.
	ForgetAfter time.Duration
	// ForgetUncontactedAfter takes the place of ForgetAfter for a peer that the membership
	// does not list and that has never answered.
	ForgetUncontactedAfter time.Duration
	// StallAfter is how long a commit may take before further adds are refused.
	StallAfter time.Duration
}

const (
	// ticksPerMerge and catchUpDivisor are the number of Intervals and of CatchUpTimeouts
	// in the merge time, handOverDivisor that of HandOverTimeouts in the grace period.
	ticksPerMerge   = 6
	catchUpDivisor  = 2
	handOverDivisor = 2
	forgetAfter     = 30 * time.Minute
	// forgetUncontactedMerges is ForgetUncontactedAfter as a multiple of the merge time.
	forgetUncontactedMerges = 4
)

// TimingOf derives the timing from the settings. After a partition all records must reach
// all controllers within the merge time: merge_ms, or apply_within_ms if that is not set.
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
