package counter

import (
	"fmt"
	"math"
	"math/big"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"pgregory.net/rapid"
)

// drawBatches draws the records of three origins. Their IDs overlap and occur with different
// amounts.
func drawBatches(t *rapid.T) []Batch {
	var batches []Batch
	for origin := int64(1); origin <= 3; origin++ {
		builder := batchBuilder{batch: Batch{Origin: origin, First: 1}}
		for range rapid.IntRange(0, 12).Draw(t, "records") {
			counter := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "counter")
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			builder.add(KeyOf(counter, id), counter, rapid.Int64Range(-3, 3).Draw(t, "amount"))
		}
		batches = append(batches, builder.batch)
	}
	return batches
}

// totalsOf returns the expected totals: for each counter the sum of the lowest amounts of
// its keys.
func totalsOf(batches []Batch) map[string]int64 {
	lowest, counters := map[Key]int64{}, map[Key]string{}
	for _, batch := range batches {
		for index := range batch.Len() {
			key, amount := batch.key(index), batch.Amounts[index]
			if known, ok := lowest[key]; !ok || amount < known {
				lowest[key] = amount
			}
			counters[key] = batch.Names[batch.Counters[index]]
		}
	}
	totals := map[string]int64{}
	for key, amount := range lowest {
		totals[counters[key]] += amount
	}
	return totals
}

// TestState_mergeConverges applies the same records once in full batches and once in pieces
// that overlap, repeat and come in any order. Both states must be equal, with each ID
// counted once.
func TestState_mergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches := drawBatches(t)
		whole := NewState()
		for _, batch := range batches {
			whole.Apply(batch)
		}
		pieces := NewState()
		for !vectorOf(pieces.Vector()).covers(vectorOf(whole.Vector())) {
			origin := rapid.Int64Range(1, 3).Draw(t, "origin")
			skip := rapid.Int64Range(0, 12).Draw(t, "skip")
			pieces.Apply(whole.Batch(origin, skip, rapid.IntRange(1, 5).Draw(t, "limit")))
		}
		want := totalsOf(batches)
		for _, counter := range []string{"a", "b", "unknown"} {
			if got := whole.Total(counter); got.Cmp(big.NewInt(want[counter])) != 0 || pieces.Total(counter).Cmp(got) != 0 {
				t.Fatalf("counter %s: total %v from full batches, %v from pieces, want %d", counter, got, pieces.Total(counter), want[counter])
			}
		}
		if !slices.Equal(whole.Vector(), pieces.Vector()) || whole.Len() != pieces.Len() {
			t.Fatalf("vector %v from full batches, %v from pieces", whole.Vector(), pieces.Vector())
		}
	})
}

// TestState_totalsExceed64Bits checks that a total that exceeds an int64 does not overflow.
func TestState_totalsExceed64Bits(t *testing.T) {
	state, builder := NewState(), batchBuilder{batch: Batch{Origin: 1, First: 1}}
	for id := range 4 {
		builder.add(KeyOf("a", fmt.Sprint(id)), "a", math.MaxInt64)
	}
	state.Apply(builder.batch)
	if got := state.Total("a").String(); got != "36893488147419103228" {
		t.Errorf("total %s, want 36893488147419103228", got)
	}
}

// TestBatch_validate checks that batches with inconsistent columns are rejected.
func TestBatch_validate(t *testing.T) {
	valid := Batch{Origin: 1, First: 1, Names: []string{"a"}, Keys: make([]byte, 2*keySize), Counters: []int64{0, 0}, Amounts: []int64{1, 2}}
	if err := valid.validate(); err != nil {
		t.Error(err)
	}
	for name, corrupt := range map[string]func(*Batch){
		"First of 0":       func(b *Batch) { b.First = 0 },
		"short key":        func(b *Batch) { b.Keys = b.Keys[1:] },
		"missing counter":  func(b *Batch) { b.Counters = b.Counters[1:] },
		"unknown counter":  func(b *Batch) { b.Counters = []int64{0, 1} },
		"negative counter": func(b *Batch) { b.Counters = []int64{-1, 0} },
	} {
		invalid := valid
		corrupt(&invalid)
		if invalid.validate() == nil {
			t.Errorf("batch with %s: no error", name)
		}
	}
}

// TestState_keepsNothingOfTheRequest guards against counters that keep the request lines in
// which their names came: a name of two letters may be a part of a whole request.
func TestState_keepsNothingOfTheRequest(t *testing.T) {
	request := "POST /tallies/t3?" + strings.Repeat("x", 1000)
	name := request[len("POST /tallies/"):len("POST /tallies/t3")]
	builder := batchBuilder{batch: Batch{Origin: 1, First: 1}}
	builder.add(KeyOf(name, "id"), name, 1)
	state := NewState()
	state.Apply(builder.batch)
	for _, kept := range state.names {
		if unsafe.StringData(kept) == unsafe.StringData(name) {
			t.Errorf("the name %q is a part of the request", kept)
		}
	}
	for kept := range state.nameIndex {
		if unsafe.StringData(kept) == unsafe.StringData(name) {
			t.Errorf("the key %q is a part of the request", kept)
		}
	}
	if got := state.Total("t3"); got.Int64() != 1 {
		t.Errorf("total %v, want 1", got)
	}
}
