package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

// Expected is the expected duration of requests with a key.
type Expected struct {
	Key        Key     `avro:"Kind"`
	DurationMS float64 `avro:"MS"`
	// Count is the number of recent requests that it rests on; it is 0 in what
	// Expectations returns.
	Count float64 `avro:"Count"`
}

// SchemaName names the stored and sent form; it must never change.
func (Expected) SchemaName() string { return "Expected_24" }

const (
	// minRequestsPerKey is the number of requests that an expectation needs, minPerSplit
	// the number that a split does.
	minRequestsPerKey   = 6.0
	minRequestsPerSplit = 60.0
	// decaySeconds is the time constant of the decay: after it 1/e is left.
	decaySeconds = 30.0
	// minCount is the count below which a key is dropped.
	minCount = 0.05
	// maxExpectations bounds the expectations that are published.
	maxExpectations = 96
	// durationTolerance is the relative change below which the last value is kept.
	durationTolerance = 0.3
)

// Estimator holds the totals of one region, and what was published of them. The
// zero value is ready to use; it is not safe for concurrent use.
type Estimator struct {
	totals map[Key]Totals
	// published are the expected durations that were returned last.
	published map[Key]float64
	splits    map[ids.Service]activeSplit
}

// Add adds totals, of different keys or of the same.
func (e *Estimator) Add(totals []Totals) {
	if e.totals == nil {
		e.totals, e.published, e.splits = map[Key]Totals{}, map[Key]float64{}, map[ids.Service]activeSplit{}
	}
	for _, added := range totals {
		e.totals[added.Key] = added.Add(e.totals[added.Key])
	}
}

// Decay ages the totals by the time in seconds.
func (e *Estimator) Decay(seconds float64) {
	retained := math.Exp(-seconds / decaySeconds)
	for key, totals := range e.totals {
		totals = totals.scale(retained)
		if totals.Count < minCount {
			delete(e.totals, key)
			delete(e.published, key)
			continue
		}
		e.totals[key] = totals
	}
}

// Expectations returns the expected durations that rest on enough requests,
// ordered by key: those with the most requests if there are too many. One that
// hardly changed is returned as the last time.
func (e *Estimator) Expectations() []Expected {
	var expectations []Expected
	for key, totals := range e.totals {
		if totals.Count >= minRequestsPerKey {
			expectations = append(expectations, Expected{Key: key, DurationMS: e.stabilize(key, totals.meanMS()), Count: totals.Count})
		}
	}
	slices.SortFunc(expectations, func(left, right Expected) int {
		return cmp.Or(cmp.Compare(right.Count, left.Count), compareKeys(left.Key, right.Key))
	})
	expectations = expectations[:min(len(expectations), maxExpectations)]
	for index := range expectations {
		expectations[index].Count = 0
	}
	slices.SortFunc(expectations, func(left, right Expected) int { return compareKeys(left.Key, right.Key) })
	return expectations
}

// stabilize returns the last duration of the key if the new one is close to it,
// else the new one in whole milliseconds.
func (e *Estimator) stabilize(key Key, durationMS float64) float64 {
	last, known := e.published[key]
	if known && math.Abs(durationMS-last) <= durationTolerance*last {
		return last
	}
	e.published[key] = math.Round(durationMS)
	return e.published[key]
}
