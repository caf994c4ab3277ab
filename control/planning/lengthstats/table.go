package lengthstats

import "onyxwell/base/ids"

// Class is the class of a request.
type Class int64

// The classes. A request of class Unknown may go to any runner.
const (
	Unknown Class = iota
	Short
	Long
)

// Table classifies requests by what the planner published for a region. It is
// immutable; a nil Table knows no class.
type Table struct {
	byKey map[Key]float64
	// byBucket holds the mean of a service's expectations in a bucket, for keys
	// without one; their Route is empty.
	byBucket map[Key]mean
	splits   map[ids.Service]Split
}

type mean struct{ sum, count float64 }

func (m mean) add(value float64) mean { return mean{sum: m.sum + value, count: m.count + 1} }

// NewTable returns the table of a region's expectations and splits.
func NewTable(expectations []Expected, splits []Split) *Table {
	table := &Table{byKey: map[Key]float64{}, byBucket: map[Key]mean{}, splits: map[ids.Service]Split{}}
	for _, expected := range expectations {
		table.byKey[expected.Key] = expected.DurationMS
		bucket := expected.Key.withoutRoute()
		table.byBucket[bucket] = table.byBucket[bucket].add(expected.DurationMS)
	}
	for _, split := range splits {
		table.splits[split.Service] = split
	}
	return table
}

// withoutRoute returns the key of a bucket over all routes of the service.
func (k Key) withoutRoute() Key { return Key{Service: k.Service, Bucket: k.Bucket} }

// ExpectedDuration returns the expected duration of a request in milliseconds: that of its
// key, else the mean over the service's routes for prompts of that length. It
// returns false if there is neither, or if the length is unknown.
func (t *Table) ExpectedDuration(key Key) (durationMS float64, ok bool) {
	if t == nil || key.Bucket == 0 {
		return 0, false
	}
	if expected, ok := t.byKey[key]; ok {
		return expected, true
	}
	bucket, ok := t.byBucket[key.withoutRoute()]
	return bucket.sum / max(1, bucket.count), ok
}

// Class returns the class of a request, Unknown if its service is not split or
// nothing is expected of it.
func (t *Table) Class(key Key) Class {
	expected, ok := t.ExpectedDuration(key)
	if !ok {
		return Unknown
	}
	split, ok := t.splits[key.Service]
	if !ok {
		return Unknown
	}
	if expected >= split.ThresholdMS {
		return Long
	}
	return Short
}
