package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets per doubling of the duration.
	bucketsPerOctave = 4
	// bucketCount covers durations from a millisecond to a minute.
	bucketCount = 16 * bucketsPerOctave
)

// Histogram counts durations in exponential buckets, each starting 19% above the previous
// one, the first at a millisecond. The zero value is empty.
type Histogram struct {
	counts [bucketCount]int64
	total  int64
}

func bucketOf(duration time.Duration) int {
	milliseconds := float64(duration) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(int(math.Log2(milliseconds)*bucketsPerOctave), bucketCount-1)
}

// bucketStart returns the lower bound of a bucket.
func bucketStart(index int) time.Duration {
	return time.Duration(math.Exp2(float64(index)/bucketsPerOctave) * float64(time.Millisecond))
}

// Add counts a duration.
func (h *Histogram) Add(duration time.Duration) {
	h.counts[bucketOf(duration)]++
	h.total++
}

// Merge adds the counts of buckets; those with an index out of range are ignored.
func (h *Histogram) Merge(buckets []Bucket) {
	for _, bucket := range buckets {
		if bucket.Index >= 0 && bucket.Index < bucketCount && bucket.Count > 0 {
			h.counts[bucket.Index] += bucket.Count
			h.total += bucket.Count
		}
	}
}

// Buckets returns the non-empty buckets.
func (h *Histogram) Buckets() []Bucket {
	var buckets []Bucket
	for index, count := range h.counts {
		if count > 0 {
			buckets = append(buckets, Bucket{Index: int64(index), Count: count})
		}
	}
	return buckets
}

// Total returns how many durations were counted.
func (h *Histogram) Total() int64 { return h.total }

// Quantile returns the upper bound of the bucket that holds the q-quantile, 0 if no duration
// was counted.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := int64(math.Ceil(q * float64(h.total)))
	for index, count := range h.counts {
		if rank -= count; rank <= 0 && h.total > 0 {
			return bucketStart(index + 1)
		}
	}
	return 0
}

// Mean returns the mean duration, taking each for the middle of its bucket; 0 if none was
// counted.
func (h *Histogram) Mean() time.Duration {
	if h.total == 0 {
		return 0
	}
	total := 0.0
	for index, count := range h.counts {
		total += float64(count) * float64(bucketStart(index)+bucketStart(index+1)) / 2
	}
	return time.Duration(total / float64(h.total))
}

// Above counts the durations in the buckets above the one that holds limit.
func (h *Histogram) Above(limit time.Duration) int64 {
	return sum(h.counts[min(bucketOf(limit)+1, bucketCount):])
}

func sum(counts []int64) int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

// mergeBuckets returns the sum of two lists of buckets.
func mergeBuckets(first, second []Bucket) []Bucket {
	merged := &Histogram{}
	merged.Merge(first)
	merged.Merge(second)
	return slices.Clip(merged.Buckets())
}
