package balancer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"onyxwell/base/ids"
)

// admitPrompts passes admissions of count prompts to visit. Every sixth prompt is long
// and begins with the same common prefix, common0; the others are short and begin with
// one of 80 rare prefixes.
func admitPrompts(b *Balancer, count int, visit func(admission *Admission)) {
	for number := range count {
		req := Request{PromptParts: []string{fmt.Sprint("rare", number%80), fmt.Sprint("thing", number%640), "own"}, PartTokens: 2000}
		if number%6 == 0 {
			req = Request{PromptParts: []string{fmt.Sprint("common", number%3), fmt.Sprint("book", number%180), "own"}, PartTokens: 12000}
		}
		visit(&Admission{request: req, rarePrefix: b.hasRarePrefix(req)})
	}
}

// TestPickByAffinity_rarePrefixesUseFewRunners checks the number of runners that cache
// each prefix: rare prefixes are confined to subsets, common ones are spread widely. The
// maximum load may exceed the one without subsets by at most 25%.
func TestPickByAffinity_rarePrefixesUseFewRunners(t *testing.T) {
	weights := make([]float64, 56)
	for index := range weights {
		weights[index] = 10
	}
	candidates, b := newCandidates(weights...), &Balancer{}
	cachedAt := map[string]map[ids.RunnerID]bool{}
	loads, loadsWithoutSubsets := map[ids.RunnerID]float64{}, map[ids.RunnerID]float64{}
	admitPrompts(b, 600, func(*Admission) {})
	admitPrompts(b, 19200, func(admission *Admission) {
		prefix := admission.request.PromptParts[0]
		key, _ := affinityKey(admission.request.PromptParts)
		chosen := pickByAffinity(admission, candidates, key).runner.ID
		if cachedAt[prefix] == nil {
			cachedAt[prefix] = map[ids.RunnerID]bool{}
		}
		cachedAt[prefix][chosen] = true
		loads[chosen] += admission.request.PartTokens
		loadsWithoutSubsets[pickForPart(candidates, key).runner.ID] += admission.request.PartTokens
	})
	for prefix, runners := range cachedAt {
		if prefix[0] == 'r' && len(runners) > len(candidates)/subsetDivisor {
			t.Errorf("rare prefix %s is cached at %d runners, which exceeds the subset", prefix, len(runners))
		}
		if prefix[0] == 'c' && len(runners) < len(candidates)/3 {
			t.Errorf("common prefix %s is cached at only %d runners", prefix, len(runners))
		}
	}
	maxLoad := func(loads map[ids.RunnerID]float64) float64 { return slices.Max(slices.Collect(maps.Values(loads))) }
	if maxLoad(loads) > 1.25*maxLoad(loadsWithoutSubsets) {
		t.Errorf("the most loaded runner has %.2f times its load without subsets", maxLoad(loads)/maxLoad(loadsWithoutSubsets))
	}
}

// TestPickByAffinity_avoidsOverloadedSubset checks that a rare prefix is served outside
// its subset if all runners of the subset are overloaded.
func TestPickByAffinity_avoidsOverloadedSubset(t *testing.T) {
	candidates := newCandidates(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	admission := &Admission{request: Request{PromptParts: []string{"first", "second", "own"}}, rarePrefix: true}
	inSubset := map[ids.RunnerID]bool{}
	for _, cand := range prefixSubset(candidates, "first") {
		inSubset[cand.runner.ID] = true
	}
	if !inSubset[pickByAffinity(admission, candidates, "second").runner.ID] || len(inSubset) != minSubsetSize {
		t.Fatalf("picked a runner outside the subset, or the subset has the wrong size: %v", inSubset)
	}
	for index := range candidates {
		if inSubset[candidates[index].runner.ID] {
			candidates[index].load = 3
		}
	}
	if inSubset[pickByAffinity(admission, candidates, "second").runner.ID] {
		t.Fatal("picked an overloaded runner although others are idle")
	}
}

func TestPrefixTracker_sizeIsBounded(t *testing.T) {
	var tracker prefixTracker
	for number := range 40 * prefixHalfLife {
		tracker.observe(fmt.Sprint(number), 1000)
	}
	if len(tracker.tokens) > maxPrefixes {
		t.Fatalf("%d prefixes are tracked", len(tracker.tokens))
	}
	if tracker.observe("new", 1000) != true || tracker.observe("new", tracker.total) {
		t.Fatal("whether a prefix is rare does not depend on its share of the work")
	}
}

// TestPrefixTracker_keepsNothingOfTheRequest guards against prefixes of prompts that keep
// the headers that they came in, up to 4,096 of them: what is kept of each has a fixed size.
func TestPrefixTracker_keepsNothingOfTheRequest(t *testing.T) {
	const prompts, maxKeptBytes = 100, 32
	var tracker prefixTracker
	for number := range prompts {
		tracker.observe(fmt.Sprint(number)+strings.Repeat("p", 10_000), 1)
	}
	kept := 0
	for prefix := range tracker.tokens {
		kept += len(fmt.Sprint(prefix))
	}
	if len(tracker.tokens) != prompts || kept > prompts*maxKeptBytes {
		t.Errorf("%d bytes are kept of %d prefixes, want at most %d of %d", kept, len(tracker.tokens), prompts*maxKeptBytes, prompts)
	}
}

// TestParsePromptParts_boundsParts guards against headers of many commas, which took some
// forty times their bytes: a bounded number of parts is kept, and all of their tokens count.
func TestParsePromptParts_boundsParts(t *testing.T) {
	const parts = 100_000
	var req Request
	req.ParsePromptParts(strings.Repeat("a:1,", parts) + "b:2")
	if got := cap(req.PromptParts); got > 2048 {
		t.Errorf("there is room for %d parts, want at most 2,048", got)
	}
	if req.PartTokens != parts+2 || req.SharedTokens != parts {
		t.Errorf("%v tokens, %v of them shared, want %d and %d", req.PartTokens, req.SharedTokens, parts+2, parts)
	}
}
