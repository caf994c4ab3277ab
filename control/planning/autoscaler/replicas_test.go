package autoscaler

import "testing"

func TestSolveReplicas_coversLoadAtLeastCost(t *testing.T) {
	types := []ReplicaType{{Cost: 1, RateLimit: 10, Max: 4}, {Cost: 3, RateLimit: 10, Max: 4}}
	cases := []struct {
		load float64
		want []float64
	}{{0, []float64{0, 0}}, {35, []float64{4, 0}}, {55, []float64{4, 2}}, {500, []float64{4, 4}}}
	for _, c := range cases {
		got := SolveReplicas(types, c.load)
		if got[0] != c.want[0] || got[1] != c.want[1] {
			t.Errorf("load %v: replicas %v, want %v", c.load, got, c.want)
		}
	}
}
