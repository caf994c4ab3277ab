package lengthstats

import "onyxwell/base/ids"

// Class classifies a request by its expected duration.
type Class int64

// Request classes. A request of class Unknown may go to any runner.
const (
	Unknown Class = iota
	Short
	Long
)

// Table classifies requests by the expected durations and splits that the planner
// published for a region. It is immutable; a nil Table classifies every request as
// Unknown.
type Table struct {
	byKey map[Key]float64
	// byBucket holds the mean expected duration over a service's routes for each
	// length bucket. It is used for keys that are not in byKey; the Route of its
	// keys is empty.
	byBucket map[Key]mean
	splits   map[ids.Service]Split
}

type mean struct{ sum, count float64 }

func (m mean) add(value float64) mean { return mean{sum: m.sum + value, count: m.count + 1} }

// NewTable returns a table built from a region's expected durations and splits.
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

// withoutRoute returns the key that stands for all routes of the service with this
// length bucket.
func (k Key) withoutRoute() Key { return Key{Service: k.Service, Bucket: k.Bucket} }

// ExpectedDuration returns the expected duration of a request in milliseconds: that
// of its key, or else the mean over the service's routes for the same length
// bucket. It returns false if neither is known, or if the prompt length is unknown.
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

// Class returns the class of a request. It is Unknown if the service is not split
// or if the request has no expected duration.
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
