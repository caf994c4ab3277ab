package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"onyxwell/base/ids"
)

// admitPrompts has two kinds of chains: three first parts that many long prompts share,
// and eighty that few short ones do.
func admitPrompts(gate *Balancer, count int, act func(decision *Admission)) {
	for number := range count {
		asking := Request{PromptParts: []string{fmt.Sprint("rare", number%80), fmt.Sprint("thing", number%640), "own"}, PartTokens: 2000}
		if number%6 == 0 {
			asking = Request{PromptParts: []string{fmt.Sprint("common", number%3), fmt.Sprint("book", number%180), "own"}, PartTokens: 12000}
		}
		act(&Admission{request: asking, rarePrefix: gate.hasRarePrefix(asking)})
	}
}

// TestPickByAffinity_rarePrefixesUseFewRunners counts at how many runners each first part
// is read, and how even the load is: hardly less than where every part may be read
// anywhere.
func TestPickByAffinity_rarePrefixesUseFewRunners(t *testing.T) {
	weights := make([]float64, 56)
	for index := range weights {
		weights[index] = 10
	}
	found, gate := newCandidates(weights...), &Balancer{}
	readers := map[string]map[ids.RunnerID]bool{}
	load, anywhere := map[ids.RunnerID]float64{}, map[ids.RunnerID]float64{}
	admitPrompts(gate, 600, func(*Admission) {})
	admitPrompts(gate, 19200, func(decision *Admission) {
		first := decision.request.PromptParts[0]
		key, _ := affinityKey(decision.request.PromptParts)
		chosen := pickByAffinity(decision, found, key).runner.ID
		if readers[first] == nil {
			readers[first] = map[ids.RunnerID]bool{}
		}
		readers[first][chosen] = true
		load[chosen] += decision.request.PartTokens
		anywhere[pickForPart(found, key).runner.ID] += decision.request.PartTokens
	})
	for first, there := range readers {
		if first[0] == 'r' && len(there) > len(found)/subsetDivisor {
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

// TestPickByAffinity_leavesOverloadedSubset has the runners that a rare part belongs to be full.
func TestPickByAffinity_leavesOverloadedSubset(t *testing.T) {
	found := newCandidates(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	decision := &Admission{request: Request{PromptParts: []string{"first", "second", "own"}}, rarePrefix: true}
	belongs := map[ids.RunnerID]bool{}
	for _, able := range prefixSubset(found, "first") {
		belongs[able.runner.ID] = true
	}
	if !belongs[pickByAffinity(decision, found, "second").runner.ID] || len(belongs) != minSubset {
		t.Fatalf("not one of %v", belongs)
	}
	for index := range found {
		if belongs[found[index].runner.ID] {
			found[index].load = 3
		}
	}
	if belongs[pickByAffinity(decision, found, "second").runner.ID] {
		t.Fatal("a full runner gets it though others stand idle")
	}
}

func TestPrefixTracker_forgets(t *testing.T) {
	var kept prefixTracker
	for number := range 40 * prefixHalfLife {
		kept.observe(fmt.Sprint(number), 1000)
	}
	if len(kept.tokens) > maxPrefixes {
		t.Fatalf("%d first parts are remembered", len(kept.tokens))
	}
	if kept.observe("new", 1000) != true || kept.observe("new", kept.total) {
		t.Fatal("a part is not told by its share")
	}
}
