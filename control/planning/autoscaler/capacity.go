package autoscaler

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Capacity is what one runner, or one runner of a type, can serve. The symbols
// are those of the ENOVA paper.
type Capacity struct {
	// RateLimit is n_limit, the most requests that finish in a second.
	RateLimit float64
	// ExecutionS is t_limit, the execution time at the rate limit, in seconds.
	ExecutionS float64
	// ConcurrencyLimit is max_num_seqs: RateLimit × ExecutionS.
	ConcurrencyLimit float64
	// MemoryUtilization is the fraction of memory in use at the concurrency limit.
	MemoryUtilization float64
	// Saturated is true if the rate of finished requests did not follow the number
	// of running ones: the limit was reached. Else RateLimit is a lower bound.
	Saturated bool
	// Samples is the number of intervals that the estimate rests on.
	Samples int
}

const (
	// minSamples is the number of intervals that an estimate needs.
	minSamples = 8
	// significance is the level of the t-test.
	significance = 0.05
	// blockSize is the number of intervals in a block, of which only the maximum
	// counts.
	blockSize = 3
	// upperQuantile is the quantile of block maxima that is taken as the limit.
	upperQuantile = 0.95
	// kernelWidth is the factor of Silverman's rule of thumb.
	kernelWidth = 0.9
	// kernelReach is how far beyond the sample a quantile is searched, in kernel
	// widths.
	kernelReach = 4
	// bisections bounds the search for a quantile.
	bisections = 40
)

// EstimateCapacity estimates a capacity from metrics that are equally long and
// ordered by time: requests finished a second, requests running, execution times
// in seconds, and memory utilization. It follows section IV-A-1 of the paper:
// the t-test of a least squares fit decides whether the limit was reached; if so,
// n_limit and t_limit are medians of the samples, else an upper quantile of their
// block maxima; both are smoothed by a kernel density estimate. It returns false
// if there are too few samples, or if nothing finished.
func EstimateCapacity(finished []float64, running []float64, executionS []float64, memoryUtilization []float64) (Capacity, bool) {
	if len(finished) < minSamples {
		return Capacity{Samples: len(finished)}, false
	}
	capacity := Capacity{Samples: len(finished), Saturated: !significantSlope(running, finished)}
	rates, times := finished, positiveValues(executionS)
	quantile := 0.5
	if !capacity.Saturated {
		rates, times = blockMaxima(finished), blockMaxima(times)
		quantile = upperQuantile
	}
	capacity.RateLimit = kdeQuantile(rates, quantile)
	capacity.ExecutionS = kdeQuantile(times, quantile)
	capacity.ConcurrencyLimit = capacity.RateLimit * capacity.ExecutionS
	offset, slope := stat.LinearRegression(running, memoryUtilization, nil, false)
	if !math.IsNaN(slope) {
		capacity.MemoryUtilization = min(1, max(0, offset+slope*capacity.ConcurrencyLimit))
	}
	return capacity, capacity.RateLimit > 0
}

// significantSlope reports whether finished rises with running: the least squares
// slope is positive, and a two-sided t-test rejects that it is 0.
func significantSlope(running []float64, finished []float64) bool {
	count := float64(len(running))
	offset, slope := stat.LinearRegression(running, finished, nil, false)
	sumSquares := stat.Variance(running, nil) * (count - 1)
	if math.IsNaN(slope) || sumSquares <= 0 || count < 3 {
		return false
	}
	residuals := 0.0
	for index := range running {
		residual := finished[index] - offset - slope*running[index]
		residuals += residual * residual
	}
	standardError := math.Sqrt(residuals / (count - 2) / sumSquares)
	if standardError == 0 {
		return slope > 0
	}
	test := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 2}
	return slope > 0 && 2*(1-test.CDF(slope/standardError)) < significance
}

// blockMaxima returns the maximum of each block of consecutive values.
func blockMaxima(values []float64) []float64 {
	var maxima []float64
	for block := range slices.Chunk(values, blockSize) {
		maxima = append(maxima, slices.Max(block))
	}
	return maxima
}

// positiveValues returns the values above 0.
func positiveValues(values []float64) []float64 {
	var positive []float64
	for _, value := range values {
		if value > 0 {
			positive = append(positive, value)
		}
	}
	return positive
}

// kdeQuantile returns a quantile of the Gaussian kernel density estimate of a
// sample, with Silverman's bandwidth 0.9·σ·n^(-1/5). It is 0 for an empty sample
// and never below 0.
func kdeQuantile(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	mean, deviation := stat.MeanStdDev(sorted, nil)
	if len(sorted) < 2 || deviation == 0 {
		return mean
	}
	width := kernelWidth * deviation * math.Pow(float64(len(sorted)), -0.2)
	kernel := distuv.Normal{Mu: 0, Sigma: width}
	low, high := sorted[0]-kernelReach*width, sorted[len(sorted)-1]+kernelReach*width
	for range bisections {
		middle := (low + high) / 2
		cumulative := 0.0
		for _, value := range sorted {
			cumulative += kernel.CDF(middle-value) / float64(len(sorted))
		}
		if cumulative < quantile {
			low = middle
		} else {
			high = middle
		}
	}
	return max(0, (low+high)/2)
}
