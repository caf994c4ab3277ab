package lengthstats

import "onyxwell/base/ids"

// Table looks expectations up: it is what the planner told back, as a router
// reads it.
type Table struct {
	exact map[Key]float64
	// byBucket stands for kinds that were not seen: the mean of their service's
	// prompts of that length.
	byBucket map[Key]mean
	splits   map[ids.Service]Split
}

type mean struct{ sum, count float64 }

// NewTable makes a table of a region's expectations.
func NewTable(told []Expected, splits []Split) *Table {
	made := &Table{exact: map[Key]float64{}, byBucket: map[Key]mean{}, splits: map[ids.Service]Split{}}
	for _, expected := range told {
		made.exact[expected.Key] = expected.DurationMS
		any := Key{Service: expected.Key.Service, Bucket: expected.Key.Bucket}
		made.byBucket[any] = mean{sum: made.byBucket[any].sum + expected.DurationMS, count: made.byBucket[any].count + 1}
	}
	for _, split := range splits {
		made.splits[split.Service] = split
	}
	return made
}

// Class is the group of work that a request belongs to.
type Class int64

// The classes. A request of unknown length goes anywhere.
const (
	Unknown Class = iota
	Short
	Long
)

// Expect tells how long a kind of answer is expected to take: by its own past,
// else by that of other routes of the service with prompts as long.
func (t *Table) Expect(kind Key) (float64, bool) {
	if t == nil || kind.Bucket == 0 {
		return 0, false
	}
	if exact, found := t.exact[kind]; found {
		return exact, true
	}
	loose, found := t.byBucket[Key{Service: kind.Service, Bucket: kind.Bucket}]
	return loose.sum / max(1, loose.count), found
}

// Class gives the class of a kind of request.
func (t *Table) Class(kind Key) Class {
	expected, known := t.Expect(kind)
	if !known {
		return Unknown
	}
	split, apart := t.splits[kind.Service]
	if !apart {
		return Unknown
	}
	if expected >= split.ThresholdMS {
		return Long
	}
	return Short
}
