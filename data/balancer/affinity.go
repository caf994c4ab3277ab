package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"

	"onyxwell/base/ids"
)

// worthMoving is how many tokens must be spared for each byte moved before a
// request goes to another region for the parts that were read there.
const worthMoving = 0.3

// travels tells whether a prompt shares so much that it is cheaper to move the
// request to where its parts were read than to read them in every region.
func travels(asking Asking) bool { return asking.Shared >= worthMoving*float64(asking.Bytes) }

// affinity is the key that keeps like prompts together: the last shared part
// stands for all before it.
func affinity(parts []string) (string, bool) {
	if len(parts) < 2 {
		return "", false
	}
	return parts[len(parts)-2], true
}

// keyed picks the runner for a prompt of shared parts: among all, or, where the
// first part is a rare one, among those that the first part belongs to, so that it
// need not be read at every runner. Where all of these are much fuller than the
// others, all are there to choose from.
func keyed(decision *Decision, found []candidate, key string) candidate {
	bound := loadBound(found)
	if decision.rareFirst {
		if chosen, fits := rendezvous(nearest(found, decision.asking.Parts[0]), key, bound); fits {
			return chosen
		}
	}
	if chosen, fits := rendezvous(found, key, bound); fits {
		return chosen
	}
	return slices.MinFunc(found, func(left, right candidate) int { return cmp.Compare(left.load, right.load) })
}

// rareFirst tells whether the first of several shared parts is a rare one.
func (g *Gate) rareFirst(asking Asking) bool {
	return len(asking.Parts) >= fewestChained && g.firsts.rare(asking.Parts[0], asking.Tokens)
}

const (
	// fewestChained is how many parts a prompt has, its own included, whose shared
	// parts form a chain.
	fewestChained = 3
	// subsetPart is the part of the runners, one in so many, that a rare first part
	// belongs to, and fewestSubset how many these are at least.
	subsetPart   = 8
	fewestSubset = 4
)

// loadBound is the load up to which a runner is no fuller than the others by far.
func loadBound(found []candidate) float64 {
	mean := 0.0
	for _, able := range found {
		mean += able.load / float64(len(found))
	}
	return 1.25*mean + 0.06
}

// nearest gives the runners that a first part belongs to: those that come first by
// weighted rendezvous hashing.
func nearest(found []candidate, first string) []candidate {
	count := max(fewestSubset, (len(found)+subsetPart-1)/subsetPart)
	if count >= len(found) {
		return found
	}
	scores := make(map[ids.RunnerID]float64, len(found))
	for _, able := range found {
		scores[able.runner.ID] = score(able, first)
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
		if own := score(able, key); best < 0 || own > bestScore {
			best, bestScore = index, own
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return found[best], true
}

func score(able candidate, key string) float64 {
	return -able.weight / math.Log(fraction(key, string(able.runner.ID)))
}

// fraction hashes a key and a runner to a number between 0 and 1.
func fraction(key string, runner string) float64 {
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
	// rareShare is the share of the work below which a first part is a rare one: so
	// many of them belong to a runner that its load is about even.
	rareShare = 1.0 / 64
	// fewestFirsts is how many prompts must have been seen before any is rare.
	fewestFirsts = 32
	// forgottenShare is the share below which a first part is forgotten.
	forgottenShare = rareShare / 64
	// firstsKept is how many prompts count for about half, mostFirsts how many first
	// parts are remembered.
	firstsKept = 512
	mostFirsts = 4096
)

// firsts remembers how much work lately came with each first part, in tokens.
type firsts struct {
	mu     sync.Mutex
	tokens map[string]float64
	total  float64
	count  float64
}

// rare counts a prompt, and tells whether its first part is a rare one.
func (f *firsts) rare(first string, tokens float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens == nil {
		f.tokens = map[string]float64{}
	}
	if _, known := f.tokens[first]; known || len(f.tokens) < mostFirsts {
		f.tokens[first] += tokens
	}
	f.total += tokens
	if f.count++; f.count >= 2*firstsKept {
		f.age()
	}
	return f.count >= fewestFirsts && f.tokens[first] < rareShare*f.total
}

// age halves all that is remembered, and forgets what is hardly there.
func (f *firsts) age() {
	f.count, f.total = f.count/2, f.total/2
	for first, tokens := range f.tokens {
		if tokens /= 2; tokens < forgottenShare*f.total {
			delete(f.tokens, first)
		} else {
			f.tokens[first] = tokens
		}
	}
}
