package lengthstats

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
)

func TestMain(m *testing.M) { proptest.Run(m) }

func newKey(route string, tokens float64) Key {
	return Key{Service: "s", Route: route, Bucket: BucketOf(tokens)}
}

// newMixedEstimator returns an estimator that has two keys with fast requests and two
// keys with slow ones. The parameters are the numbers of requests per key.
func newMixedEstimator(short float64, long float64) *Estimator {
	estimator := &Estimator{}
	estimator.Add([]Totals{
		{Key: newKey("check", 1800), Count: short, DurationMS: 130 * short, Tokens: 1800 * short, SlowFirstTokens: 0.2 * short},
		{Key: newKey("check", 900), Count: short, DurationMS: 100 * short, Tokens: 900 * short},
		{Key: newKey("manifest", 6600), Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
		{Key: newKey("manifest", 20000), Count: long, DurationMS: 2400 * long, Tokens: 20000 * long},
	})
	return estimator
}

// TestEstimator_followsTrafficShift shifts the work from long prompts to short ones: the
// work shares must follow, and keys without traffic must be dropped.
func TestEstimator_followsTrafficShift(t *testing.T) {
	estimator := newMixedEstimator(100, 50)
	before, _ := estimator.UpdateSplit("s")
	for range 120 {
		estimator.Decay(1)
		estimator.Add([]Totals{{Key: newKey("check", 1800), Count: 20, DurationMS: 2600, Tokens: 36000, SlowFirstTokens: 2}, {Key: newKey("manifest", 6600), Count: 2, DurationMS: 3200, Tokens: 13200}})
	}
	after, ok := estimator.UpdateSplit("s")
	if !ok || after.ShortWorkShare < before.ShortWorkShare+0.3 {
		t.Fatalf("split before the shift %+v, after it %+v", before, after)
	}
	for range 300 {
		estimator.Decay(1)
	}
	if expectations := estimator.Expectations(); len(expectations) != 0 {
		t.Fatalf("expectations without traffic: %+v", expectations)
	}
	if split, ok := estimator.UpdateSplit("s"); ok {
		t.Fatalf("split without traffic: %+v", split)
	}
}

// TestEstimator_addIsAssociative checks that adding totals one by one or as sums gives
// equally many expected durations.
func TestEstimator_addIsAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		separate, summed := &Estimator{}, &Estimator{}
		sums := map[Key]Totals{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			totals := Totals{
				Key:   newKey(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), float64(rapid.IntRange(0, 50000).Draw(t, "tokens"))),
				Count: 1, DurationMS: float64(rapid.IntRange(1, 5000).Draw(t, "duration")), Tokens: 8,
			}
			separate.Add([]Totals{totals})
			sums[totals.Key] = totals.Add(sums[totals.Key])
		}
		for _, totals := range sums {
			summed.Add([]Totals{totals})
		}
		if want, got := separate.Expectations(), summed.Expectations(); len(want) != len(got) {
			t.Fatalf("expectations from separate totals %v, from summed totals %v", want, got)
		}
	})
}

func TestExpectations_smallChangesAreSuppressed(t *testing.T) {
	estimator := newMixedEstimator(100, 25)
	before := estimator.Expectations()
	estimator.Add([]Totals{{Key: newKey("check", 1800), Count: 20, DurationMS: 3200, Tokens: 1}})
	for index, expected := range estimator.Expectations() {
		if expected != before[index] {
			t.Fatalf("expectation %+v changed to %+v", before[index], expected)
		}
	}
}
