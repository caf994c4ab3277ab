// Package lengthstats learns from the project's own traffic how long each kind of
// answer takes, and splits the kinds into short and long ones. What it keeps is
// a sketch of fixed size: sums by kind and by powers of two of the prompt's
// length, which are added up zone by zone and forgotten little by little.
package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

// Key is what requests are told apart by before they run: service, route, and
// the power of two of their prompt's tokens. Bucket 0 is an unknown length.
type Key struct {
	Service ids.Service `avro:"Service"`
	Route   string      `avro:"Route"`
	Bucket  int64       `avro:"Bucket"`
}

// SchemaName names the stored and sent form; it must never change.
func (Key) SchemaName() string { return "Kind_24" }

// Totals is what was seen of one kind: how many answers, for how long each ran, how
// many tokens had to be read for them, and how many began slowly.
type Totals struct {
	Key             Key     `avro:"Kind"`
	Count           float64 `avro:"Count"`
	DurationMS      float64 `avro:"SpentMS"`
	Tokens          float64 `avro:"Tokens"`
	SlowFirstTokens float64 `avro:"Slow"`
}

// SchemaName names the stored and sent form; it must never change.
func (Totals) SchemaName() string { return "Sum_24" }

// maxBucket bounds the sketch; the last bucket holds all longer prompts.
const maxBucket = 20

// BucketOf gives the bucket of a prompt's tokens; none or nonsense is unknown.
func BucketOf(tokens float64) int64 {
	if !(tokens >= 1) {
		return 0
	}
	return min(maxBucket, 1+int64(math.Log2(min(tokens, 1<<30))))
}

// Add joins two sums of one kind.
func (t Totals) Add(other Totals) Totals {
	t.Count += other.Count
	t.DurationMS += other.DurationMS
	t.Tokens += other.Tokens
	t.SlowFirstTokens += other.SlowFirstTokens
	return t
}

// Expected is how long answers of a kind are expected to take.
type Expected struct {
	Key        Key     `avro:"Kind"`
	DurationMS float64 `avro:"MS"`
	// Count is on how many answers of late it rests.
	Count float64 `avro:"Count"`
}

// SchemaName names the stored and sent form; it must never change.
func (Expected) SchemaName() string { return "Expected_24" }

const (
	// minPerKey is how many answers an expectation rests on at least, and
	// minPerSplit how many a split does.
	minPerKey   = 6.0
	minPerSplit = 60.0
	// decaySeconds is how long what was seen counts, in seconds: after it a third is left.
	decaySeconds = 30.0
	// maxExpectations bounds the expectations that are told back.
	maxExpectations = 96
	// changeTolerance is by which part an expectation must differ to be told anew.
	changeTolerance = 0.3
)

// Estimator keeps the sums of one region.
type Estimator struct {
	totals    map[Key]Totals
	published map[Key]float64
	splits    map[ids.Service]activeSplit
}

// activeSplit is a split in force, and how much long work there was when it began.
type activeSplit struct {
	Split
	longWork float64
}

// Add adds sums that were seen.
func (e *Estimator) Add(seen []Totals) {
	if e.totals == nil {
		e.totals, e.published, e.splits = map[Key]Totals{}, map[Key]float64{}, map[ids.Service]activeSplit{}
	}
	for _, sum := range seen {
		e.totals[sum.Key] = sum.Add(e.totals[sum.Key])
	}
}

// Decay forgets a part of what was seen.
func (e *Estimator) Decay(seconds float64) {
	part := math.Exp(-seconds / decaySeconds)
	for kind, sum := range e.totals {
		sum.Count, sum.DurationMS, sum.Tokens, sum.SlowFirstTokens = sum.Count*part, sum.DurationMS*part, sum.Tokens*part, sum.SlowFirstTokens*part
		if sum.Count < 0.05 {
			delete(e.totals, kind)
			delete(e.published, kind)
			continue
		}
		e.totals[kind] = sum
	}
}

// Expectations gives the expectations that rest on enough answers, the ones with the
// most answers where there are very many. One that hardly changed stays as told.
func (e *Estimator) Expectations() []Expected {
	var found []Expected
	for kind, sum := range e.totals {
		if sum.Count >= minPerKey {
			found = append(found, Expected{Key: kind, DurationMS: e.stabilize(kind, sum.DurationMS/sum.Count), Count: sum.Count})
		}
	}
	slices.SortFunc(found, func(left, right Expected) int {
		return cmp.Or(cmp.Compare(right.Count, left.Count), compareKeys(left.Key, right.Key))
	})
	found = found[:min(len(found), maxExpectations)]
	for index := range found {
		found[index].Count = 0
	}
	slices.SortFunc(found, func(left, right Expected) int { return compareKeys(left.Key, right.Key) })
	return found
}

func (e *Estimator) stabilize(kind Key, milliseconds float64) float64 {
	before, known := e.published[kind]
	if known && math.Abs(milliseconds-before) <= changeTolerance*before {
		return before
	}
	e.published[kind] = math.Round(milliseconds)
	return e.published[kind]
}

func compareKeys(left Key, right Key) int {
	return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Route, right.Route), cmp.Compare(left.Bucket, right.Bucket))
}
