package usage

import (
	"context"
	"sync"

	"onyxwell/base/ids"
)

// RelayOptions configure a Relay. All are required.
type RelayOptions struct {
	Zone ids.Zone
	// Routers returns the routers of the zone that are up.
	Routers func() []ids.Address
	// Now returns the agreed time in nanoseconds, 0 where it is not known.
	Now func() int64
	// Collect sends what is undecided to the holder of the part of usage.
	Collect func(ctx context.Context, req CollectRequest) (CollectResponse, error)
}

// Relay passes the counts of a zone's routers on. Every daemon has one; it works while
// routers report to it. It is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu      sync.Mutex
	tally   *tally
	changed bool
}

// NewRelay returns a Relay without counts.
func NewRelay(options RelayOptions) *Relay { return &Relay{options: options, tally: newTally()} }

// Report takes a router's report over.
func (r *Relay) Report(_ context.Context, report RouterReport) (ReportResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.merge(report)
	r.changed = true
	return ReportResponse{UnixNanos: r.options.Now(), Decided: r.tally.decided}, nil
}

// Forward sends what is undecided to the holder, if any router reported since.
func (r *Relay) Forward(ctx context.Context) {
	req, ok := r.request()
	if !ok {
		return
	}
	resp, err := r.options.Collect(ctx, req)
	if err != nil || !resp.Holding {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed = true
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.forget(resp.Decided)
}

func (r *Relay) request() (req CollectRequest, ok bool) {
	routers := r.options.Routers()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return CollectRequest{}, false
	}
	r.changed = false
	up := map[ids.Address]bool{}
	req = CollectRequest{Zone: r.options.Zone, Through: Forever}
	for _, router := range routers {
		up[router] = true
		through, _ := r.tally.through(router)
		req.Through = min(req.Through, through)
	}
	r.tally.drop(func(router ids.Address) bool { return !up[router] })
	req.Routers = r.tally.reports()
	return req, true
}
