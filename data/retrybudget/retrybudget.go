// Package retrybudget bounds the retries of one router, so that the sum over all
// routers stays within the bound without their knowing of each other.
//
// Invariant: the retries of all routers for a service within any Window are at
// most Ratio times the requests of that window and the one before, plus Reserve.
package retrybudget

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// bucketCount is into how many buckets a window is divided, the extra one of
// advance included.
const bucketCount = 50

// Options configure a Budget.
type Options struct {
	// Ratio is how many retries are allowed per request.
	Ratio float64
	// Reserve is how many retries are allowed within a window without any request,
	// for all routers together.
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Routers returns among how many routers the reserve is shared.
	Routers func() int
	// ReserveFrom is from when on the reserve may be spent. A restarted process
	// does not know what it spent before within the last window.
	ReserveFrom clock.Instant
}

// Budget counts requests and retries per service in a sliding window. It is safe
// for concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	windows map[ids.Service]*window
}

// window is a ring of buckets; bucket numbers the newest one since time 0.
type window struct {
	newest   int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// New returns a budget of which nothing is spent.
func New(options Options) *Budget {
	return &Budget{options: options, windows: map[ids.Service]*window{}}
}

// AddRequest counts a request for a service.
func (b *Budget) AddRequest(service ids.Service, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	w.requests[w.newest%bucketCount]++
}

// TrySpend takes one retry from the budget of a service; it reports whether there
// was one left.
func (b *Budget) TrySpend(service ids.Service, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	requests, retries := 0.0, 0.0
	for index := range bucketCount {
		requests += w.requests[index]
		retries += w.retries[index]
	}
	if retries+1 > b.options.Ratio*requests+b.reserve(now) {
		return false
	}
	w.retries[w.newest%bucketCount]++
	return true
}

// reserve returns this router's share of the reserve.
func (b *Budget) reserve(now clock.Instant) float64 {
	if now.Before(b.options.ReserveFrom) {
		return 0
	}
	return b.options.Reserve / float64(max(1, b.options.Routers()))
}

// advance moves a service's window on to now and returns it. The ring holds one
// bucket more than a Window lasts, so that the oldest bucket, which is only partly
// inside, is never missing. The caller holds mu.
func (b *Budget) advance(service ids.Service, now clock.Instant) *window {
	bucketLength := int64(b.options.Window) / (bucketCount - 1)
	bucket := int64(now) / max(1, bucketLength)
	w := b.windows[service]
	if w == nil {
		w = &window{newest: bucket}
		b.windows[service] = w
	}
	for cleared := 0; w.newest < bucket && cleared < bucketCount; cleared++ {
		w.newest++
		w.requests[w.newest%bucketCount] = 0
		w.retries[w.newest%bucketCount] = 0
	}
	w.newest = max(w.newest, bucket)
	return w
}
