package usage

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/duty"
	"onyxwell/control/transport"
)

const (
	// decideLate is the part of the time in which a window falls due after which it is
	// decided with what is known: it leaves time for another holder and two tries.
	decideLate = 0.25
	// horizonWindows is how many windows before the present may be decided: a holder that
	// finds an older log starts there.
	horizonWindows = maxWindows
	// maxPending bounds the decided windows that wait for the platform; the oldest are
	// dropped.
	maxPending = 120
	// retryDivisor is the part of a window, one in so many, that passes after a call that
	// the platform did not take.
	retryDivisor = 10
)

// Options configure a Collector. All are required but Log.
type Options struct {
	Clock clock.Clock
	// Now returns the agreed time since the start of 1970.
	Now func() time.Duration
	// Synced reports whether the time is agreed on.
	Synced func() bool
	// Window is the length of windows; Late is how long after its end a report is due.
	Window, Late time.Duration
	// Merge is how long after a cut the counts of both sides may take to come together; 0
	// is that zones which are cut off are not waited for.
	Merge time.Duration
	// Zones are all zones of the deployment.
	Zones []ids.Zone
	// Held returns the fence of the part of usage, if it is held here.
	Held func() (fence int64, ok bool)
	// Update stores the log.
	Update func(ctx context.Context, key string, update duty.UpdateFunc) ([]byte, error)
	// Copies returns the copies that all controllers keep, as far as they answer.
	Copies func(ctx context.Context) []ZoneCounts
	// CallsPerStep is how many reports may be sent in one step, at least 1.
	CallsPerStep int
	// Call makes a call to the platform.
	Call func(ctx context.Context, fence int64, call duty.Call) (status int, err error)
	Log  *log.Logger
}

