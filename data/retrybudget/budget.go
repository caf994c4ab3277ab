// Package retrybudget bounds the further tries that one router pays for, so that
// the sum over all routers stays inside the bound whatever they know of each
// other.
package retrybudget

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const slices = 50

// Options are the bounds.
type Options struct {
	Ratio  float64
	Extra  float64
	Window clock.Span
	// Sharers tells among how many routers the extra is shared.
	Sharers func() int
	// ExtraFrom is from when on the extra may be spent: a process that was started
	// again does not know what the one before spent in the last window.
	ExtraFrom clock.Instant
}

// Budget counts requests and further tries in a sliding window, per service.
type Budget struct {
	options Options
	mu      sync.Mutex
	windows map[ids.Service]*window
}

type window struct {
	slice    int64
	requests [slices]float64
	spent    [slices]float64
}

// New makes a budget.
func New(options Options) *Budget {
	return &Budget{options: options, windows: map[ids.Service]*window{}}
}

// Request counts a request for a service.
func (b *Budget) Request(service ids.Service, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := b.window(service, now)
	counted.requests[counted.slice%slices]++
}

// Spend pays for one further try; false says that there is nothing left.
func (b *Budget) Spend(service ids.Service, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := b.window(service, now)
	requests, spent := 0.0, 0.0
	for index := range slices {
		requests += counted.requests[index]
		spent += counted.spent[index]
	}
	share := b.options.Extra / float64(max(1, b.options.Sharers()))
	if now.Before(b.options.ExtraFrom) {
		share = 0
	}
	if spent+1 > b.options.Ratio*requests+share {
		return false
	}
	counted.spent[counted.slice%slices]++
	return true
}

// window moves a service's window on to now. One slice more than the span is
// kept, so that no span of the whole length is counted short.
func (b *Budget) window(service ids.Service, now clock.Instant) *window {
	length := int64(b.options.Window) / (slices - 1)
	slice := int64(now) / max(1, length)
	counted := b.windows[service]
	if counted == nil {
		counted = &window{slice: slice}
		b.windows[service] = counted
	}
	for steps := 0; counted.slice < slice && steps < slices; steps++ {
		counted.slice++
		counted.requests[counted.slice%slices] = 0
		counted.spent[counted.slice%slices] = 0
	}
	counted.slice = max(counted.slice, slice)
	return counted
}
