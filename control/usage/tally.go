package usage

import (
	"cmp"
	"slices"

	"onyxwell/base/ids"
)

// life is one life of a router.
type life struct {
	router ids.Address
	life   int64
}

// lifeCounts are the counts of one life of a router.
type lifeCounts struct {
	through int64
	windows counts
}

// tally merges reports. Its zero value is not ready; see newTally. Its caller locks it.
type tally struct {
	decided int64
	lives   map[life]*lifeCounts
}

func newTally() *tally { return &tally{lives: map[life]*lifeCounts{}} }

// merge takes a report over: each count rises to the report's.
func (t *tally) merge(report RouterReport) {
	key := life{router: report.Router, life: report.Incarnation}
	merged := t.lives[key]
	if merged == nil {
		merged = &lifeCounts{windows: counts{}}
		t.lives[key] = merged
	}
	merged.through = max(merged.through, report.Through)
	merged.windows.merge(report.Windows, t.decided)
}

// forget drops the windows up to one, and lives of which nothing is left but the newest
// of each router.
func (t *tally) forget(decided int64) {
	t.decided = max(t.decided, decided)
	newest := map[ids.Address]int64{}
	for key := range t.lives {
		newest[key.router] = max(newest[key.router], key.life)
	}
	for key, known := range t.lives {
		known.windows.forget(t.decided)
		if len(known.windows) == 0 && newest[key.router] != key.life {
			delete(t.lives, key)
		}
	}
}

// drop forgets a router that is gone, once nothing of it is left to be reported.
func (t *tally) drop(gone func(ids.Address) bool) {
	for key, counts := range t.lives {
		if len(counts.windows) == 0 && gone(key.router) {
			delete(t.lives, key)
		}
	}
}

// reports returns everything that is not decided, in a stable order.
func (t *tally) reports() []RouterReport {
	var reports []RouterReport
	for key, known := range t.lives {
		reports = append(reports, RouterReport{Router: key.router, Incarnation: key.life, Through: known.through, Windows: known.windows.message()})
	}
	slices.SortFunc(reports, func(a, b RouterReport) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// sums returns the sums over all routers of everything that is not decided.
func (t *tally) sums() counts {
	total := counts{}
	for _, known := range t.lives {
		for window, tenants := range known.windows {
			for tenant, count := range tenants {
				total.of(window)[tenant] += count
			}
		}
	}
	return total
}

// through returns the last window that a router's newest life has closed; false where
// nothing was heard of it.
func (t *tally) through(router ids.Address) (window int64, known bool) {
	newest := int64(0)
	for key, counts := range t.lives {
		if key.router == router && key.life >= newest {
			newest, window, known = key.life, counts.through, true
		}
	}
	return window, known
}

// sum adds the counts of a window up.
func (t *tally) sum(window int64) map[ids.Tenant]int64 {
	total := map[ids.Tenant]int64{}
	for _, counts := range t.lives {
		for tenant, count := range counts.windows[window] {
			total[tenant] += count
		}
	}
	return total
}
