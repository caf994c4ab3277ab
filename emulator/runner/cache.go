package runner

import (
	"slices"
	"strconv"
	"strings"
	"sync"
)

// cache is a prefix cache of prompt parts, with the least recently used evicted
// first. Sizes are in tokens.
type cache struct {
	mu      sync.Mutex
	limit   float64
	total   float64
	recency []string // the least recently used first
	sizes   map[string]float64
}

// prefill caches a prompt, written ID:TOKENS,ID:TOKENS, and returns how many of
// its tokens had to be prefilled. A cached part saves its tokens only where every
// part before it is cached.
func (c *cache) prefill(model string, prompt string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	uncached, hit := 0.0, true
	for _, part := range strings.Split(prompt, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !ok || err != nil || tokens < 0 {
			continue
		}
		key := model + " " + id
		_, cached := c.sizes[key]
		if hit = hit && cached; !hit {
			uncached += tokens
		}
		c.put(key, tokens)
	}
	return uncached
}

// put adds a part as the most recently used, and evicts others. It requires c.mu.
func (c *cache) put(key string, tokens float64) {
	if c.sizes == nil {
		c.sizes = map[string]float64{}
	}
	if old, ok := c.sizes[key]; ok {
		c.total -= old
		i := slices.Index(c.recency, key)
		c.recency = slices.Delete(c.recency, i, i+1)
	}
	c.sizes[key] = tokens
	c.total += tokens
	c.recency = append(c.recency, key)
	for c.total > c.limit && len(c.recency) > 0 {
		oldest := c.recency[0]
		c.total -= c.sizes[oldest]
		delete(c.sizes, oldest)
		c.recency = c.recency[1:]
	}
}

func (c *cache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
