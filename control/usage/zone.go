package usage

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// silenceTimeout is after how long without a word from its relays a zone is silent: lost or
	// cut off.
	silenceTimeout = 2 * time.Second
	// maxPartitionWait is for how long a silent zone is waited for: it may be lost for good, and
	// the windows of the others would never be reported in time.
	maxPartitionWait = time.Minute
)

// zoneState is what a collector knows of one zone.
type zoneState struct {
	// sums has the sums that its relays sent, and those that a controller kept; tally what
	// relays of an older build sent.
	sums  counts
	tally *tally
	// closed is the last window that its routers have closed; known says that a relay told.
	closed      int64
	closedKnown bool
	// lastContact is when a relay last sent something, contactRegainedAt when one did after a silence.
	lastContact, contactRegainedAt clock.Instant
}

func newZoneState() *zoneState { return &zoneState{tally: newTally(), sums: counts{}} }

// reset forgets what the zone's routers told an earlier holder. Its counts stay: they hold
// under every fence.
func (z *zoneState) reset(now clock.Instant) {
	z.closed, z.closedKnown, z.lastContact, z.contactRegainedAt = 0, false, now, 0
}

// recordContact records that a relay sent something.
func (z *zoneState) recordContact(now clock.Instant) {
	if z.isSilent(now) {
		z.contactRegainedAt = now
	}
	z.lastContact = now
}

func (z *zoneState) isSilent(now clock.Instant) bool {
	return now.Since(z.lastContact) > silenceTimeout
}

// sum returns the counts of a window: each is as high as anybody knows.
func (z *zoneState) sum(window int64) map[ids.Tenant]int64 {
	sum := z.tally.sum(window)
	for tenant, count := range z.sums[window] {
		sum[tenant] = max(sum[tenant], count)
	}
	return sum
}

// mergedCounts returns the counts of mergedCounts windows: each is as high as anybody knows.
func (z *zoneState) mergedCounts() counts {
	merged := z.tally.sums()
	merged.merge(z.sums.toMessage(), 0)
	merged.keepNewest(maxWindows)
	return merged
}

// isClosed reports whether its routers have closed a window.
func (z *zoneState) isClosed(window int64) bool { return z.closedKnown && z.closed >= window }

// awaitsPartitionedZone reports whether a window is left undecided since a zone may be cut off, or
// was until a moment ago: its routers go on counting, and what they counted falls due once
// the sides have come together. The caller holds c.mu.
func (c *Collector) awaitsPartitionedZone(window int64) bool {
	if c.options.MergeTime == 0 {
		return false
	}
	now := c.options.Clock.Now()
	mergeWait := c.options.MergeTime + time.Duration(lateDecisionFraction*float64(c.options.DueAfter))
	for _, zone := range c.zones {
		switch {
		case zone.isClosed(window):
		case zone.isSilent(now) && now.Since(zone.lastContact) <= maxPartitionWait:
			return true
		case !zone.isSilent(now) && now.Since(zone.contactRegainedAt) <= mergeWait:
			return true
		}
	}
	return false
}
