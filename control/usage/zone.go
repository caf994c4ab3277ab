package usage

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// silenceTimeout is how long after the last message from its relays a zone counts as
	// silent, which means that it is lost or partitioned from the holder.
	silenceTimeout = 2 * time.Second
	// maxPartitionWait is how long decisions wait for a silent zone. The zone may be lost
	// permanently, and the windows of the other zones would never be reported in time.
	maxPartitionWait = time.Minute
)

// zoneState is what a collector knows of one zone.
type zoneState struct {
	// sums holds the sums sent by the zone's relays and those of copies, tally the reports sent
	// by relays of an older build.
	sums  counts
	tally *tally
	// closed is the last window that the zone's routers have closed. It is valid if
	// closedKnown is set.
	closed      int64
	closedKnown bool
	// lastContact is when a relay last sent a message, or when the collector's term started if
	// none has since. contactRegainedAt is when a relay last sent one after the zone had been
	// silent.
	lastContact, contactRegainedAt clock.Instant
}

func newZoneState() *zoneState { return &zoneState{tally: newTally(), sums: counts{}} }

// reset clears what was learned under another fence about closed windows and contact with the
// zone. Counts are kept, as they are valid under every fence.
func (z *zoneState) reset(now clock.Instant) {
	z.closed, z.closedKnown, z.lastContact, z.contactRegainedAt = 0, false, now, 0
}

// recordContact records that a relay sent a message.
func (z *zoneState) recordContact(now clock.Instant) {
	if z.isSilent(now) {
		z.contactRegainedAt = now
	}
	z.lastContact = now
}

func (z *zoneState) isSilent(now clock.Instant) bool {
	return now.Since(z.lastContact) > silenceTimeout
}

// sum returns the counts of a window: the maximum of all sources for each tenant.
func (z *zoneState) sum(window int64) map[ids.Tenant]int64 {
	sum := z.tally.sum(window)
	for tenant, count := range z.sums[window] {
		sum[tenant] = max(sum[tenant], count)
	}
	return sum
}

// mergedCounts returns the counts of the newest maxWindows windows: the maximum of all sources
// for each tenant.
func (z *zoneState) mergedCounts() counts {
	merged := z.tally.sums()
	merged.merge(z.sums.toMessage(), 0)
	merged.keepNewest(maxWindows)
	return merged
}

// isClosed reports whether the zone's routers have closed a window.
func (z *zoneState) isClosed(window int64) bool { return z.closedKnown && z.closed >= window }

// awaitsPartitionedZone reports whether the decision of a window waits for a zone that may be
// partitioned, or was until recently. The routers of such a zone go on counting, and their
// counts become due once the partition has healed and the sides have merged. The caller holds
// c.mu.
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
