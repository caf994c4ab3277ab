package autoscaler

import (
	"math/rand/v2"
	"testing"
)

func TestProfile_detectsOverloadAndUnderload(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var normal [][]float64
	for range 80 {
		load := 5 + 3*random.Float64()
		normal = append(normal, []float64{load, load * 2, load + random.NormFloat64()*0.2, load / 4, 300 + load*10, load / 50, load / 50})
	}
	profile := FitProfile(normal)
	if profile == nil {
		t.Fatal("FitProfile returned nil")
	}
	falsePositives := 0
	for _, vector := range normal {
		if profile.Detect(vector) != NoAnomaly {
			falsePositives++
		}
	}
	if falsePositives > 1 {
		t.Errorf("%d of 80 normal vectors detected as anomalies", falsePositives)
	}
	overloaded := []float64{5, 60, 9, 40, 3000, 0.9, 0.9}
	if got := profile.Detect(overloaded); got != Overload {
		t.Errorf("anomaly %v for an overloaded runner", got)
	}
	idle := []float64{6.5, 0.1, 6.5, 0, 20, 0, 0}
	if got := profile.Detect(idle); got != Underload {
		t.Errorf("anomaly %v for an idle runner", got)
	}
	if FitProfile(normal[:minProfileSamples-1]).Detect(overloaded) != NoAnomaly {
		t.Error("a profile was fitted to too few vectors")
	}
}
