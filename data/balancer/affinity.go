package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"

	"onyxwell/base/ids"
)

const (
	// minTokensPerByte is the minimum number of shared tokens per byte of the body for a
	// request that may go to another region for its cached prefix.
	minTokensPerByte = 0.3
	// minChainedParts is the minimum number of parts, including the request's own, of
	// a prompt whose shared parts form a chain.
	minChainedParts = 3
	// subsetDivisor and minSubsetSize determine the size of the subset that serves a
	// rare prefix: 1/subsetDivisor of the runners, but at least minSubsetSize.
	subsetDivisor = 8
	minSubsetSize = 4
	// loadFactor and loadMargin define the load bound of affinity: the mean load times
	// the factor plus the margin.
	loadFactor = 1.25
	loadMargin = 0.06
)

// affinityKey returns the key that routes prompts with the same prefix to the same
// runner, and whether there is one. The key is the id of the last shared part, which
// also identifies all parts before it.
func affinityKey(parts []string) (string, bool) {
	if len(parts) < 2 {
		return "", false
	}
	return parts[len(parts)-2], true
}

// worthCrossRegion reports whether a prompt has so many shared tokens that sending the
// request to the region where its prefix is cached costs less than prefilling the
// prefix in every region.
func worthCrossRegion(req Request) bool {
	return req.SharedTokens >= minTokensPerByte*float64(req.BodyBytes)
}

// pickByAffinity picks the runner for a prompt with a shared prefix by rendezvous
// hashing with bounded loads. For a rare prefix it hashes over the subset that serves
// it, so that only these runners need to cache it. For other prefixes, or if the whole
// subset is overloaded, it hashes over all candidates. If all of them exceed the load
// bound, it picks the least loaded one.
func pickByAffinity(admission *Admission, candidates []candidate, key string) candidate {
	bound := loadBound(candidates)
	if admission.rarePrefix {
		if cand, ok := rendezvous(prefixSubset(candidates, admission.request.PromptParts[0]), key, bound); ok {
			return cand
		}
	}
	if cand, ok := rendezvous(candidates, key, bound); ok {
		return cand
	}
	return slices.MinFunc(candidates, func(left, right candidate) int { return cmp.Compare(left.load, right.load) })
}

// loadBound returns the load above which a candidate is not picked by affinity.
func loadBound(candidates []candidate) float64 {
	mean := 0.0
	for _, cand := range candidates {
		mean += cand.load / float64(len(candidates))
	}
	return loadFactor*mean + loadMargin
}

// prefixSubset returns the candidates that serve a rare prefix, which are those with
// the highest rendezvous scores for it.
func prefixSubset(candidates []candidate, prefix string) []candidate {
	size := max(minSubsetSize, (len(candidates)+subsetDivisor-1)/subsetDivisor)
	if size >= len(candidates) {
		return candidates
	}
	scores := make(map[ids.RunnerID]float64, len(candidates))
	for _, cand := range candidates {
		scores[cand.runner.ID] = rendezvousScore(cand, prefix)
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(left, right candidate) int {
		return cmp.Compare(scores[right.runner.ID], scores[left.runner.ID])
	})
	return ordered[:size]
}

// rendezvous picks the candidate with the highest rendezvous score among those whose
// load is within the bound, and reports whether there is one. Keys are distributed in
// proportion to the weights. When a runner is removed, only its own keys move.
func rendezvous(candidates []candidate, key string, bound float64) (candidate, bool) {
	best, bestScore := -1, 0.0
	for index, cand := range candidates {
		if cand.load > bound {
			continue
		}
		if score := rendezvousScore(cand, key); best < 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return candidates[best], true
}

// rendezvousScore returns -weight / ln(h), the score of weighted rendezvous hashing,
// where h is hashFraction of the key and the runner's id.
func rendezvousScore(cand candidate, key string) float64 {
	return -cand.weight / math.Log(hashFraction(key, string(cand.runner.ID)))
}

// hashFraction hashes a key and a runner id to a number in (0, 1), using FNV-1a with
// the finalizer of MurmurHash3.
func hashFraction(key string, runner string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(runner))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return (float64(mixed>>11) + 0.5) / (1 << 53)
}

const (
	// rarePrefixShare is the share of all work below which a prefix is rare. It is so
	// small that each runner serves many rare prefixes, which evens out the load.
	rarePrefixShare = 1.0 / 64
	// minObservedPrompts is the number of prompts that must have been observed before
	// any prefix counts as rare.
	minObservedPrompts = 32
	// minTrackedShare is the share of all work below which a prefix is no longer
	// tracked.
	minTrackedShare = rarePrefixShare / 64
	// prefixHalfLife is the number of prompts after which the weight of an observation
	// is halved.
	prefixHalfLife = 512
	// maxPrefixes is the maximum number of tracked prefixes.
	maxPrefixes = 4096
)

// hasRarePrefix reports whether the request's prompt has a chain of shared parts that
// begins with a rare one. It records such prompts in the prefix tracker.
func (b *Balancer) hasRarePrefix(req Request) bool {
	return len(req.PromptParts) >= minChainedParts && b.prefixes.observe(req.PromptParts[0], req.PartTokens)
}

// prefixHash stands for a prefix where it outlives its request: the text is a client's, of
// any length, and a part of a header.
type prefixHash uint64

func hashPrefix(prefix string) prefixHash {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prefix))
	return prefixHash(hash.Sum64())
}

// prefixTracker tracks the recent work, in tokens, of each first prompt part. It is safe
// for concurrent use, and its zero value is ready to use.
type prefixTracker struct {
	mu     sync.Mutex
	tokens map[prefixHash]float64
	// total is the number of tokens and count the number of prompts of all prefixes.
	total float64
	count float64
}

// observe records a prompt and reports whether its prefix is rare.
func (p *prefixTracker) observe(text string, tokens float64) bool {
	prefix := hashPrefix(text)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens == nil {
		p.tokens = map[prefixHash]float64{}
	}
	if _, ok := p.tokens[prefix]; ok || len(p.tokens) < maxPrefixes {
		p.tokens[prefix] += tokens
	}
	p.total += tokens
	if p.count++; p.count >= 2*prefixHalfLife {
		p.decay()
	}
	return p.count >= minObservedPrompts && p.tokens[prefix] < rarePrefixShare*p.total
}

// decay halves all counts and drops the prefixes with less than minTrackedShare of the
// work. The caller must hold p.mu.
func (p *prefixTracker) decay() {
	p.count, p.total = p.count/2, p.total/2
	for prefix, tokens := range p.tokens {
		if tokens /= 2; tokens < minTrackedShare*p.total {
			delete(p.tokens, prefix)
		} else {
			p.tokens[prefix] = tokens
		}
	}
}
