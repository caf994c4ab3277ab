package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"onyxwell/base/ids"
)

// prompts has two kinds of chains: three first parts that many long prompts share,
// and eighty that few short ones do.
func prompts(gate *Gate, count int, act func(decision *Decision)) {
	for number := range count {
		asking := Asking{Parts: []string{fmt.Sprint("rare", number%80), fmt.Sprint("thing", number%640), "own"}, Tokens: 2000}
		if number%6 == 0 {
			asking = Asking{Parts: []string{fmt.Sprint("common", number%3), fmt.Sprint("book", number%180), "own"}, Tokens: 12000}
		}
		act(&Decision{asking: asking, rareFirst: gate.rareFirst(asking)})
	}
}

// TestRareFirstPartsBelongToFewRunners counts at how many runners each first part
// is read, and how even the load is: hardly less than where every part may be read
// anywhere.
func TestRareFirstPartsBelongToFewRunners(t *testing.T) {
	weights := make([]float64, 56)
	for index := range weights {
		weights[index] = 10
	}
	found, gate := some(weights...), &Gate{}
	readers := map[string]map[ids.RunnerID]bool{}
	load, anywhere := map[ids.RunnerID]float64{}, map[ids.RunnerID]float64{}
	prompts(gate, 600, func(*Decision) {})
	prompts(gate, 19200, func(decision *Decision) {
		first := decision.asking.Parts[0]
		key, _ := affinity(decision.asking.Parts)
		chosen := keyed(decision, found, key).runner.ID
		if readers[first] == nil {
			readers[first] = map[ids.RunnerID]bool{}
		}
		readers[first][chosen] = true
		load[chosen] += decision.asking.Tokens
		anywhere[pick(found, key).runner.ID] += decision.asking.Tokens
	})
	for first, there := range readers {
		if first[0] == 'r' && len(there) > len(found)/subsetPart {
			t.Errorf("%s is read at %d runners", first, len(there))
		}
		if first[0] == 'c' && len(there) < len(found)/3 {
			t.Errorf("%s, which much work shares, is at %d runners alone", first, len(there))
		}
	}
	most := func(loads map[ids.RunnerID]float64) float64 { return slices.Max(slices.Collect(maps.Values(loads))) }
	if most(load) > 1.25*most(anywhere) {
		t.Errorf("the fullest runner has %.2f times what it has where parts are read anywhere", most(load)/most(anywhere))
	}
}

// TestFullSubsetIsLeft has the runners that a rare part belongs to be full.
func TestFullSubsetIsLeft(t *testing.T) {
	found := some(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	decision := &Decision{asking: Asking{Parts: []string{"first", "second", "own"}}, rareFirst: true}
	belongs := map[ids.RunnerID]bool{}
	for _, able := range nearest(found, "first") {
		belongs[able.runner.ID] = true
	}
	if !belongs[keyed(decision, found, "second").runner.ID] || len(belongs) != fewestSubset {
		t.Fatalf("not one of %v", belongs)
	}
	for index := range found {
		if belongs[found[index].runner.ID] {
			found[index].load = 3
		}
	}
	if belongs[keyed(decision, found, "second").runner.ID] {
		t.Fatal("a full runner gets it though others stand idle")
	}
}

func TestFirstPartsAreForgotten(t *testing.T) {
	var kept firsts
	for number := range 40 * firstsKept {
		kept.rare(fmt.Sprint(number), 1000)
	}
	if len(kept.tokens) > mostFirsts {
		t.Fatalf("%d first parts are remembered", len(kept.tokens))
	}
	if kept.rare("new", 1000) != true || kept.rare("new", kept.total) {
		t.Fatal("a part is not told by its share")
	}
}
