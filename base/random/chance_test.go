package random

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestReplacedSourceFixesTheDraws draws the same from the same source, and stays in bounds.
func TestReplacedSourceFixesTheDraws(t *testing.T) {
	defer Replace(nil)
	draw := func() []int {
		Replace(rand.New(rand.NewPCG(7, 7)).Int64N)
		drawn := []int{Below(10), Below(10), int(Part(100)), int(Part(0))}
		order := []int{1, 2, 3, 4, 5}
		Shuffle(order)
		return append(drawn, order...)
	}
	first := draw()
	if second := draw(); !slices.Equal(first, second) {
		t.Fatalf("one seed drew %v and %v", first, second)
	}
	Replace(nil)
	order := slices.Sorted(slices.Values(first[4:]))
	if !slices.Equal(order, []int{1, 2, 3, 4, 5}) {
		t.Fatalf("shuffling lost elements: %v", first[4:])
	}
	for range 100 {
		if drawn := Fraction(); drawn < 0 || drawn >= 1 {
			t.Fatalf("a fraction of %v", drawn)
		}
	}
}
