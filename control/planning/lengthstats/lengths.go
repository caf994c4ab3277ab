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

// Kind is what requests are told apart by before they run: service, route, and
// the power of two of their prompt's tokens. Bucket 0 is an unknown length.
type Kind struct {
	Service ids.Service `avro:"Service"`
	Route   string      `avro:"Route"`
	Bucket  int64       `avro:"Bucket"`
}

// SchemaName names the stored and sent form; it must never change.
func (Kind) SchemaName() string { return "Kind_24" }

// Sum is what was seen of one kind: how many answers, for how long each ran, how
// many tokens had to be read for them, and how many began slowly.
type Sum struct {
	Kind    Kind    `avro:"Kind"`
	Count   float64 `avro:"Count"`
	SpentMS float64 `avro:"SpentMS"`
	Tokens  float64 `avro:"Tokens"`
	Slow    float64 `avro:"Slow"`
}

// SchemaName names the stored and sent form; it must never change.
func (Sum) SchemaName() string { return "Sum_24" }

// mostBucket bounds the sketch; the last bucket holds all longer prompts.
const mostBucket = 20

// BucketOf gives the bucket of a prompt's tokens; none or nonsense is unknown.
func BucketOf(tokens float64) int64 {
	if !(tokens >= 1) {
		return 0
	}
	return min(mostBucket, 1+int64(math.Log2(min(tokens, 1<<30))))
}

// Plus joins two sums of one kind.
func (s Sum) Plus(other Sum) Sum {
	s.Count += other.Count
	s.SpentMS += other.SpentMS
	s.Tokens += other.Tokens
	s.Slow += other.Slow
	return s
}

// Expected is how long answers of a kind are expected to take.
type Expected struct {
	Kind Kind    `avro:"Kind"`
	MS   float64 `avro:"MS"`
	// Count is on how many answers of late it rests.
	Count float64 `avro:"Count"`
}

// SchemaName names the stored and sent form; it must never change.
func (Expected) SchemaName() string { return "Expected_24" }

const (
	// fewestOfKind is how many answers an expectation rests on at least, and
	// fewestOfAll how many a split does.
	fewestOfKind = 6.0
	fewestOfAll  = 60.0
	// memory is how long what was seen counts, in seconds: after it a third is left.
	memory = 30.0
	// mostTold bounds the expectations that are told back.
	mostTold = 96
	// steady is by which part an expectation must differ to be told anew.
	steady = 0.3
)

// Estimator keeps the sums of one region.
type Estimator struct {
	sums map[Kind]Sum
	told map[Kind]float64
	cuts map[ids.Service]cut
}

// cut is a split in force, and how much long work there was when it began.
type cut struct {
	Split
	long float64
}

// Take adds sums that were seen.
func (e *Estimator) Take(seen []Sum) {
	if e.sums == nil {
		e.sums, e.told, e.cuts = map[Kind]Sum{}, map[Kind]float64{}, map[ids.Service]cut{}
	}
	for _, sum := range seen {
		e.sums[sum.Kind] = sum.Plus(e.sums[sum.Kind])
	}
}

// Age forgets a part of what was seen.
func (e *Estimator) Age(seconds float64) {
	part := math.Exp(-seconds / memory)
	for kind, sum := range e.sums {
		sum.Count, sum.SpentMS, sum.Tokens, sum.Slow = sum.Count*part, sum.SpentMS*part, sum.Tokens*part, sum.Slow*part
		if sum.Count < 0.05 {
			delete(e.sums, kind)
			delete(e.told, kind)
			continue
		}
		e.sums[kind] = sum
	}
}

// Expect gives the expectations that rest on enough answers, the ones with the
// most answers where there are very many. One that hardly changed stays as told.
func (e *Estimator) Expect() []Expected {
	var found []Expected
	for kind, sum := range e.sums {
		if sum.Count >= fewestOfKind {
			found = append(found, Expected{Kind: kind, MS: e.steadied(kind, sum.SpentMS/sum.Count), Count: sum.Count})
		}
	}
	slices.SortFunc(found, func(left, right Expected) int {
		return cmp.Or(cmp.Compare(right.Count, left.Count), compareKinds(left.Kind, right.Kind))
	})
	found = found[:min(len(found), mostTold)]
	for index := range found {
		found[index].Count = 0
	}
	slices.SortFunc(found, func(left, right Expected) int { return compareKinds(left.Kind, right.Kind) })
	return found
}

func (e *Estimator) steadied(kind Kind, milliseconds float64) float64 {
	before, known := e.told[kind]
	if known && math.Abs(milliseconds-before) <= steady*before {
		return before
	}
	e.told[kind] = math.Round(milliseconds)
	return e.told[kind]
}

func compareKinds(left Kind, right Kind) int {
	return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Route, right.Route), cmp.Compare(left.Bucket, right.Bucket))
}
