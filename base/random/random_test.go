package random

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// drawAll draws with every function from a source of a fixed seed: four numbers,
// then a permutation of 1 to 5.
func drawAll(t *testing.T) []int {
	t.Helper()
	t.Cleanup(func() { SetSource(nil) })
	SetSource(rand.New(rand.NewPCG(7, 7)).Int64N)
	drawn := []int{IntN(10), IntN(10), int(Duration(100)), int(Duration(0))}
	permutation := []int{1, 2, 3, 4, 5}
	Shuffle(permutation)
	return append(drawn, permutation...)
}

func TestSetSource_sameSeedSameDraws(t *testing.T) {
	first := drawAll(t)
	if second := drawAll(t); !slices.Equal(first, second) {
		t.Fatalf("one seed drew %v and %v", first, second)
	}
}

func TestShuffle_keepsElements(t *testing.T) {
	permutation := drawAll(t)[4:]
	if sorted := slices.Sorted(slices.Values(permutation)); !slices.Equal(sorted, []int{1, 2, 3, 4, 5}) {
		t.Fatalf("not a permutation: %v", permutation)
	}
}

func TestFloat64_range(t *testing.T) {
	for range 100 {
		if drawn := Float64(); drawn < 0 || drawn >= 1 {
			t.Fatalf("drew %v", drawn)
		}
	}
}
