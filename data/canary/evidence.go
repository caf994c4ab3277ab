package canary

import (
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// Attempt is a finished attempt whose outcome tells something about its runner.
type Attempt struct {
	Service ids.Service
	Route   string
	Runner  *snapshot.Runner
	// Arm is the arm that the attempt was sent under.
	Arm    Arm
	Failed bool
	// FirstByte and Total are the times to the head of the response and to its end. They are
	// 0 where nothing was measured: for failed and resumed attempts, and on runners that are
	// warming up.
	FirstByte, Total time.Duration
}

type countKey struct {
	route  string
	target bool
}

// armCounts holds the counts of one route and arm since the last report.
type armCounts struct {
	ended, failed    int64
	firstByte, total rollout.Histogram
}

// Observe counts an attempt if a rollout of its service is in progress and its runner's version
// takes part in it.
func (g *Gate) Observe(attempt Attempt) {
	if g == nil {
		return
	}
	snap := g.options.Snapshots.Current()
	isTarget, ok := side(snap, attempt)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateOf(snap, attempt.Service)
	if state == nil {
		return
	}
	key := countKey{route: attempt.Route, target: isTarget}
	if attempt.Arm.IsLoaded() {
		key.route = rollout.LoadTestRoute(attempt.Route)
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

// side reports whether the runner of an attempt counts as one of the target version or as an
// old one; ok is false if it counts as neither.
func side(snap *snapshot.Snapshot, attempt Attempt) (isTarget, ok bool) {
	switch snap.Versions[attempt.Service].RoleOf(attempt.Runner.Version) {
	case rollout.RoleTarget:
		return true, true
	case rollout.RoleStable:
		return false, true
	case rollout.RoleOther:
		return false, allowsOther(snap, attempt.Service)
	}
	return false, false
}

// takeCounts returns the counts since the last report and resets them. Counts of a report
// that gets lost are not sent again: the analysis does not need complete counts.
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
