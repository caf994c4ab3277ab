package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

// Expected is the expected duration of the requests with a key.
type Expected struct {
	Key        Key     `avro:"Kind"`
	DurationMS float64 `avro:"MS"`
	// Count is the number of recent requests that the estimate is based on. It is 0
	// in the results of Expectations.
	Count float64 `avro:"Count"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Expected) SchemaName() string { return "Expected_24" }

const (
	// minRequestsPerKey is the minimum number of requests for an expected duration,
	// minRequestsPerSplit that for a split.
	minRequestsPerKey   = 6.0
	minRequestsPerSplit = 60.0
	// decaySeconds is the time constant of the decay, after which 1/e is left.
	decaySeconds = 30.0
	// minCount is the decayed request count below which a key is dropped.
	minCount = 0.05
	// maxExpectations bounds the number of expected durations that are published.
	maxExpectations = 96
	// durationTolerance is the largest relative change of an expected duration or of
	// a split's threshold for which the last value is kept.
	durationTolerance = 0.3
)

// Estimator holds the decaying totals of one region, and the expected durations and
// splits that were last derived from them. The zero value is ready to use. It is not
// safe for concurrent use.
type Estimator struct {
	totals map[Key]Totals
	// published holds the last expected duration of each key in milliseconds.
	published map[Key]float64
	splits    map[ids.Service]activeSplit
}

// Add adds totals. Several of them may have the same key.
func (e *Estimator) Add(totals []Totals) {
	if e.totals == nil {
		e.totals, e.published, e.splits = map[Key]Totals{}, map[Key]float64{}, map[ids.Service]activeSplit{}
	}
	for _, added := range totals {
		e.totals[added.Key] = added.Add(e.totals[added.Key])
	}
}

// Decay lets the totals decay for a time in seconds, and drops keys whose count
// becomes negligible.
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

// Expectations returns the expected durations of the keys with enough requests,
// ordered by key. If there are more than maxExpectations, it returns those with the
// most requests. A duration that hardly changed keeps its last value.
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

// stabilize returns the key's last duration if the new one is close to it, or else
// the new one rounded to whole milliseconds.
func (e *Estimator) stabilize(key Key, durationMS float64) float64 {
	last, known := e.published[key]
	if known && math.Abs(durationMS-last) <= durationTolerance*last {
		return last
	}
	e.published[key] = math.Round(durationMS)
	return e.published[key]
}
