package usage

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// silentAfter is after how long without a word from its relays a zone is silent: lost or
	// cut off.
	silentAfter = 2 * time.Second
	// longestCut is for how long a silent zone is waited for: it may be lost for good, and
	// the windows of the others would never be reported in time.
	longestCut = time.Minute
)

// zoneState is what a collector knows of one zone.
type zoneState struct {
	// sums has the sums that its relays sent, and those that a controller kept; tally what
	// relays of an older build sent.
	sums  counts
	tally *tally
	// closed is the last window that its routers have closed; known says that a relay told.
	closed int64
	known  bool
	// heardAt is when a relay last sent something, backAt when one did after a silence.
	heardAt, backAt clock.Instant
}

func newZoneState() *zoneState { return &zoneState{tally: newTally(), sums: counts{}} }

// begin forgets what the zone's routers told an earlier holder. Its counts stay: they hold
// under every fence.
func (z *zoneState) begin(now clock.Instant) {
	z.closed, z.known, z.heardAt, z.backAt = 0, false, now, 0
}

// heard records that a relay sent something.
func (z *zoneState) heard(now clock.Instant) {
	if z.isSilent(now) {
		z.backAt = now
	}
	z.heardAt = now
}

func (z *zoneState) isSilent(now clock.Instant) bool { return now.Since(z.heardAt) > silentAfter }

// sum returns the counts of a window: each is as high as anybody knows.
func (z *zoneState) sum(window int64) map[ids.Tenant]int64 {
	sum := z.tally.sum(window)
	for tenant, count := range z.sums[window] {
		sum[tenant] = max(sum[tenant], count)
	}
	return sum
}

// all returns the counts of all windows: each is as high as anybody knows.
func (z *zoneState) all() counts {
	all := z.tally.sums()
	all.merge(z.sums.message(), 0)
	all.keepNewest(maxWindows)
	return all
}

// isClosed reports whether its routers have closed a window.
func (z *zoneState) isClosed(window int64) bool { return z.known && z.closed >= window }

// awaitsCutZone reports whether a window is left undecided since a zone may be cut off, or
// was until a moment ago: its routers go on counting, and what they counted falls due once
// the sides have come together. The caller holds c.mu.
func (c *Collector) awaitsCutZone(window int64) bool {
	if c.options.MergeTime == 0 {
		return false
	}
	now := c.options.Clock.Now()
	patience := c.options.MergeTime + time.Duration(decideLate*float64(c.options.DueAfter))
	for _, zone := range c.zones {
		switch {
		case zone.isClosed(window):
		case zone.isSilent(now) && now.Since(zone.heardAt) <= longestCut:
			return true
		case !zone.isSilent(now) && now.Since(zone.backAt) <= patience:
			return true
		}
	}
	return false
}
