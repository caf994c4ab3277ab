package autoscaler

import (
	"math"
	"math/rand/v2"
	"testing"
)

// syntheticSeries makes a runner's series: it finishes what it runs over its time, up to
// a limit.
func syntheticSeries(limit float64, low float64, high float64, count int) (finished, running, spent, memory []float64) {
	chance := rand.New(rand.NewPCG(1, 2))
	for range count {
		load := low + chance.Float64()*(high-low)
		done := math.Min(load*2, limit) + chance.NormFloat64()*0.3
		finished = append(finished, math.Max(0, done))
		running = append(running, load)
		spent = append(spent, math.Max(0.5, load/limit))
		memory = append(memory, load/100)
	}
	return finished, running, spent, memory
}

func TestEstimateCapacity_saturated(t *testing.T) {
	finished, running, spent, memory := syntheticSeries(20, 15, 40, 60)
	ceiling, enough := EstimateCapacity(finished, running, spent, memory)
	if !enough || !ceiling.Saturated || math.Abs(ceiling.RateLimit-20) > 1 {
		t.Fatalf("%+v", ceiling)
	}
	if math.Abs(ceiling.ConcurrencyLimit-ceiling.RateLimit*ceiling.ExecutionS) > 1e-9 || math.Abs(ceiling.MemoryUtilization-ceiling.ConcurrencyLimit/100) > 0.01 {
		t.Fatalf("the cap or the memory at it is off: %+v", ceiling)
	}
}

func TestEstimateCapacity_unsaturatedIsLowerBound(t *testing.T) {
	finished, running, spent, memory := syntheticSeries(1000, 1, 8, 60)
	ceiling, enough := EstimateCapacity(finished, running, spent, memory)
	if !enough || ceiling.Saturated || ceiling.RateLimit < 14 {
		t.Fatalf("%+v", ceiling)
	}
}

func TestEstimateCapacity_tooFewSamples(t *testing.T) {
	finished, running, spent, memory := syntheticSeries(20, 15, 40, minSamples-1)
	if ceiling, enough := EstimateCapacity(finished, running, spent, memory); enough {
		t.Fatalf("%+v", ceiling)
	}
}

func TestSolveReplicas_coversLoadAtLeastCost(t *testing.T) {
	types := []ReplicaType{{Cost: 1, RateLimit: 10, Max: 4}, {Cost: 3, RateLimit: 10, Max: 4}}
	cases := []struct {
		load float64
		want []float64
	}{{0, []float64{0, 0}}, {35, []float64{4, 0}}, {55, []float64{4, 2}}, {500, []float64{4, 4}}}
	for _, example := range cases {
		got := SolveReplicas(types, example.load)
		if got[0] != example.want[0] || got[1] != example.want[1] {
			t.Errorf("load %v: %v, not %v", example.load, got, example.want)
		}
	}
}

func TestProfile_detectsOverloadAndUnderload(t *testing.T) {
	chance := rand.New(rand.NewPCG(3, 4))
	var normal [][]float64
	for range 80 {
		load := 5 + 3*chance.Float64()
		normal = append(normal, []float64{load, load * 2, load + chance.NormFloat64()*0.2, load / 4, 300 + load*10, load / 50, load / 50})
	}
	profile := FitProfile(normal)
	if profile == nil {
		t.Fatal("no profile")
	}
	misses := 0
	for _, vector := range normal {
		if profile.Detect(vector) != NoAnomaly {
			misses++
		}
	}
	if misses > 1 {
		t.Errorf("%d of 80 normal looks stand out", misses)
	}
	overloaded := []float64{5, 60, 9, 40, 3000, 0.9, 0.9}
	if got := profile.Detect(overloaded); got != Overload {
		t.Errorf("an overloaded runner pulls %v", got)
	}
	idle := []float64{6.5, 0.1, 6.5, 0, 20, 0, 0}
	if got := profile.Detect(idle); got != Underload {
		t.Errorf("an idle runner pulls %v", got)
	}
	if FitProfile(normal[:minProfileSamples-1]).Detect(overloaded) != NoAnomaly {
		t.Error("too few looks made a profile")
	}
}
