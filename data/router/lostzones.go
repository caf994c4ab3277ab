package router

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// lostZoneTracker tracks the zones whose runners this router avoids, because the relay
// of its own zone reports that no member there answers. Periodically one runner of each
// service there is probed, so that the number of probes does not depend on the number of
// runners. Once a runner answers, the zone is used again, even if it is still reported
// as lost. The zero value is ready to use, and its methods are safe for concurrent use.
type lostZoneTracker struct {
	mu    sync.Mutex
	zones map[ids.Zone]*lostZone
	// reported holds the zones that the last update reported as lost.
	reported map[ids.Zone]bool
}

type lostZone struct {
	nextProbe clock.Instant
	probes    int
	// recoveredAt is the time since which the zone is no longer reported as lost, or 0
	// while it is.
	recoveredAt clock.Instant
}

const (
	// maxBackoffDoublings is the maximum number of times that the interval between two
	// probes of a zone doubles.
	maxBackoffDoublings = 2
	// recoveryTimeout is the time after which a zone that is no longer reported as lost
	// is used again even if no probe has succeeded.
	recoveryTimeout = 5 * time.Second
)

// contains reports whether a zone's runners are avoided.
func (l *lostZoneTracker) contains(zone ids.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones[zone] != nil
}

// update sets the zones that are reported as lost. A zone is avoided from its first
// report on. A zone that was removed is not avoided again while it stays reported. It
// returns the zones that are to be removed, since they have not been reported for
// recoveryTimeout.
func (l *lostZoneTracker) update(reported map[ids.Zone]bool, now clock.Instant) []ids.Zone {
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
	var recovered []ids.Zone
	for zone, lost := range l.zones {
		switch {
		case reported[zone]:
			lost.recoveredAt = 0
		case lost.recoveredAt == 0:
			lost.recoveredAt, lost.probes, lost.nextProbe = now, 0, now
		case now.Since(lost.recoveredAt) > recoveryTimeout:
			recovered = append(recovered, zone)
		}
	}
	l.reported = reported
	return recovered
}

// dueProbes returns the zones whose next probe is due and schedules the one after it,
// with exponential backoff that starts at firstInterval.
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

// remove stops avoiding a zone's runners.
func (l *lostZoneTracker) remove(zone ids.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.zones, zone)
}
