package usage

import (
	"cmp"
	"slices"

	"onyxwell/base/ids"
)

// routerIncarnation identifies one run of a router.
type routerIncarnation struct {
	router      ids.Address
	incarnation int64
}

// incarnationCounts are the counts of one router incarnation and its last closed window.
type incarnationCounts struct {
	through int64
	windows counts
}

// tally merges the reports of routers. It must be created by newTally and is not safe for
// concurrent use.
type tally struct {
	decided      int64
	incarnations map[routerIncarnation]*incarnationCounts
}

func newTally() *tally { return &tally{incarnations: map[routerIncarnation]*incarnationCounts{}} }

// merge raises each count to that in the report if it is lower.
func (t *tally) merge(report RouterReport) {
	key := routerIncarnation{router: report.Router, incarnation: report.Incarnation}
	merged := t.incarnations[key]
	if merged == nil {
		merged = &incarnationCounts{windows: counts{}}
		t.incarnations[key] = merged
	}
	merged.through = max(merged.through, report.Through)
	merged.windows.merge(report.Windows, t.decided)
}

// dropThrough drops all windows up to decided, and the incarnations without remaining counts,
// except the newest of each router.
func (t *tally) dropThrough(decided int64) {
	t.decided = max(t.decided, decided)
	newest := map[ids.Address]int64{}
	for key := range t.incarnations {
		newest[key.router] = max(newest[key.router], key.incarnation)
	}
	for key, known := range t.incarnations {
		known.windows.dropThrough(t.decided)
		if len(known.windows) == 0 && newest[key.router] != key.incarnation {
			delete(t.incarnations, key)
		}
	}
}

// dropRouters drops the incarnations that have no counts left and whose router is gone.
func (t *tally) dropRouters(gone func(ids.Address) bool) {
	for key, counts := range t.incarnations {
		if len(counts.windows) == 0 && gone(key.router) {
			delete(t.incarnations, key)
		}
	}
}

// reports returns the undecided counts as reports, sorted by router and incarnation.
func (t *tally) reports() []RouterReport {
	var reports []RouterReport
	for key, known := range t.incarnations {
		reports = append(reports, RouterReport{Router: key.router, Incarnation: key.incarnation, Through: known.through, Windows: known.windows.toMessage()})
	}
	slices.SortFunc(reports, func(a, b RouterReport) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// sums returns the undecided counts summed over all routers.
func (t *tally) sums() counts {
	total := counts{}
	for _, known := range t.incarnations {
		for window, tenants := range known.windows {
			for tenant, count := range tenants {
				total.tenantCounts(window)[tenant] += count
			}
		}
	}
	return total
}

// closedThrough returns the last window that the newest incarnation of a router has closed.
// known is false if there is no report of the router.
func (t *tally) closedThrough(router ids.Address) (window int64, known bool) {
	newest := int64(0)
	for key, counts := range t.incarnations {
		if key.router == router && key.incarnation >= newest {
			newest, window, known = key.incarnation, counts.through, true
		}
	}
	return window, known
}

// sum returns the counts of a window summed over all routers.
func (t *tally) sum(window int64) map[ids.Tenant]int64 {
	total := map[ids.Tenant]int64{}
	for _, counts := range t.incarnations {
		for tenant, count := range counts.windows[window] {
			total[tenant] += count
		}
	}
	return total
}
