// Package retrybudget bounds the further tries that one router pays for, so that
// the sum over all routers stays inside the bound whatever they know of each
// other.
package retrybudget

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const bucketCount = 50

// Options are the bounds.
type Options struct {
	Ratio   float64
	Reserve float64
	Window  clock.Span
	// Routers tells among how many routers the extra is shared.
	Routers func() int
	// ReserveFrom is from when on the extra may be spent: a process that was started
	// again does not know what the one before spent in the last window.
	ReserveFrom clock.Instant
}

// Budget counts requests and further tries in a sliding window, per service.
type Budget struct {
	options Options
	mu      sync.Mutex
	windows map[ids.Service]*window
}

type window struct {
	bucket   int64
	requests [bucketCount]float64
	spent    [bucketCount]float64
}

// New makes a budget.
func New(options Options) *Budget {
	return &Budget{options: options, windows: map[ids.Service]*window{}}
}

// AddRequest counts a request for a service.
func (b *Budget) AddRequest(service ids.Service, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := b.advance(service, now)
	counted.requests[counted.bucket%bucketCount]++
}

// TrySpend pays for one further try; false says that there is nothing left.
func (b *Budget) TrySpend(service ids.Service, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := b.advance(service, now)
	requests, spent := 0.0, 0.0
	for index := range bucketCount {
		requests += counted.requests[index]
		spent += counted.spent[index]
	}
	share := b.options.Reserve / float64(max(1, b.options.Routers()))
	if now.Before(b.options.ReserveFrom) {
		share = 0
	}
	if spent+1 > b.options.Ratio*requests+share {
		return false
	}
	counted.spent[counted.bucket%bucketCount]++
	return true
}

// advance moves a service's window on to now. One slice more than the span is
// kept, so that no span of the whole length is counted short.
func (b *Budget) advance(service ids.Service, now clock.Instant) *window {
	length := int64(b.options.Window) / (bucketCount - 1)
	slice := int64(now) / max(1, length)
	counted := b.windows[service]
	if counted == nil {
		counted = &window{bucket: slice}
		b.windows[service] = counted
	}
	for steps := 0; counted.bucket < slice && steps < bucketCount; steps++ {
		counted.bucket++
		counted.requests[counted.bucket%bucketCount] = 0
		counted.spent[counted.bucket%bucketCount] = 0
	}
	counted.bucket = max(counted.bucket, slice)
	return counted
}
