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
	windows map[int64]map[ids.Tenant]int64
}

// tally merges reports. Its zero value is not ready; see newTally. Its caller locks it.
type tally struct {
	decided int64
	lives   map[life]*lifeCounts
}

func newTally() *tally { return &tally{lives: map[life]*lifeCounts{}} }

// merge takes a report over: each count rises to the report's.
func (t *tally) merge(report RouterReport) {
	key := life{router: report.Router, life: report.Life}
	counts := t.lives[key]
	if counts == nil {
		counts = &lifeCounts{windows: map[int64]map[ids.Tenant]int64{}}
		t.lives[key] = counts
	}
	counts.through = max(counts.through, report.Through)
	for _, window := range report.Windows {
		if window.Window <= t.decided || len(window.Tenants) != len(window.Counts) {
			continue
		}
		merged := counts.windows[window.Window]
		if merged == nil {
			merged = map[ids.Tenant]int64{}
			counts.windows[window.Window] = merged
		}
		for index, tenant := range window.Tenants {
			merged[tenant] = max(merged[tenant], window.Counts[index])
		}
	}
}

// forget drops the windows up to one, and lives of which nothing is left but the newest
// of each router.
func (t *tally) forget(decided int64) {
	t.decided = max(t.decided, decided)
	newest := map[ids.Address]int64{}
	for key := range t.lives {
		newest[key.router] = max(newest[key.router], key.life)
	}
	for key, counts := range t.lives {
		for window := range counts.windows {
			if window <= t.decided {
				delete(counts.windows, window)
			}
		}
		if len(counts.windows) == 0 && newest[key.router] != key.life {
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
	for key, counts := range t.lives {
		report := RouterReport{Router: key.router, Life: key.life, Through: counts.through}
		for window, tenants := range counts.windows {
			report.Windows = append(report.Windows, columns(window, tenants))
		}
		slices.SortFunc(report.Windows, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b RouterReport) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Life, b.Life))
	})
	return reports
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
