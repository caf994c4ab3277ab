package replay

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// RouteSummary sums up the requests of one route.
type RouteSummary struct {
	Route    string         `json:"route"`
	Requests int            `json:"count"`
	Statuses map[string]int `json:"statuses"`
	// Incomplete counts the responses that did not arrive, or broke off.
	Incomplete int `json:"broken"`
	// FirstByteP50MS and FirstByteP99MS are quantiles of the time from sending a
	// request to the head of its response, over those that got one.
	FirstByteP50MS float64 `json:"first_p50_ms"`
	FirstByteP99MS float64 `json:"first_p99_ms"`
	firstByteMS    []float64
}

// collector gathers results by route. The zero value is ready.
type collector struct {
	mu     sync.Mutex
	routes map[string]*RouteSummary
}

// add counts a result under its route.
func (c *collector) add(route string, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := c.routes[route]
	if summary == nil {
		summary = &RouteSummary{Route: route, Statuses: map[string]int{}}
		if c.routes == nil {
			c.routes = map[string]*RouteSummary{}
		}
		c.routes[route] = summary
	}
	summary.Requests++
	if r.status > 0 {
		summary.Statuses[fmt.Sprint(r.status)]++
		summary.firstByteMS = append(summary.firstByteMS, float64(r.firstByte)/float64(time.Millisecond))
	}
	if r.err != nil {
		summary.Incomplete++
	}
}

// summarize returns the routes ordered by name.
func (c *collector) summarize() []RouteSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	var summaries []RouteSummary
	for _, summary := range c.routes {
		slices.Sort(summary.firstByteMS)
		summary.FirstByteP50MS, summary.FirstByteP99MS = quantile(summary.firstByteMS, 0.5), quantile(summary.firstByteMS, 0.99)
		summaries = append(summaries, *summary)
	}
	slices.SortFunc(summaries, func(a, b RouteSummary) int { return cmp.Compare(a.Route, b.Route) })
	return summaries
}

// quantile returns the value below which the fraction q of the sorted values
// lies; 0 where there is none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
