package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"

	"onyxwell/base/ids"
)

// minTokensPerByte is how many tokens must be spared for each byte moved before a
// request goes to another region for the parts that were read there.
const minTokensPerByte = 0.3

// worthCrossRegion tells whether a prompt shares so much that it is cheaper to move the
// request to where its parts were read than to read them in every region.
func worthCrossRegion(asking Request) bool {
	return asking.SharedTokens >= minTokensPerByte*float64(asking.BodyBytes)
}

// affinityKey is the key that keeps like prompts together: the last shared part
// stands for all before it.
func affinityKey(parts []string) (string, bool) {
	if len(parts) < 2 {
		return "", false
	}
	return parts[len(parts)-2], true
}

// pickByAffinity picks the runner for a prompt of shared parts: among all, or, where the
// first part is a rare one, among those that the first part belongs to, so that it
// need not be read at every runner. Where all of these are much fuller than the
// others, all are there to choose from.
func pickByAffinity(decision *Admission, found []candidate, key string) candidate {
	bound := loadBound(found)
	if decision.rarePrefix {
		if chosen, fits := rendezvous(prefixSubset(found, decision.request.PromptParts[0]), key, bound); fits {
			return chosen
		}
	}
	if chosen, fits := rendezvous(found, key, bound); fits {
		return chosen
	}
	return slices.MinFunc(found, func(left, right candidate) int { return cmp.Compare(left.load, right.load) })
}

// hasRarePrefix tells whether the first of several shared parts is a rare one.
func (b *Balancer) hasRarePrefix(asking Request) bool {
	return len(asking.PromptParts) >= minChainedParts && b.prefixes.observe(asking.PromptParts[0], asking.PartTokens)
}

const (
	// minChainedParts is how many parts a prompt has, its own included, whose shared
	// parts form a chain.
	minChainedParts = 3
	// subsetDivisor is the part of the runners, one in so many, that a rare first part
	// belongs to, and minSubset how many these are at least.
	subsetDivisor = 8
	minSubset     = 4
)

// loadBound is the load up to which a runner is no fuller than the others by far.
func loadBound(found []candidate) float64 {
	mean := 0.0
	for _, able := range found {
		mean += able.load / float64(len(found))
	}
	return 1.25*mean + 0.06
}

// prefixSubset gives the runners that a first part belongs to: those that come first by
// weighted rendezvous hashing.
func prefixSubset(found []candidate, first string) []candidate {
	count := max(minSubset, (len(found)+subsetDivisor-1)/subsetDivisor)
	if count >= len(found) {
		return found
	}
	scores := make(map[ids.RunnerID]float64, len(found))
	for _, able := range found {
		scores[able.runner.ID] = rendezvousScore(able, first)
	}
	ordered := slices.Clone(found)
	slices.SortFunc(ordered, func(left, right candidate) int {
		return cmp.Compare(scores[right.runner.ID], scores[left.runner.ID])
	})
	return ordered[:count]
}

// rendezvous picks by weighted rendezvous hashing, so that shares follow the
// weights and a part stays where it was read; a runner that is fuller than the
// bound is passed over for the next in the order. It tells whether there is one
// that is not.
func rendezvous(found []candidate, key string, bound float64) (candidate, bool) {
	best, bestScore := -1, 0.0
	for index, able := range found {
		if able.load > bound {
			continue
		}
		if own := rendezvousScore(able, key); best < 0 || own > bestScore {
			best, bestScore = index, own
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return found[best], true
}

func rendezvousScore(able candidate, key string) float64 {
	return -able.weight / math.Log(hashFraction(key, string(able.runner.ID)))
}

// hashFraction hashes a key and a runner to a number between 0 and 1.
func hashFraction(key string, runner string) float64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(runner))
	mixed := digest.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return (float64(mixed>>11) + 0.5) / (1 << 53)
}

const (
	// rarePrefixShare is the share of the work below which a first part is a rare one: so
	// many of them belong to a runner that its load is about even.
	rarePrefixShare = 1.0 / 64
	// minObservedPrompts is how many prompts must have been seen before any is rare.
	minObservedPrompts = 32
	// forgetShare is the share below which a first part is forgotten.
	forgetShare = rarePrefixShare / 64
	// prefixHalfLife is how many prompts count for about half, maxPrefixes how many first
	// parts are remembered.
	prefixHalfLife = 512
	maxPrefixes    = 4096
)

// prefixTracker remembers how much work lately came with each first part, in tokens.
type prefixTracker struct {
	mu     sync.Mutex
	tokens map[string]float64
	total  float64
	count  float64
}

// observe counts a prompt, and tells whether its first part is a rare one.
func (p *prefixTracker) observe(first string, tokens float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens == nil {
		p.tokens = map[string]float64{}
	}
	if _, known := p.tokens[first]; known || len(p.tokens) < maxPrefixes {
		p.tokens[first] += tokens
	}
	p.total += tokens
	if p.count++; p.count >= 2*prefixHalfLife {
		p.decay()
	}
	return p.count >= minObservedPrompts && p.tokens[first] < rarePrefixShare*p.total
}

// decay halves all that is remembered, and forgets what is hardly there.
func (p *prefixTracker) decay() {
	p.count, p.total = p.count/2, p.total/2
	for first, tokens := range p.tokens {
		if tokens /= 2; tokens < forgetShare*p.total {
			delete(p.tokens, first)
		} else {
			p.tokens[first] = tokens
		}
	}
}
