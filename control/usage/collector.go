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
	// Now returns the synchronized time since the Unix epoch.
	Now func() time.Duration
	// Synced reports whether the time is synchronized.
	Synced func() bool
	// Window is the length of a window. The report of a window is due DueAfter after its end.
	Window, DueAfter time.Duration
	// MergeTime is how long the counts of both sides may take to be merged after a network
	// partition has healed. If it is 0, decisions do not wait for partitioned zones.
	MergeTime time.Duration
	// Zones lists all zones of the deployment.
	Zones []ids.Zone
	// Assigned returns the fence of the usage part if it is assigned to this controller. Held
	// does so only once calls for it are permitted, which is some time later.
	Assigned, Held func() (fence int64, ok bool)
	// Update replaces the value of a register key on a majority and returns the stored value.
	Update func(ctx context.Context, key string, update duty.UpdateFunc) ([]byte, error)
	// FetchCopies returns the results of ListCopies of all other controllers that answer.
	FetchCopies func(ctx context.Context) []ZoneCounts
	// CallsPerStep is the maximum number of reports sent in one Step, at least 1.
	CallsPerStep int
	// Call makes a platform call for the usage part.
	Call func(ctx context.Context, fence int64, call duty.Call) (status int, err error)
	Log  *log.Logger
}

// Collector runs on the holder of the usage part: it collects the counts of all zones,
// decides windows in order, and reports them. On other controllers it only keeps copies of
// counts. It is safe for concurrent use.
type Collector struct {
	options CollectorOptions

	mu    sync.Mutex
	fence int64
	// startedAt is when the collector started to work under fence.
	startedAt clock.Instant
	// log is the last known state of the stored log. loaded reports whether it was read under
	// fence.
	log    Log
	loaded bool
	zones  map[ids.Zone]*zoneState
	// acknowledged is the last window that the platform has accepted or finally rejected under
	// fence.
	acknowledged int64
	retryAt      clock.Instant
	stats        Stats
}

// Stats are the counters of a collector.
type Stats struct {
	// Decided and Reported count windows, Incomplete the windows that were decided without
	// all zones, and Failed the calls that the platform did not accept.
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

// ReceiveSums merges the sums of a zone. Several relays of a zone may each send what they
// know. A relay that lacks reports of some routers sends a Through of 0, which does not
// change the zone's last closed window.
func (c *Collector) ReceiveSums(_ context.Context, req SumsRequest) (CollectResponse, error) {
	return c.receive(req.Zone, req.Through, func(zone *zoneState) { zone.sums.merge(req.Windows, c.log.Decided) }), nil
}

// ReceiveReports merges the reports of a zone's routers, as sent by a relay of an older
// build.
func (c *Collector) ReceiveReports(_ context.Context, req CollectRequest) (CollectResponse, error) {
	return c.receive(req.Zone, req.Through, func(zone *zoneState) {
		for _, report := range req.Routers {
			zone.tally.merge(report)
		}
	}), nil
}

// receive merges the counts that a zone's relay sent. Counts are accepted from the moment of
// the assignment, before calls are permitted, since their sender may fail in the meantime.
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

// ReceiveCopy keeps a copy of a zone's sums. Relays send copies if the holder is in their own
// region, since the loss of that region would otherwise lose the counts. Every controller
// accepts copies from relays of other regions.
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

// ListCopies returns all counts that this controller knows: copies, and the counts that it
// received while the usage part was assigned to it.
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

// startTerm resets the state that belongs to another fence, such as the loaded log. Counts
// are kept, as they are valid under every fence. The caller holds c.mu.
func (c *Collector) startTerm(fence int64) {
	if fence == c.fence {
		return
	}
	c.fence, c.loaded, c.startedAt, c.retryAt, c.acknowledged = fence, false, c.options.Clock.Now(), 0, 0
	for _, zone := range c.zones {
		zone.reset(c.startedAt)
	}
}

// Run decides and reports windows until ctx is canceled.
func (c *Collector) Run(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, c.options.Clock, interval) {
		c.Step(ctx)
	}
}

// Step decides the windows that are complete or late, and sends up to CallsPerStep pending
// reports. It does nothing if calls for the usage part are not permitted or the time is not
// synchronized.
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

// Stats returns the counters since the collector was created.
func (c *Collector) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
