package lengthstats

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

func kind(route string, tokens float64) Kind {
	return Kind{Service: "s", Route: route, Bucket: BucketOf(tokens)}
}

func mixed(short float64, long float64) *Estimator {
	made := &Estimator{}
	made.Take([]Sum{
		{Kind: kind("check", 1800), Count: short, SpentMS: 130 * short, Tokens: 1800 * short, Slow: 0.2 * short},
		{Kind: kind("check", 900), Count: short, SpentMS: 100 * short, Tokens: 900 * short},
		{Kind: kind("manifest", 6600), Count: long, SpentMS: 1600 * long, Tokens: 6600 * long},
		{Kind: kind("manifest", 20000), Count: long, SpentMS: 2400 * long, Tokens: 20000 * long},
	})
	return made
}

func TestShortAndLongArePartedWhereTheyLieApart(t *testing.T) {
	made := mixed(100, 25)
	split, apart := made.Split("s")
	if !apart || split.CutMS < 200 || split.CutMS > 1500 || math.Abs(split.ShortPart-0.29) > 0.01 {
		t.Fatalf("%+v %v", split, apart)
	}
	table := NewTable(made.Expect(), []Split{split})
	cases := map[Kind]Class{
		kind("check", 1800): Short, kind("manifest", 6600): Long,
		kind("never seen", 6600): Long, kind("never seen", 900): Short,
		kind("check", 0): Unknown, kind("check", math.NaN()): Unknown, kind("check", 1<<40): Unknown,
	}
	for asked, want := range cases {
		if got := table.Class(asked); got != want {
			t.Errorf("%+v: class %d, not %d", asked, got, want)
		}
	}
	var none *Table
	if none.Class(kind("check", 1800)) != Unknown {
		t.Error("without a table there is a class")
	}
}

func TestAlikeOrFewAnswersAreNotParted(t *testing.T) {
	if _, apart := mixed(5, 5).Split("s"); apart {
		t.Error("twenty answers are enough")
	}
	if _, apart := mixed(1000, 0.5).Split("s"); apart {
		t.Error("a class with hardly any work is one")
	}
	alike := &Estimator{}
	alike.Take([]Sum{{Kind: kind("a", 100), Count: 200, SpentMS: 20000, Tokens: 1}, {Kind: kind("b", 5000), Count: 200, SpentMS: 30000, Tokens: 1}})
	if _, apart := alike.Split("s"); apart {
		t.Error("answers that take alike are parted")
	}
}

// TestTrafficThatShiftsIsFollowed has the work shift from long prompts to short
// ones: the parts follow, and what is no longer seen is forgotten.
func TestTrafficThatShiftsIsFollowed(t *testing.T) {
	made := mixed(100, 50)
	before, _ := made.Split("s")
	for range 120 {
		made.Age(1)
		made.Take([]Sum{{Kind: kind("check", 1800), Count: 20, SpentMS: 2600, Tokens: 36000, Slow: 2}, {Kind: kind("manifest", 6600), Count: 2, SpentMS: 3200, Tokens: 13200}})
	}
	after, apart := made.Split("s")
	if !apart || after.ShortPart < before.ShortPart+0.3 {
		t.Fatalf("%+v, then %+v", before, after)
	}
	for range 300 {
		made.Age(1)
	}
	if len(made.Expect()) != 0 {
		t.Fatal("nothing is ever forgotten")
	}
	if _, apart := made.Split("s"); apart {
		t.Fatal("classes outlive their traffic")
	}
}

// TestSumsOfSumsAreTheSame adds reports in any grouping.
func TestSumsOfSumsAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apart, together := &Estimator{}, &Estimator{}
		joined := map[Kind]Sum{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			sum := Sum{
				Kind:  kind(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), float64(rapid.IntRange(0, 50000).Draw(t, "tokens"))),
				Count: 1, SpentMS: float64(rapid.IntRange(1, 5000).Draw(t, "spent")), Tokens: 8,
			}
			apart.Take([]Sum{sum})
			joined[sum.Kind] = sum.Plus(joined[sum.Kind])
		}
		for _, sum := range joined {
			together.Take([]Sum{sum})
		}
		if one, other := apart.Expect(), together.Expect(); len(one) != len(other) {
			t.Fatalf("%v and %v", one, other)
		}
	})
}

func TestWhatIsToldStaysSteady(t *testing.T) {
	made := mixed(100, 25)
	first := made.Expect()
	made.Take([]Sum{{Kind: kind("check", 1800), Count: 20, SpentMS: 3200, Tokens: 1}})
	for index, expected := range made.Expect() {
		if expected != first[index] {
			t.Fatalf("%+v became %+v", first[index], expected)
		}
	}
}

// TestOnlySufferingCallsAreKeptApart has short calls begin quickly, then slowly,
// then quickly again: they get runners of their own when they suffer, and keep
// them until the long work has gone back.
func TestOnlySufferingCallsAreKeptApart(t *testing.T) {
	made := &Estimator{}
	second := func(long float64, slow float64) bool {
		made.Age(1)
		made.Take([]Sum{
			{Kind: kind("check", 1800), Count: 30, SpentMS: 3900, Tokens: 54000, Slow: slow},
			{Kind: kind("manifest", 6600), Count: long, SpentMS: 1600 * long, Tokens: 6600 * long},
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
