package router

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// lostZoneTracker knows the zones whose runners this router avoids, because no
// member there answers its own zone's relay. One runner of each service there is
// probed now and then: once one answers, the zone is used again, though it may
// still be reported as lost. So the probes of a zone do not grow with its
// runners. The zero value tracks nothing yet; methods may be called at the same
// time.
type lostZoneTracker struct {
	mu    sync.Mutex
	zones map[ids.Zone]*lostZone
	// reported are the zones of the last update.
	reported map[ids.Zone]bool
}

type lostZone struct {
	nextProbe clock.Instant
	probes    int
	// recoveredAt is since when the zone is reported as lost no more; 0 while it is.
	recoveredAt clock.Instant
}

const (
	// maxBackoffDoublings is how often the time between two probes of a zone
	// doubles.
	maxBackoffDoublings = 2
	// recoveryTimeout is how long a zone that is reported as lost no more may be
	// silent before its runners get requests all the same.
	recoveryTimeout = 5 * time.Second
)

// contains returns whether a zone's runners are avoided.
func (l *lostZoneTracker) contains(zone ids.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones[zone] != nil
}

// update takes over which zones are reported as lost. A zone is avoided from its
// first report on; while it stays reported, one that was removed is not again.
func (l *lostZoneTracker) update(reported map[ids.Zone]bool, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones == nil {
		l.zones = map[ids.Zone]*lostZone{}
	}
	for zone := range reported {
		if !l.reported[zone] {
			l.zones[zone] = &lostZone{nextProbe: now}
		}
	}
	for zone, lost := range l.zones {
		switch {
		case reported[zone]:
			lost.recoveredAt = 0
		case lost.recoveredAt == 0:
			lost.recoveredAt, lost.probes, lost.nextProbe = now, 0, now
		case now.Since(lost.recoveredAt) > recoveryTimeout:
			delete(l.zones, zone)
		}
	}
	l.reported = reported
}

// dueProbes returns the zones to probe now, and schedules their next probes with
// exponential backoff from the first interval.
func (l *lostZoneTracker) dueProbes(now clock.Instant, firstInterval time.Duration) []ids.Zone {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []ids.Zone
	for zone, lost := range l.zones {
		if !now.Before(lost.nextProbe) {
			due = append(due, zone)
			lost.nextProbe = now.Add(firstInterval << min(lost.probes, maxBackoffDoublings))
			lost.probes++
		}
	}
	return due
}

// remove has a zone's runners be used again.
func (l *lostZoneTracker) remove(zone ids.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.zones, zone)
}
