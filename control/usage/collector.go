package usage

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/duty"
)

// CollectorOptions configure a Collector. All are required but Log.
type CollectorOptions struct {
	Clock clock.Clock
	// Now returns the agreed time since the start of 1970.
	Now func() time.Duration
	// Synced reports whether the time is agreed on.
	Synced func() bool
	// Window is the length of windows; DueAfter is how long after its end a report is due.
	Window, DueAfter time.Duration
	// MergeTime is how long after a cut the counts of both sides may take to come together; 0
	// is that zones which are cut off are not waited for.
	MergeTime time.Duration
	// Zones are all zones of the deployment.
	Zones []ids.Zone
	// Assigned returns the fence of the part of usage, if it is assigned here; Held does once
	// its holder may act, which is some time later.
	Assigned, Held func() (fence int64, ok bool)
	// Update stores the log.
	Update func(ctx context.Context, key string, update duty.UpdateFunc) ([]byte, error)
	// FetchCopies returns what GiveCopies of all other controllers gives, as far as they answer.
	FetchCopies func(ctx context.Context) []ZoneCounts
	// CallsPerStep is how many reports may be sent in one step, at least 1.
	CallsPerStep int
	// Call makes a call to the platform.
	Call func(ctx context.Context, fence int64, call duty.Call) (status int, err error)
	Log  *log.Logger
}

// Collector is the holder's side: it gathers the counts of all zones, decides windows in
// order, and reports them. It is safe for concurrent use.
type Collector struct {
	options CollectorOptions

	mu    sync.Mutex
	fence int64
	// startedAt is when the part was taken up.
	startedAt clock.Instant
	// log is the stored one, as known here; loaded says that it was read under fence.
	log    Log
	loaded bool
	zones  map[ids.Zone]*zoneState
	// acknowledged is the last window that the platform has taken from here.
	acknowledged int64
	retryAt      clock.Instant
	stats        Stats
}

// Stats count what a collector did.
type Stats struct {
	// Decided and Reported count windows; Incomplete those that were decided without all
	// zones; Failed the calls that the platform did not take.
	Decided, Incomplete, Reported, Failed int64
}

// NewCollector returns a Collector without counts.
func NewCollector(options CollectorOptions) *Collector {
	c := &Collector{options: options, zones: map[ids.Zone]*zoneState{}}
	for _, zone := range options.Zones {
		c.zones[zone] = newZoneState()
	}
	return c
}

// ReceiveSums takes the sums of a zone over. Two relays of a zone may send what each of them
// knows: one that has not heard of all routers, whose Through is 0, says nothing of what they
// have closed.
func (c *Collector) ReceiveSums(_ context.Context, req SumsRequest) (CollectResponse, error) {
	return c.receive(req.Zone, req.Through, func(zone *zoneState) { zone.sums.merge(req.Windows, c.log.Decided) }), nil
}

// ReceiveReports takes the reports of a zone's routers over, from a relay of an older build.
func (c *Collector) ReceiveReports(_ context.Context, req CollectRequest) (CollectResponse, error) {
	return c.receive(req.Zone, req.Through, func(zone *zoneState) {
		for _, report := range req.Routers {
			zone.tally.merge(report)
		}
	}), nil
}

// receive merges what a zone's relay sent. Counts are taken before the part may be acted for,
// since who has them may be lost meanwhile.
func (c *Collector) receive(name ids.Zone, through int64, merge func(*zoneState)) CollectResponse {
	fence, assigned := c.options.Assigned()
	c.mu.Lock()
	defer c.mu.Unlock()
	zone := c.zones[name]
	if !assigned || zone == nil {
		return CollectResponse{}
	}
	c.startTerm(fence)
	merge(zone)
	zone.recordContact(c.options.Clock.Now())
	if through > 0 {
		zone.closed, zone.closedKnown = through, true
	}
	if !c.loaded {
		return CollectResponse{Holding: true}
	}
	return CollectResponse{Holding: true, Decided: c.log.Decided}
}

// ReceiveCopy keeps the sums of a zone in whose region the holder is, too: where that region is
// lost, nobody else has them. Every controller takes what relays of other regions send it.
func (c *Collector) ReceiveCopy(_ context.Context, copied ZoneCounts) (CopyResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	zone := c.zones[copied.Zone]
	if zone == nil {
		return CopyResponse{}, nil
	}
	zone.sums.merge(copied.Windows, 0)
	zone.sums.keepNewest(maxWindows)
	return CopyResponse{Kept: true}, nil
}

// ListCopies returns the counts of all zones that are known here: copies, and what this
// controller took while it held the part.
func (c *Collector) ListCopies(context.Context, CopiesRequest) (CopiesResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var resp CopiesResponse
	for _, name := range c.options.Zones {
		if windows := c.zones[name].mergedCounts().toMessage(); len(windows) > 0 {
			resp.Zones = append(resp.Zones, ZoneCounts{Zone: name, Windows: windows})
		}
	}
	return resp, nil
}

// startTerm drops what was stored and acknowledged under another fence. Counts stay: they hold
// under every fence. The caller holds c.mu.
func (c *Collector) startTerm(fence int64) {
	if fence == c.fence {
		return
	}
	c.fence, c.loaded, c.startedAt, c.retryAt, c.acknowledged = fence, false, c.options.Clock.Now(), 0, 0
	for _, zone := range c.zones {
		zone.reset(c.startedAt)
	}
}

// Run decides and reports until ctx ends.
func (c *Collector) Run(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, c.options.Clock, interval) {
		c.Step(ctx)
	}
}

// Step decides the windows that are complete or late, and reports some that wait. It does
// nothing where the part is not held.
func (c *Collector) Step(ctx context.Context) {
	fence, held := c.options.Held()
	if !held || !c.options.Synced() {
		return
	}
	c.mu.Lock()
	c.startTerm(fence)
	loaded := c.loaded
	c.mu.Unlock()
	if !loaded && !c.load(ctx, fence) {
		return
	}
	c.decide(ctx, fence)
	for call := 0; call < c.options.CallsPerStep && c.reportNext(ctx, fence); call++ {
	}
}

// Stats returns what was done since the start.
func (c *Collector) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
