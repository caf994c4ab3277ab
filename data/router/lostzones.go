package router

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/data/snapshot"
)

// lostZoneTracker are the zones whose runners this router leaves alone, because nobody
// there answers its own zone's relay. One runner of each service is tested now and
// then: once one answers, the zone is used again, though it may still be told as
// lost. So the tests of a zone do not grow with its runners.
type lostZoneTracker struct {
	mu       sync.Mutex
	zones    map[ids.Zone]*lostZone
	reported map[ids.Zone]bool
}

type lostZone struct {
	nextProbe clock.Instant
	probes    int
	// recoveredAt is since when the zone is told as lost no more.
	recoveredAt clock.Instant
}

const (
	// maxBackoffDoublings is how often the pause between two tests of a zone doubles.
	maxBackoffDoublings = 2
	// recoveryTimeout is how long a zone that is told as lost no more may be silent
	// before its runners are tried with requests all the same.
	recoveryTimeout = 5 * clock.Second
)

// contains tells whether a zone's runners are left alone.
func (l *lostZoneTracker) contains(zone ids.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones[zone] != nil
}

// update takes over which zones are told as lost.
func (l *lostZoneTracker) update(told map[ids.Zone]bool, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones == nil {
		l.zones = map[ids.Zone]*lostZone{}
	}
	for zone := range told {
		if !l.reported[zone] {
			l.zones[zone] = &lostZone{nextProbe: now}
		}
	}
	for zone, known := range l.zones {
		switch {
		case told[zone]:
			known.recoveredAt = 0
		case known.recoveredAt == 0:
			known.recoveredAt, known.probes, known.nextProbe = now, 0, now
		case now.Since(known.recoveredAt) > recoveryTimeout:
			delete(l.zones, zone)
		}
	}
	l.reported = told
}

// dueProbes gives the zones whose next test is due, and puts the one after it off.
func (l *lostZoneTracker) dueProbes(now clock.Instant, first clock.Span) []ids.Zone {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []ids.Zone
	for zone, known := range l.zones {
		if !now.Before(known.nextProbe) {
			due = append(due, zone)
			known.nextProbe = now.Add(first << min(known.probes, maxBackoffDoublings))
			known.probes++
		}
	}
	return due
}

// remove ends the loss of a zone.
func (l *lostZoneTracker) remove(zone ids.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.zones, zone)
}

// probeLostZones looks after the lost zones.
func (r *Router) probeLostZones(ctx scope.Scope, client *http.Client) {
	seen, now := r.snapshots.Current(), ctx.Now()
	r.lostZones.update(seen.LostZones, now)
	for _, zone := range r.lostZones.dueProbes(now, r.timing.ConnectTimeout/4) {
		for _, runner := range sampleRunners(seen, zone) {
			go r.probeZone(ctx, client, runner)
		}
	}
}

// sampleRunners draws a runner of each service in a zone.
func sampleRunners(seen *snapshot.Snapshot, zone ids.Zone) []*snapshot.Runner {
	var drawn []*snapshot.Runner
	for _, runners := range seen.Runners {
		var there []*snapshot.Runner
		for _, runner := range runners {
			if runner.Zone == zone && seen.Available(runner) {
				there = append(there, runner)
			}
		}
		if len(there) > 0 {
			drawn = append(drawn, there[rand.N(len(there))])
		}
	}
	return drawn
}

// probeZone asks a runner of a lost zone whether it is there. Where it started anew,
// all of its service in the zone count as cold for as long as it does.
func (r *Router) probeZone(ctx scope.Scope, client *http.Client, runner *snapshot.Runner) {
	seen := r.snapshots.Current()
	if seen.Config == nil || seen.Config.Service(runner.Service) == nil {
		return
	}
	told, err := r.checkHealth(ctx, client, seen, runner)
	if err != nil || told.unhealthy {
		return
	}
	now := ctx.Now()
	for _, mate := range seen.Runners[runner.Service] {
		if mate.Zone == runner.Zone && told.warmupLeft > 0 {
			r.slowStart.Extend(mate.ID, now.Add(told.warmupLeft), now)
		}
	}
	r.lostZones.remove(runner.Zone)
}
