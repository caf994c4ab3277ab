package random

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestSetSource_sameSeedSameDraws draws the same from the same source, and stays in bounds.
func TestSetSource_sameSeedSameDraws(t *testing.T) {
	defer SetSource(nil)
	draw := func() []int {
		SetSource(rand.New(rand.NewPCG(7, 7)).Int64N)
		drawn := []int{IntN(10), IntN(10), int(Duration(100)), int(Duration(0))}
		order := []int{1, 2, 3, 4, 5}
		Shuffle(order)
		return append(drawn, order...)
	}
	first := draw()
	if second := draw(); !slices.Equal(first, second) {
		t.Fatalf("one seed drew %v and %v", first, second)
	}
	SetSource(nil)
	order := slices.Sorted(slices.Values(first[4:]))
	if !slices.Equal(order, []int{1, 2, 3, 4, 5}) {
		t.Fatalf("shuffling lost elements: %v", first[4:])
	}
	for range 100 {
		if drawn := Float64(); drawn < 0 || drawn >= 1 {
			t.Fatalf("a fraction of %v", drawn)
		}
	}
}
