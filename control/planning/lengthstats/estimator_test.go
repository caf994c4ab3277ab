package lengthstats

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

func key(route string, tokens float64) Key {
	return Key{Service: "s", Route: route, Bucket: BucketOf(tokens)}
}

func newMixedEstimator(short float64, long float64) *Estimator {
	made := &Estimator{}
	made.Add([]Totals{
		{Key: key("check", 1800), Count: short, DurationMS: 130 * short, Tokens: 1800 * short, SlowFirstTokens: 0.2 * short},
		{Key: key("check", 900), Count: short, DurationMS: 100 * short, Tokens: 900 * short},
		{Key: key("manifest", 6600), Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
		{Key: key("manifest", 20000), Count: long, DurationMS: 2400 * long, Tokens: 20000 * long},
	})
	return made
}

func TestSplit_thresholdBetweenClusters(t *testing.T) {
	made := newMixedEstimator(100, 25)
	split, apart := made.Split("s")
	if !apart || split.ThresholdMS < 200 || split.ThresholdMS > 1500 || math.Abs(split.ShortWorkShare-0.29) > 0.01 {
		t.Fatalf("%+v %v", split, apart)
	}
	table := NewTable(made.Expectations(), []Split{split})
	cases := map[Key]Class{
		key("check", 1800): Short, key("manifest", 6600): Long,
		key("never seen", 6600): Long, key("never seen", 900): Short,
		key("check", 0): Unknown, key("check", math.NaN()): Unknown, key("check", 1<<40): Unknown,
	}
	for asked, want := range cases {
		if got := table.Class(asked); got != want {
			t.Errorf("%+v: class %d, not %d", asked, got, want)
		}
	}
	var none *Table
	if none.Class(key("check", 1800)) != Unknown {
		t.Error("without a table there is a class")
	}
}

func TestSplit_noneForFewOrSimilar(t *testing.T) {
	if _, apart := newMixedEstimator(5, 5).Split("s"); apart {
		t.Error("twenty answers are enough")
	}
	if _, apart := newMixedEstimator(1000, 0.5).Split("s"); apart {
		t.Error("a class with hardly any work is one")
	}
	alike := &Estimator{}
	alike.Add([]Totals{{Key: key("a", 100), Count: 200, DurationMS: 20000, Tokens: 1}, {Key: key("b", 5000), Count: 200, DurationMS: 30000, Tokens: 1}})
	if _, apart := alike.Split("s"); apart {
		t.Error("answers that take alike are parted")
	}
}

// TestEstimator_followsTrafficShift has the work shift from long prompts to short
// ones: the parts follow, and what is no longer seen is forgotten.
func TestEstimator_followsTrafficShift(t *testing.T) {
	made := newMixedEstimator(100, 50)
	before, _ := made.Split("s")
	for range 120 {
		made.Decay(1)
		made.Add([]Totals{{Key: key("check", 1800), Count: 20, DurationMS: 2600, Tokens: 36000, SlowFirstTokens: 2}, {Key: key("manifest", 6600), Count: 2, DurationMS: 3200, Tokens: 13200}})
	}
	after, apart := made.Split("s")
	if !apart || after.ShortWorkShare < before.ShortWorkShare+0.3 {
		t.Fatalf("%+v, then %+v", before, after)
	}
	for range 300 {
		made.Decay(1)
	}
	if len(made.Expectations()) != 0 {
		t.Fatal("nothing is ever forgotten")
	}
	if _, apart := made.Split("s"); apart {
		t.Fatal("classes outlive their traffic")
	}
}

// TestEstimator_addIsAssociative adds reports in any grouping.
func TestEstimator_addIsAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apart, together := &Estimator{}, &Estimator{}
		joined := map[Key]Totals{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			sum := Totals{
				Key:   key(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), float64(rapid.IntRange(0, 50000).Draw(t, "tokens"))),
				Count: 1, DurationMS: float64(rapid.IntRange(1, 5000).Draw(t, "spent")), Tokens: 8,
			}
			apart.Add([]Totals{sum})
			joined[sum.Key] = sum.Add(joined[sum.Key])
		}
		for _, sum := range joined {
			together.Add([]Totals{sum})
		}
		if one, other := apart.Expectations(), together.Expectations(); len(one) != len(other) {
			t.Fatalf("%v and %v", one, other)
		}
	})
}

func TestExpectations_smallChangesAreSuppressed(t *testing.T) {
	made := newMixedEstimator(100, 25)
	first := made.Expectations()
	made.Add([]Totals{{Key: key("check", 1800), Count: 20, DurationMS: 3200, Tokens: 1}})
	for index, expected := range made.Expectations() {
		if expected != first[index] {
			t.Fatalf("%+v became %+v", first[index], expected)
		}
	}
}

// TestSplit_hysteresis has short calls begin quickly, then slowly,
// then quickly again: they get runners of their own when they suffer, and keep
// them until the long work has gone back.
func TestSplit_hysteresis(t *testing.T) {
	made := &Estimator{}
	second := func(long float64, slow float64) bool {
		made.Decay(1)
		made.Add([]Totals{
			{Key: key("check", 1800), Count: 30, DurationMS: 3900, Tokens: 54000, SlowFirstTokens: slow},
			{Key: key("manifest", 6600), Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
		})
		_, apart := made.Split("s")
		return apart
	}
	run := func(seconds int, long float64, slow float64) bool {
		apart := false
		for range seconds {
			apart = second(long, slow)
		}
		return apart
	}
	if run(30, 5, 0) {
		t.Fatal("kept apart though nobody suffers")
	}
	if !run(20, 20, 6) {
		t.Fatal("not kept apart though short calls wait behind long work")
	}
	if !run(60, 20, 0) {
		t.Fatal("put together again while the long work is still there")
	}
	if run(120, 3, 0) {
		t.Fatal("kept apart for ever")
	}
}
