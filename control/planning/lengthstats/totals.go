// Package lengthstats learns from observed traffic how long requests take, and
// splits the requests of a service into short and long ones.
//
// Its state is bounded: it keeps one set of sums for each service, route and power
// of two of the prompt length. The sums are additive, so a zone can aggregate the
// reports of its routers. They decay exponentially. docs/lengths.md describes the
// design and the measurements behind it.
package lengthstats

import (
	"cmp"
	"math"

	"onyxwell/base/ids"
)

// Key groups requests that are expected to take equally long. All of its fields are
// known before a request runs.
type Key struct {
	Service ids.Service `avro:"Service"`
	Route   string      `avro:"Route"`
	// Bucket is the bucket of the prompt length; see BucketOf.
	Bucket int64 `avro:"Bucket"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Key) SchemaName() string { return "Kind_24" }

func compareKeys(left Key, right Key) int {
	return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Route, right.Route), cmp.Compare(left.Bucket, right.Bucket))
}

const (
	// maxBucket is the highest bucket, which also holds all longer prompts.
	maxBucket = 20
	// maxTokens bounds a prompt length before its logarithm is taken.
	maxTokens = 1 << 30
)

// BucketOf returns the bucket of a prompt length in tokens: 1 plus the binary
// logarithm, rounded down, and at most maxBucket. It returns 0 for an unknown
// length, which is one below 1 or NaN.
func BucketOf(tokens float64) int64 {
	if !(tokens >= 1) {
		return 0
	}
	return min(maxBucket, 1+int64(math.Log2(min(tokens, maxTokens))))
}

// Totals holds sums over the requests with the same key.
type Totals struct {
	Key Key `avro:"Kind"`
	// Count is the number of requests, DurationMS the sum of their durations.
	Count      float64 `avro:"Count"`
	DurationMS float64 `avro:"SpentMS"`
	// Tokens measures the work: prompt tokens that were not cached.
	Tokens float64 `avro:"Tokens"`
	// SlowFirstTokens is the number of requests whose first token was slow.
	SlowFirstTokens float64 `avro:"Slow"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Totals) SchemaName() string { return "Sum_24" }

// Add returns the sum of two totals with the same key.
func (t Totals) Add(other Totals) Totals {
	t.Count += other.Count
	t.DurationMS += other.DurationMS
	t.Tokens += other.Tokens
	t.SlowFirstTokens += other.SlowFirstTokens
	return t
}

func (t Totals) scale(factor float64) Totals {
	t.Count *= factor
	t.DurationMS *= factor
	t.Tokens *= factor
	t.SlowFirstTokens *= factor
	return t
}

// meanMS returns the mean duration of the requests in milliseconds.
func (t Totals) meanMS() float64 { return t.DurationMS / t.Count }
