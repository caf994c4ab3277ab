package autoscaler

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Capacity is the estimated capacity of one runner, or of any runner of a type. The
// symbols in the comments are those of the ENOVA paper.
type Capacity struct {
	// RateLimit is n_limit, the maximum rate of finished requests per second.
	RateLimit float64
	// ExecutionS is t_limit, the execution time at the rate limit, in seconds.
	ExecutionS float64
	// ConcurrencyLimit is max_num_seqs: RateLimit × ExecutionS.
	ConcurrencyLimit float64
	// MemoryUtilization is the fraction of memory in use at the concurrency limit.
	MemoryUtilization float64
	// Saturated is true if the rate of finished requests did not increase with the
	// number of running ones, which means that the limit was reached. Otherwise
	// RateLimit is only a lower bound.
	Saturated bool
	// Samples is the number of intervals that the estimate is based on.
	Samples int
}

const (
	// minSamples is the minimum number of intervals for an estimate.
	minSamples = 8
	// significance is the significance level of the t-test.
	significance = 0.05
	// blockSize is the number of consecutive intervals in a block, of which only the
	// maximum is used.
	blockSize = 3
	// upperQuantile is the quantile of the block maxima that is used as the limit.
	upperQuantile = 0.95
	// kernelWidth is the factor of Silverman's rule of thumb.
	kernelWidth = 0.9
	// kernelReach is how far beyond the range of the sample a quantile is searched, in
	// kernel widths.
	kernelReach = 4
	// bisections is the number of bisection steps in the search for a quantile.
	bisections = 40
)

// EstimateCapacity estimates a capacity from series of equal length, ordered by time:
// requests finished per second, requests running, execution times in seconds, and
// memory utilization. It follows section IV-A-1 of the paper: a t-test on the slope of
// a least squares fit decides whether the limit was reached. If so, n_limit and
// t_limit are the medians of the samples, otherwise an upper quantile of their block
// maxima. These quantiles are taken from a kernel density estimate. It returns false
// if there are too few samples, or if the rate limit is 0.
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

// significantSlope reports whether finished increases with running: the least squares
// slope is positive, and a two-sided t-test rejects a slope of 0.
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

// positiveValues returns the positive values, in their order.
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
// sample, with Silverman's bandwidth 0.9·σ·n^(-1/5). It returns 0 for an empty sample,
// the mean for a sample without variation, and otherwise never a negative value.
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
