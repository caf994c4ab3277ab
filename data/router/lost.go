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

// lostZones are the zones whose runners this router leaves alone, because nobody
// there answers its own zone's relay. One runner of each service is tested now and
// then: once one answers, the zone is used again, though it may still be told as
// lost. So the tests of a zone do not grow with its runners.
type lostZones struct {
	mu    sync.Mutex
	zones map[ids.Zone]*lostZone
	told  map[ids.Zone]bool
}

type lostZone struct {
	due   clock.Instant
	tests int
	// released is since when the zone is told as lost no more.
	released clock.Instant
}

const (
	// mostBackoff is how often the pause between two tests of a zone doubles.
	mostBackoff = 2
	// releasedPatience is how long a zone that is told as lost no more may be silent
	// before its runners are tried with requests all the same.
	releasedPatience = 5 * clock.Second
)

// has tells whether a zone's runners are left alone.
func (l *lostZones) has(zone ids.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones[zone] != nil
}

// update takes over which zones are told as lost.
func (l *lostZones) update(told map[ids.Zone]bool, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones == nil {
		l.zones = map[ids.Zone]*lostZone{}
	}
	for zone := range told {
		if !l.told[zone] {
			l.zones[zone] = &lostZone{due: now}
		}
	}
	for zone, known := range l.zones {
		switch {
		case told[zone]:
			known.released = 0
		case known.released == 0:
			known.released, known.tests, known.due = now, 0, now
		case now.Since(known.released) > releasedPatience:
			delete(l.zones, zone)
		}
	}
	l.told = told
}

// tests gives the zones whose next test is due, and puts the one after it off.
func (l *lostZones) tests(now clock.Instant, first clock.Span) []ids.Zone {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []ids.Zone
	for zone, known := range l.zones {
		if !now.Before(known.due) {
			due = append(due, zone)
			known.due = now.Add(first << min(known.tests, mostBackoff))
			known.tests++
		}
	}
	return due
}

// found ends the loss of a zone.
func (l *lostZones) found(zone ids.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.zones, zone)
}

// testLost looks after the lost zones.
func (r *Router) testLost(ctx scope.Scope, client *http.Client) {
	seen, now := r.frame.Now(), ctx.Now()
	r.lost.update(seen.Lost, now)
	for _, zone := range r.lost.tests(now, r.pace.ConnectTimeout/4) {
		for _, runner := range samples(seen, zone) {
			go r.testZone(ctx, client, runner)
		}
	}
}

// samples draws a runner of each service in a zone.
func samples(seen *snapshot.Snapshot, zone ids.Zone) []*snapshot.Runner {
	var drawn []*snapshot.Runner
	for _, runners := range seen.Runners {
		var there []*snapshot.Runner
		for _, runner := range runners {
			if runner.Zone == zone && seen.Open(runner) {
				there = append(there, runner)
			}
		}
		if len(there) > 0 {
			drawn = append(drawn, there[rand.N(len(there))])
		}
	}
	return drawn
}

// testZone asks a runner of a lost zone whether it is there. Where it started anew,
// all of its service in the zone count as cold for as long as it does.
func (r *Router) testZone(ctx scope.Scope, client *http.Client, runner *snapshot.Runner) {
	seen := r.frame.Now()
	if seen.Spec == nil || seen.Spec.Service(runner.Service) == nil {
		return
	}
	told, err := r.ask(ctx, client, seen, runner)
	if err != nil || told.ill {
		return
	}
	now := ctx.Now()
	for _, mate := range seen.Runners[runner.Service] {
		if mate.Zone == runner.Zone && told.cold > 0 {
			r.warmth.Extend(mate.ID, now.Add(told.cold), now)
		}
	}
	r.lost.found(runner.Zone)
}
