package canary

import (
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// Attempt is an attempt at a runner that has ended, and that says something of it.
type Attempt struct {
	Service ids.Service
	Route   string
	Runner  *snapshot.Runner
	// Arm is that for which the attempt was begun.
	Arm    Arm
	Failed bool
	// FirstByte and Total are how long it took up to the head of the response and up to its
	// end; 0 where there was none, and at a runner that warms up.
	FirstByte, Total time.Duration
}

type countKey struct {
	route  string
	target bool
}

// armCounts are the counts of one route at one arm since the last report.
type armCounts struct {
	ended, failed    int64
	firstByte, total rollout.Histogram
}

// Observe counts an attempt, while a rollout of its service is in progress.
func (g *Gate) Observe(attempt Attempt) {
	if g == nil {
		return
	}
	snap := g.options.Snapshots.Current()
	record, ok := snap.Rollouts[attempt.Service]
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateOf(snap, attempt.Service)
	if state == nil {
		return
	}
	key := countKey{route: attempt.Route, target: attempt.Runner.Version == record.Target}
	if attempt.Arm.IsLoaded() {
		key.route = rollout.LoadedRoute(attempt.Route)
	}
	counts := state.counts[key]
	if counts == nil {
		counts = &armCounts{}
		state.counts[key] = counts
	}
	counts.ended++
	if attempt.Failed {
		counts.failed++
	}
	if attempt.FirstByte > 0 {
		counts.firstByte.Add(attempt.FirstByte)
	}
	if attempt.Total > 0 {
		counts.total.Add(attempt.Total)
	}
}

// takeCounts returns the counts since the last report. One that is lost on its way is
// lacking: the judge needs no completeness.
func (s *rolloutState) takeCounts() []rollout.RouteCount {
	var routes []rollout.RouteCount
	for key, counts := range s.counts {
		routes = append(routes, rollout.RouteCount{
			Route: key.route, Target: key.target, Ended: counts.ended, Failed: counts.failed,
			FirstByte: counts.firstByte.Buckets(), Whole: counts.total.Buckets(),
		})
	}
	rollout.SortCounts(routes)
	s.counts = map[countKey]*armCounts{}
	return routes
}
