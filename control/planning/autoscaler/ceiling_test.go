package autoscaler

import (
	"math"
	"math/rand/v2"
	"testing"
)

// looks makes a runner's series: it finishes what it runs over its time, up to
// a limit.
func looks(limit float64, low float64, high float64, count int) (finished, running, spent, memory []float64) {
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

func TestLimitReachedIsSeen(t *testing.T) {
	finished, running, spent, memory := looks(20, 15, 40, 60)
	ceiling, enough := Estimate(finished, running, spent, memory)
	if !enough || !ceiling.Reached || math.Abs(ceiling.Limit-20) > 1 {
		t.Fatalf("%+v", ceiling)
	}
	if math.Abs(ceiling.Cap-ceiling.Limit*ceiling.SpentS) > 1e-9 || math.Abs(ceiling.Memory-ceiling.Cap/100) > 0.01 {
		t.Fatalf("the cap or the memory at it is off: %+v", ceiling)
	}
}

func TestLimitNotReachedIsABoundFromBelow(t *testing.T) {
	finished, running, spent, memory := looks(1000, 1, 8, 60)
	ceiling, enough := Estimate(finished, running, spent, memory)
	if !enough || ceiling.Reached || ceiling.Limit < 14 {
		t.Fatalf("%+v", ceiling)
	}
}

func TestTooFewLooksGiveNoCeiling(t *testing.T) {
	finished, running, spent, memory := looks(20, 15, 40, fewestPoints-1)
	if ceiling, enough := Estimate(finished, running, spent, memory); enough {
		t.Fatalf("%+v", ceiling)
	}
}

func TestProgramCoversTheLoadAtLeastCost(t *testing.T) {
	types := []Type{{Score: 1, Limit: 10, Most: 4}, {Score: 3, Limit: 10, Most: 4}}
	cases := []struct {
		load float64
		want []float64
	}{{0, []float64{0, 0}}, {35, []float64{4, 0}}, {55, []float64{4, 2}}, {500, []float64{4, 4}}}
	for _, example := range cases {
		got := Solve(types, example.load)
		if got[0] != example.want[0] || got[1] != example.want[1] {
			t.Errorf("load %v: %v, not %v", example.load, got, example.want)
		}
	}
}

func TestDetectorSeesWhatStandsOut(t *testing.T) {
	chance := rand.New(rand.NewPCG(3, 4))
	var normal [][]float64
	for range 80 {
		load := 5 + 3*chance.Float64()
		normal = append(normal, []float64{load, load * 2, load + chance.NormFloat64()*0.2, load / 4, 300 + load*10, load / 50, load / 50})
	}
	profile := Learn(normal)
	if profile == nil {
		t.Fatal("no profile")
	}
	misses := 0
	for _, vector := range normal {
		if profile.Detect(vector) != Steady {
			misses++
		}
	}
	if misses > 1 {
		t.Errorf("%d of 80 normal looks stand out", misses)
	}
	overloaded := []float64{5, 60, 9, 40, 3000, 0.9, 0.9}
	if got := profile.Detect(overloaded); got != Up {
		t.Errorf("an overloaded runner pulls %v", got)
	}
	idle := []float64{6.5, 0.1, 6.5, 0, 20, 0, 0}
	if got := profile.Detect(idle); got != Down {
		t.Errorf("an idle runner pulls %v", got)
	}
	if Learn(normal[:fewestNormal-1]).Detect(overloaded) != Steady {
		t.Error("too few looks made a profile")
	}
}
