// Package retrybudget limits the retries of one router in such a way that the retries of
// all routers together stay within a bound, without communication between the routers.
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

// bucketCount is the number of buckets in the ring of a window: those into which a Window
// is divided, and one more (see advance).
const bucketCount = 50

// Options configure a Budget.
type Options struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Reserve is the number of retries that all routers together may make within a window
	// regardless of the number of requests.
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Routers returns the number of routers among which the reserve is divided.
	Routers func() int
	// ReserveFrom is the time from which the reserve may be spent. A restarted process
	// does not know how much of it the previous one spent within the last window.
	ReserveFrom clock.Instant
}

// Budget counts requests and retries per service in a sliding window. It is safe
// for concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	windows map[ids.Service]*window
}

// window counts the requests and retries for one service in a ring of buckets. newest is the
// number of the newest bucket, counted from time 0.
type window struct {
	newest   int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// New returns a Budget from which nothing has been spent.
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

// TrySpend takes one retry from the budget of a service if one is left, and reports whether
// it did.
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

// advance moves a service's window forward to now and returns it. The ring has one bucket
// more than a Window is divided into, so that it always includes the oldest bucket, which
// lies only partly within the window. The caller holds b.mu.
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
