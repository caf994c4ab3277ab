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
	// minTokensPerByte is how many shared tokens a request must have per byte of
	// its body before it may go to another region for its prefix.
	minTokensPerByte = 0.3
	// minChainedParts is how many parts, its own included, a prompt has whose shared
	// parts form a chain.
	minChainedParts = 3
	// subsetDivisor and minSubset size the subset that serves a rare prefix: one in
	// so many runners, and at least so many.
	subsetDivisor = 8
	minSubsetSize = 4
	// loadFactor and loadMargin bound a candidate's load in terms of the mean.
	loadFactor = 1.25
	loadMargin = 0.06
)

// affinityKey returns the key that keeps prompts with the same prefix on the same
// runner: the last shared part, which stands for all before it. It reports
// whether there is one.
func affinityKey(parts []string) (string, bool) {
	if len(parts) < 2 {
		return "", false
	}
	return parts[len(parts)-2], true
}

// worthCrossRegion reports whether a prompt shares so much that moving the request
// to where its prefix is cached costs less than prefilling it in every region.
func worthCrossRegion(req Request) bool {
	return req.SharedTokens >= minTokensPerByte*float64(req.BodyBytes)
}

// pickByAffinity picks the runner for a prompt with a shared prefix by rendezvous
// hashing with bounded loads: among the subset that serves the prefix, if it is a
// rare one, so that it need not be cached everywhere; else, or where the subset
// is overloaded, among all. Where all are at the bound, it picks the least loaded.
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

// loadBound returns the load above which affinity does not count.
func loadBound(candidates []candidate) float64 {
	mean := 0.0
	for _, cand := range candidates {
		mean += cand.load / float64(len(candidates))
	}
	return loadFactor*mean + loadMargin
}

// prefixSubset returns the candidates that serve a rare prefix: those with the
// highest rendezvous scores.
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

// rendezvous picks the candidate with the highest rendezvous score among those
// whose load is within the bound; it reports whether there is one. Keys spread in
// proportion to the weights, and a key moves only if its runner goes.
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

// rendezvousScore is -weight / ln(h), the score of weighted rendezvous hashing.
func rendezvousScore(cand candidate, key string) float64 {
	return -cand.weight / math.Log(hashFraction(key, string(cand.runner.ID)))
}

// hashFraction hashes a key and a runner to a number between 0 and 1, by FNV-1a
// with the finalizer of MurmurHash3.
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
	// rarePrefixShare is the share of the work below which a prefix is rare: so many
	// rare ones are served by a runner that its load is about even.
	rarePrefixShare = 1.0 / 64
	// minObservedPrompts is how many prompts must have been observed before any
	// prefix is rare.
	minObservedPrompts = 32
	// minTrackedShare is the share of the work below which a prefix is forgotten.
	minTrackedShare = rarePrefixShare / 64
	// prefixHalfLife is after how many prompts an observation counts for half.
	prefixHalfLife = 512
	// maxPrefixes bounds how many prefixes are tracked.
	maxPrefixes = 4096
)

// hasRarePrefix observes a request and reports whether its prompt is a chain of
// parts that begins with a rare one.
func (b *Balancer) hasRarePrefix(req Request) bool {
	return len(req.PromptParts) >= minChainedParts && b.prefixes.observe(req.PromptParts[0], req.PartTokens)
}

// prefixTracker tracks how much work, in tokens, came lately with each first part
// of a prompt. It is safe for concurrent use; the zero value is ready.
type prefixTracker struct {
	mu     sync.Mutex
	tokens map[string]float64
	// total and count are the tokens and the prompts of all prefixes.
	total float64
	count float64
}

// observe counts a prompt and reports whether its prefix is rare.
func (p *prefixTracker) observe(prefix string, tokens float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens == nil {
		p.tokens = map[string]float64{}
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

// decay halves all observations and forgets the prefixes that hardly count. The
// caller holds mu.
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