// Collector is the holder's side: it gathers the counts of all zones, decides windows in
// order, and reports them. It is safe for concurrent use.
type Collector struct {
	options Options

	mu    sync.Mutex
	fence int64
	// beganAt is when the part was taken up.
	beganAt clock.Instant
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
func NewCollector(options Options) *Collector {
	c := &Collector{options: options, zones: map[ids.Zone]*zoneState{}}
	for _, zone := range options.Zones {
		c.zones[zone] = newZoneState()
	}
	return c
}

// TakeSums takes the sums of a zone over. Two relays of a zone may send what each of them
// knows: one that has not heard of all routers, whose Through is 0, says nothing of what they
// have closed.
func (c *Collector) TakeSums(_ context.Context, req SumsRequest) (CollectResponse, error) {
	return c.take(req.Zone, req.Through, func(zone *zoneState) { zone.sums.merge(req.Windows, c.log.Decided) }), nil
}

// Collect takes the reports of a zone's routers over, from a relay of an older build.
func (c *Collector) Collect(_ context.Context, req CollectRequest) (CollectResponse, error) {
	return c.take(req.Zone, req.Through, func(zone *zoneState) {
		for _, report := range req.Routers {
			zone.tally.merge(report)
		}
	}), nil
}

// take merges what a zone's relay sent.
func (c *Collector) take(name ids.Zone, through int64, merge func(*zoneState)) CollectResponse {
	fence, held := c.options.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	zone := c.zones[name]
	if !held || zone == nil {
		return CollectResponse{}
	}
	c.begin(fence)
	merge(zone)
	zone.heard(c.options.Clock.Now())
	if through > 0 {
		zone.closed, zone.known = through, true
	}
	if !c.loaded {
		return CollectResponse{Holding: true}
	}
	return CollectResponse{Holding: true, Decided: c.log.Decided}
}

// begin drops what was stored and acknowledged under another fence. Counts stay: they hold
// under every fence. The caller holds c.mu.
func (c *Collector) begin(fence int64) {
	if fence == c.fence {
		return
	}
	c.fence, c.loaded, c.beganAt, c.retryAt, c.acknowledged = fence, false, c.options.Clock.Now(), 0, 0
	for _, zone := range c.zones {
		zone.begin(c.beganAt)
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
	c.begin(fence)
	loaded := c.loaded
	c.mu.Unlock()
	if !loaded && !c.load(ctx, fence) {
		return
	}
	c.decide(ctx, fence)
	for call := 0; call < c.options.CallsPerStep && c.reportNext(ctx, fence); call++ {
	}
}

// errOtherLog says that another holder has stored decisions.
var errOtherLog = errors.New("usage: the stored log is another than expected")

// load reads the log, and the copies of zones that may be lost. A log that was never written, or is older than the horizon, starts
// there.
func (c *Collector) load(ctx context.Context, fence int64) bool {
	present := int64(c.options.Now() / c.options.Window)
	value, err := c.options.Update(ctx, LogKey, func(current []byte) ([]byte, error) {
		stored, err := decodeLog(current)
		if err != nil {
			return nil, err
		}
		first := present - horizonWindows
		if stored.Decided == 0 {
			// Nothing ran before the deployment did.
			first = present - 1
		}
		stored.Decided = max(stored.Decided, first)
		return transport.Marshal(stored)
	})
	if err != nil {
		return false
	}
	stored, err := decodeLog(value)
	if err != nil {
		return false
	}
	copies := c.options.Copies(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != fence {
		return false
	}
	c.log, c.loaded = stored, true
	for _, copied := range copies {
		if zone := c.zones[copied.Zone]; zone != nil {
			zone.sums.merge(copied.Windows, stored.Decided)
		}
	}
	c.forget(stored.Decided)
	return true
}

// forget drops the counts of decided windows. The caller holds c.mu.
func (c *Collector) forget(decided int64) {
	for _, zone := range c.zones {
		zone.tally.forget(decided)
		zone.sums.forget(decided)
	}
}

func decodeLog(value []byte) (Log, error) {
	if len(value) == 0 {
		return Log{}, nil
	}
	stored, err := transport.Unmarshal[Log](value)
	if err != nil {
		return Log{}, transport.NewStoredValueError(LogKey, err)
	}
	return stored, nil
}

// decide stores the decisions of all windows that are complete or late.
func (c *Collector) decide(ctx context.Context, fence int64) {
	next, incomplete := c.decisions()
	if len(next.Pending) == 0 {
		return
	}
	expected := c.expectedDecided()
	value, err := c.options.Update(ctx, LogKey, func(current []byte) ([]byte, error) {
		stored, err := decodeLog(current)
		if err != nil {
			return nil, err
		}
		if stored.Decided != expected {
			return nil, errOtherLog
		}
		return transport.Marshal(c.append(stored, next))
	})
	if err != nil {
		c.mu.Lock()
		// What is stored may be either: it is read again.
		c.loaded = false
		c.mu.Unlock()
		return
	}
	stored, err := decodeLog(value)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != fence {
		return
	}
	c.log = stored
	c.forget(stored.Decided)
	c.stats.Decided += int64(len(next.Pending))
	c.stats.Incomplete += incomplete
}

func (c *Collector) expectedDecided() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Decided
}

// append adds decisions to a stored log, without the windows that the platform has taken.
func (c *Collector) append(stored Log, next Log) Log {
	c.mu.Lock()
	acknowledged := c.acknowledged
	c.mu.Unlock()
	result := Log{Decided: next.Decided}
	for _, decision := range append(stored.Pending, next.Pending...) {
		if decision.Window > acknowledged {
			result.Pending = append(result.Pending, decision)
		}
	}
	result.Pending = result.Pending[max(0, len(result.Pending)-maxPending):]
	return result
}

// decisions returns the windows to decide now, in order, and how many of them lack the
// counts of some zone.
func (c *Collector) decisions() (next Log, incomplete int64) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	next.Decided = c.log.Decided
	for window := c.log.Decided + 1; ; window++ {
		end := time.Duration(window+1) * c.options.Window
		complete := c.isClosed(window)
		late := now >= end+time.Duration(decideLate*float64(c.options.Late)) && c.options.Clock.Now().Since(c.beganAt) >= c.options.Late/8
		if now < end || (!complete && (!late || c.awaitsCutZone(window))) {
			return next, incomplete
		}
		body, err := json.Marshal(report{Window: window, Counts: c.sum(window)})
		if err != nil {
			return next, incomplete
		}
		if !complete {
			incomplete++
			c.logIncomplete(window)
		}
		next.Decided, next.Pending = window, append(next.Pending, Decision{Window: window, Body: body})
	}
}

// logIncomplete names the zones without whose counts a window is decided. The caller holds
// c.mu.
func (c *Collector) logIncomplete(window int64) {
	if c.options.Log == nil {
		return
	}
	var missing []string
	for _, zone := range c.options.Zones {
		if !c.zones[zone].isClosed(window) {
			missing = append(missing, string(zone))
		}
	}
	c.options.Log.Info().Str("part", "usage").Int64("window", window).Strs("missing_zones", missing).Int64("fence", c.fence).Msg("window decided without all zones")
}

// isClosed reports whether the routers of all zones have closed a window. The caller
// holds c.mu.
func (c *Collector) isClosed(window int64) bool {
	for _, zone := range c.zones {
		if !zone.isClosed(window) {
			return false
		}
	}
	return true
}

// sum adds the counts of a window up over all zones. The caller holds c.mu.
func (c *Collector) sum(window int64) map[ids.Tenant]int64 {
	total := map[ids.Tenant]int64{}
	for _, zone := range c.zones {
		for tenant, count := range zone.sum(window) {
			total[tenant] += count
		}
	}
	return total
}

// report is the platform's document.
type report struct {
	Window int64                `json:"window_number"`
	Counts map[ids.Tenant]int64 `json:"counts"`
}

// reportNext sends the oldest decided window that the platform has not acknowledged. It
// returns whether there may be another one to send at once.
func (c *Collector) reportNext(ctx context.Context, fence int64) bool {
	decision, ok := c.nextPending()
	if !ok {
		return false
	}
	status, err := c.options.Call(ctx, fence, duty.Call{Path: "/usage", Body: decision.Body})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != fence {
		return false
	}
	if err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices {
		c.acknowledged = max(c.acknowledged, decision.Window)
		c.stats.Reported++
		return true
	}
	c.stats.Failed++
	if err == nil && isFinal(status) {
		// The same bytes would be rejected again, and hold up all later windows.
		c.acknowledged = max(c.acknowledged, decision.Window)
	}
	c.retryAt = c.options.Clock.Now().Add(c.options.Window / retryDivisor)
	if c.options.Log != nil {
		c.options.Log.Warn().Str("part", "usage").Int64("window", decision.Window).Int("status", status).Err(err).Msg("usage report failed")
	}
	return false
}

// isFinal reports whether a status says that the platform takes a report never.
func isFinal(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

func (c *Collector) nextPending() (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Clock.Now().Before(c.retryAt) {
		return Decision{}, false
	}
	for _, decision := range c.log.Pending {
		if decision.Window > c.acknowledged {
			return decision, true
		}
	}
	return Decision{}, false
}

// Stats returns what was done since the start.
func (c *Collector) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
