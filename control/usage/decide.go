package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

const (
	// lateDecisionFraction is the fraction of DueAfter after which an incomplete window is
	// decided with the known counts. The remaining time suffices for a change of the holder
	// and two attempts.
	lateDecisionFraction = 0.25
	// horizonWindows is how many windows before the current one may still be decided. A holder
	// that loads an older log starts there.
	horizonWindows = maxWindows
	// maxPending limits the number of decided windows that wait for the platform. The oldest
	// ones are dropped.
	maxPending = 120
)

// errLogChanged reports that the stored log has changed since it was loaded: another holder
// has stored decisions.
var errLogChanged = errors.New("usage: stored log has changed since it was loaded")

// load reads the stored log, and the copies that other controllers keep of zones that may be
// lost. Windows before the horizon, or before the current window if the log was never written,
// count as decided.
func (c *Collector) load(ctx context.Context, fence int64) bool {
	present := int64(c.options.Now() / c.options.Window)
	value, err := c.options.Update(ctx, LogKey, func(current []byte) ([]byte, error) {
		stored, err := transport.UnmarshalStored[Log](LogKey, current)
		if err != nil {
			return nil, err
		}
		first := present - horizonWindows
		if stored.Decided == 0 {
			// There are no counts from before the deployment was started.
			first = present - 1
		}
		stored.Decided = max(stored.Decided, first)
		return transport.Marshal(stored)
	})
	if err != nil {
		return false
	}
	stored, err := transport.UnmarshalStored[Log](LogKey, value)
	if err != nil {
		return false
	}
	copies := c.options.FetchCopies(ctx)
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
	c.dropDecided(stored.Decided)
	return true
}

// dropDecided drops the counts of all windows up to decided. The caller holds c.mu.
func (c *Collector) dropDecided(decided int64) {
	for _, zone := range c.zones {
		zone.tally.dropThrough(decided)
		zone.sums.dropThrough(decided)
	}
}

// decide decides all windows that are complete or late, and stores the decisions.
func (c *Collector) decide(ctx context.Context, fence int64) {
	next, incomplete := c.nextDecisions()
	if len(next.Pending) == 0 {
		return
	}
	expected := c.lastDecided()
	value, err := c.options.Update(ctx, LogKey, func(current []byte) ([]byte, error) {
		stored, err := transport.UnmarshalStored[Log](LogKey, current)
		if err != nil {
			return nil, err
		}
		if stored.Decided != expected {
			return nil, errLogChanged
		}
		return transport.Marshal(c.append(stored, next))
	})
	if err != nil {
		c.mu.Lock()
		// The decisions may or may not have been stored: the next Step loads the log again.
		c.loaded = false
		c.mu.Unlock()
		return
	}
	stored, err := transport.UnmarshalStored[Log](LogKey, value)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != fence {
		return
	}
	c.log = stored
	c.dropDecided(stored.Decided)
	c.stats.Decided += int64(len(next.Pending))
	c.stats.Incomplete += incomplete
}

func (c *Collector) lastDecided() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Decided
}

// append returns the stored log extended by the decisions of next and without the
// windows that the platform has acknowledged.
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

// nextDecisions returns the decisions that are due now, in the order of windows, and the
// number of those that lack the counts of some zone.
func (c *Collector) nextDecisions() (next Log, incomplete int64) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	next.Decided = c.log.Decided
	for window := c.log.Decided + 1; ; window++ {
		end := time.Duration(window+1) * c.options.Window
		complete := c.isClosed(window)
		late := now >= end+time.Duration(lateDecisionFraction*float64(c.options.DueAfter)) && c.options.Clock.Now().Since(c.startedAt) >= c.options.DueAfter/8
		if now < end || (!complete && (!late || c.awaitsPartitionedZone(window))) {
			return next, incomplete
		}
		body, err := json.Marshal(usageReport{Window: window, Counts: c.sum(window)})
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

// logIncomplete logs that a window is decided without the counts of some zones, and which
// zones these are. The caller holds c.mu.
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

// sum returns the counts of a window summed over all zones. The caller holds c.mu.
func (c *Collector) sum(window int64) map[ids.Tenant]int64 {
	total := map[ids.Tenant]int64{}
	for _, zone := range c.zones {
		for tenant, count := range zone.sum(window) {
			total[tenant] += count
		}
	}
	return total
}

// usageReport is the JSON document that is sent to the platform.
type usageReport struct {
	Window int64                `json:"window_number"`
	Counts map[ids.Tenant]int64 `json:"counts"`
}
