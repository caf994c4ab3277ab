// Package lengthstats learns from the traffic how long requests take, and splits
// those of a service into short and long ones.
//
// Its state is bounded: sums by service, route and power of two of the prompt's
// length. Sums of sums are sums, so zones can add up what their routers report.
// They decay exponentially. docs/lengths.md has the design and its measurements.
package lengthstats

import (
	"cmp"
	"math"

	"onyxwell/base/ids"
)

// Key identifies requests that are taken to be alike before they run.
type Key struct {
	Service ids.Service `avro:"Service"`
	Route   string      `avro:"Route"`
	// Bucket is that of the prompt's length; see BucketOf.
	Bucket int64 `avro:"Bucket"`
}

// SchemaName names the stored and sent form; it must never change.
func (Key) SchemaName() string { return "Kind_24" }

func compareKeys(left Key, right Key) int {
	return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Route, right.Route), cmp.Compare(left.Bucket, right.Bucket))
}

const (
	// maxBucket is that of all longer prompts.
	maxBucket = 20
	// maxTokens bounds a length before its logarithm is taken.
	maxTokens = 1 << 30
)

// BucketOf returns the bucket of a prompt's length in tokens: 1 plus the binary
// logarithm, rounded down. It is 0 for a length that is unknown: below 1, or not a
// number.
func BucketOf(tokens float64) int64 {
	if !(tokens >= 1) {
		return 0
	}
	return min(maxBucket, 1+int64(math.Log2(min(tokens, maxTokens))))
}

// Totals are the sums over the requests with a key.
type Totals struct {
	Key Key `avro:"Kind"`
	// Count is the number of requests, DurationMS the time that they took together.
	Count      float64 `avro:"Count"`
	DurationMS float64 `avro:"SpentMS"`
	// Tokens is the work: prompt tokens that were not cached.
	Tokens float64 `avro:"Tokens"`
	// SlowFirstTokens is the number of requests whose first token was slow.
	SlowFirstTokens float64 `avro:"Slow"`
}

// SchemaName names the stored and sent form; it must never change.
func (Totals) SchemaName() string { return "Sum_24" }

// Add returns the sum of two totals of one key.
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

// meanMS returns the mean duration of the requests.
func (t Totals) meanMS() float64 { return t.DurationMS / t.Count }
