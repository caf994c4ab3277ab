package usage

import (
	"cmp"
	"slices"

	"onyxwell/base/ids"
)

// routerIncarnation is one routerIncarnation of a router.
type routerIncarnation struct {
	router      ids.Address
	incarnation int64
}

// incarnationCounts are the counts of one life of a router.
type incarnationCounts struct {
	through int64
	windows counts
}

// tally merges reports. Its zero value is not ready; see newTally. Its caller locks it.
type tally struct {
	decided      int64
	incarnations map[routerIncarnation]*incarnationCounts
}

func newTally() *tally { return &tally{incarnations: map[routerIncarnation]*incarnationCounts{}} }

// merge takes a report over: each count rises to the report's.
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

// dropThrough drops the windows up to one, and lives of which nothing is left but the newest
// of each router.
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

// dropRouters forgets a router that is gone, once nothing of it is left to be reported.
func (t *tally) dropRouters(gone func(ids.Address) bool) {
	for key, counts := range t.incarnations {
		if len(counts.windows) == 0 && gone(key.router) {
			delete(t.incarnations, key)
		}
	}
}

// reports returns everything that is not decided, in a stable order.
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

// sums returns the sums over all routers of everything that is not decided.
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

// closedThrough returns the last window that a router's newest life has closed; false where
// nothing was heard of it.
func (t *tally) closedThrough(router ids.Address) (window int64, known bool) {
	newest := int64(0)
	for key, counts := range t.incarnations {
		if key.router == router && key.incarnation >= newest {
			newest, window, known = key.incarnation, counts.through, true
		}
	}
	return window, known
}

// sum adds the counts of a window up.
func (t *tally) sum(window int64) map[ids.Tenant]int64 {
	total := map[ids.Tenant]int64{}
	for _, counts := range t.incarnations {
		for tenant, count := range counts.windows[window] {
			total[tenant] += count
		}
	}
	return total
}
