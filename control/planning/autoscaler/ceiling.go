package autoscaler

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Ceiling is what one runner (or one type) can bear.
type Ceiling struct {
	// Limit is n_limit, requests finished a second at the most.
	Limit float64
	// SpentS is t_limit, the execution time at that limit, in seconds.
	SpentS float64
	// Cap is max_num_seqs: n_limit × t_limit.
	Cap float64
	// Memory is the memory utilisation fitted at the cap.
	Memory float64
	// Reached tells that finished did not follow running any more: the limit
	// was reached, and is not only a bound from below.
	Reached bool
	// Points is how many looks the estimate rests on.
	Points int
}

const (
	// fewest looks that an estimate may rest on.
	fewestPoints = 8
	// significance is the level of the t-test.
	significance = 0.05
	// blockLength is over how many looks a maximum is taken.
	blockLength = 3
	// upper is the quantile of the estimated density that counts as its limit.
	upper = 0.95
)

// Estimate works a ceiling out from finished against running, as the paper
// does in IV-A-1: least squares with a t-test says whether the limit was
// reached; a normal or an extreme value sample, smoothed by a kernel density
// estimate, gives n_limit and t_limit.
func Estimate(finished []float64, running []float64, spentS []float64, memory []float64) (Ceiling, bool) {
	if len(finished) < fewestPoints {
		return Ceiling{Points: len(finished)}, false
	}
	ceiling := Ceiling{Points: len(finished), Reached: !follows(running, finished)}
	rates, spans := finished, above(spentS)
	quantile := 0.5
	if !ceiling.Reached {
		rates, spans = maxima(finished), maxima(spans)
		quantile = upper
	}
	ceiling.Limit = density(rates, quantile)
	ceiling.SpentS = density(spans, quantile)
	ceiling.Cap = ceiling.Limit * ceiling.SpentS
	offset, slope := stat.LinearRegression(running, memory, nil, false)
	if !math.IsNaN(slope) {
		ceiling.Memory = min(1, max(0, offset+slope*ceiling.Cap))
	}
	return ceiling, ceiling.Limit > 0
}

// follows tests whether finished depends on running: a t-test on the slope of
// the least squares line.
func follows(running []float64, finished []float64) bool {
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

// maxima gives the largest of each block of looks.
func maxima(values []float64) []float64 {
	var largest []float64
	for begin := 0; begin < len(values); begin += blockLength {
		block := values[begin:min(begin+blockLength, len(values))]
		most := block[0]
		for _, value := range block {
			most = max(most, value)
		}
		largest = append(largest, most)
	}
	return largest
}

func above(values []float64) []float64 {
	var positive []float64
	for _, value := range values {
		if value > 0 {
			positive = append(positive, value)
		}
	}
	return positive
}

// density smooths a sample with Gaussian kernels (Silverman's width) and gives
// the quantile of the estimate.
func density(values []float64, quantile float64) float64 {
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
