package autoscaler

import (
	"math"
	"math/rand/v2"
	"testing"
)

// syntheticSeries returns the metrics of a runner with between low and high running
// requests. It finishes requests at twice the number of running ones per second, up to a
// rate limit, with some noise.
func syntheticSeries(limit float64, low float64, high float64, count int) (finished, running, executionS, memory []float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		load := low + random.Float64()*(high-low)
		rate := math.Min(load*2, limit) + random.NormFloat64()*0.3
		finished = append(finished, math.Max(0, rate))
		running = append(running, load)
		executionS = append(executionS, math.Max(0.5, load/limit))
		memory = append(memory, load/100)
	}
	return finished, running, executionS, memory
}

func TestEstimateCapacity_saturated(t *testing.T) {
	finished, running, executionS, memory := syntheticSeries(20, 15, 40, 60)
	capacity, ok := EstimateCapacity(finished, running, executionS, memory)
	if !ok || !capacity.Saturated || math.Abs(capacity.RateLimit-20) > 1 {
		t.Fatalf("%+v", capacity)
	}
	if math.Abs(capacity.ConcurrencyLimit-capacity.RateLimit*capacity.ExecutionS) > 1e-9 || math.Abs(capacity.MemoryUtilization-capacity.ConcurrencyLimit/100) > 0.01 {
		t.Fatalf("inconsistent concurrency limit or memory utilization: %+v", capacity)
	}
}

func TestEstimateCapacity_unsaturatedIsLowerBound(t *testing.T) {
	finished, running, executionS, memory := syntheticSeries(1000, 1, 8, 60)
	capacity, ok := EstimateCapacity(finished, running, executionS, memory)
	if !ok || capacity.Saturated || capacity.RateLimit < 14 {
		t.Fatalf("%+v", capacity)
	}
}

func TestEstimateCapacity_tooFewSamples(t *testing.T) {
	finished, running, executionS, memory := syntheticSeries(20, 15, 40, minSamples-1)
	if capacity, ok := EstimateCapacity(finished, running, executionS, memory); ok {
		t.Fatalf("%+v", capacity)
	}
}
