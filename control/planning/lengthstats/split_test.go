package lengthstats

import (
	"math"
	"testing"
)

func TestSplit_thresholdBetweenClusters(t *testing.T) {
	split, ok := newMixedEstimator(100, 25).UpdateSplit("s")
	if !ok || split.ThresholdMS < 200 || split.ThresholdMS > 1500 || math.Abs(split.ShortWorkShare-0.29) > 0.01 {
		t.Fatalf("split %+v, ok %v", split, ok)
	}
}

func TestSplit_noneForFewOrSimilarRequests(t *testing.T) {
	similar := &Estimator{}
	similar.Add([]Totals{{Key: newKey("a", 100), Count: 200, DurationMS: 20000, Tokens: 1}, {Key: newKey("b", 5000), Count: 200, DurationMS: 30000, Tokens: 1}})
	cases := map[string]*Estimator{
		"twenty requests":      newMixedEstimator(5, 5),
		"hardly any long work": newMixedEstimator(1000, 0.5),
		"similar durations":    similar,
	}
	for name, estimator := range cases {
		t.Run(name, func(t *testing.T) {
			if split, ok := estimator.UpdateSplit("s"); ok {
				t.Errorf("unexpected split %+v", split)
			}
		})
	}
}

// TestSplit_hysteresis has short requests be fast, then slow, then fast again: the split
// must start when they become slow, and continue until the work of the long class has
// shrunk.
func TestSplit_hysteresis(t *testing.T) {
	estimator := &Estimator{}
	// run simulates seconds with 30 short requests each. The parameter long is the number
	// of long requests per second, slow that of short ones with a slow first token. It
	// reports whether there is a split at the end.
	run := func(seconds int, long float64, slow float64) bool {
		split := false
		for range seconds {
			estimator.Decay(1)
			estimator.Add([]Totals{
				{Key: newKey("check", 1800), Count: 30, DurationMS: 3900, Tokens: 54000, SlowFirstTokens: slow},
				{Key: newKey("manifest", 6600), Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
			})
			_, split = estimator.UpdateSplit("s")
		}
		return split
	}
	if run(30, 5, 0) {
		t.Fatal("split although no short request is slow")
	}
	if !run(20, 20, 6) {
		t.Fatal("no split although short requests are slow")
	}
	if !run(60, 20, 0) {
		t.Fatal("split ended although the long work has not shrunk")
	}
	if run(120, 3, 0) {
		t.Fatal("split continues although the long work has shrunk")
	}
}
