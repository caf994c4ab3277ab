package autoscaler

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Capacity is what one runner (or one type) can bear.
type Capacity struct {
	// RateLimit is n_limit, requests finished a second at the most.
	RateLimit float64
	// ExecutionS is t_limit, the execution time at that limit, in seconds.
	ExecutionS float64
	// ConcurrencyLimit is max_num_seqs: n_limit × t_limit.
	ConcurrencyLimit float64
	// MemoryUtilization is the memory utilisation fitted at the cap.
	MemoryUtilization float64
	// Saturated tells that finished did not follow running any more: the limit
	// was reached, and is not only a bound from below.
	Saturated bool
	// Samples is how many looks the estimate rests on.
	Samples int
}

const (
	// fewest looks that an estimate may rest on.
	minSamples = 8
	// significance is the level of the t-test.
	significance = 0.05
	// blockSize is over how many looks a maximum is taken.
	blockSize = 3
	// upperQuantile is the quantile of the estimated density that counts as its limit.
	upperQuantile = 0.95
)

// EstimateCapacity works a ceiling out from finished against running, as the paper
// does in IV-A-1: least squares with a t-test says whether the limit was
// reached; a normal or an extreme value sample, smoothed by a kernel density
// estimate, gives n_limit and t_limit.
func EstimateCapacity(finished []float64, running []float64, spentS []float64, memory []float64) (Capacity, bool) {
	if len(finished) < minSamples {
		return Capacity{Samples: len(finished)}, false
	}
	ceiling := Capacity{Samples: len(finished), Saturated: !significantSlope(running, finished)}
	rates, spans := finished, positiveValues(spentS)
	quantile := 0.5
	if !ceiling.Saturated {
		rates, spans = blockMaxima(finished), blockMaxima(spans)
		quantile = upperQuantile
	}
	ceiling.RateLimit = kdeQuantile(rates, quantile)
	ceiling.ExecutionS = kdeQuantile(spans, quantile)
	ceiling.ConcurrencyLimit = ceiling.RateLimit * ceiling.ExecutionS
	offset, slope := stat.LinearRegression(running, memory, nil, false)
	if !math.IsNaN(slope) {
		ceiling.MemoryUtilization = min(1, max(0, offset+slope*ceiling.ConcurrencyLimit))
	}
	return ceiling, ceiling.RateLimit > 0
}

// significantSlope tests whether finished depends on running: a t-test on the slope of
// the least squares line.
func significantSlope(running []float64, finished []float64) bool {
	count := float64(len(running))
	offset, slope := stat.LinearRegression(running, finished, nil, false)
	spread := stat.Variance(running, nil) * (count - 1)
	if math.IsNaN(slope) || spread <= 0 || count < 3 {
		return false
	}
	rest := 0.0
	for index := range running {
		miss := finished[index] - offset - slope*running[index]
		rest += miss * miss
	}
	deviation := math.Sqrt(rest / (count - 2) / spread)
	if deviation == 0 {
		return slope > 0
	}
	test := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 2}
	return slope > 0 && 2*(1-test.CDF(slope/deviation)) < significance
}

// blockMaxima gives the largest of each block of looks.
func blockMaxima(values []float64) []float64 {
	var largest []float64
	for begin := 0; begin < len(values); begin += blockSize {
		block := values[begin:min(begin+blockSize, len(values))]
		most := block[0]
		for _, value := range block {
			most = max(most, value)
		}
		largest = append(largest, most)
	}
	return largest
}

func positiveValues(values []float64) []float64 {
	var positive []float64
	for _, value := range values {
		if value > 0 {
			positive = append(positive, value)
		}
	}
	return positive
}

// kdeQuantile smooths a sample with Gaussian kernels (Silverman's width) and gives
// the quantile of the estimate.
func kdeQuantile(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	mean, deviation := stat.MeanStdDev(sorted, nil)
	if len(sorted) < 2 || deviation == 0 {
		return mean
	}
	width := 0.9 * deviation * math.Pow(float64(len(sorted)), -0.2)
	kernel := distuv.Normal{Mu: 0, Sigma: width}
	low, high := sorted[0]-4*width, sorted[len(sorted)-1]+4*width
	for range 40 {
		middle := (low + high) / 2
		below := 0.0
		for _, value := range sorted {
			below += kernel.CDF(middle-value) / float64(len(sorted))
		}
		if below < quantile {
			low = middle
		} else {
			high = middle
		}
	}
	return max(0, (low+high)/2)
}
