package usage

import (
	"cmp"
	"slices"

	"onyxwell/base/ids"
)

// counts holds numbers of requests by window and tenant. They never decrease, so that two
// states can be merged by maximum.
type counts map[int64]map[ids.Tenant]int64

// merge raises each count to that in a message if it is lower. Windows up to decided, and
// windows whose columns differ in length, are ignored.
func (c counts) merge(windows []WindowCounts, decided int64) {
	for _, window := range windows {
		if window.Window <= decided || len(window.Tenants) != len(window.Counts) {
			continue
		}
		merged := c.tenantCounts(window.Window)
		for index, tenant := range window.Tenants {
			merged[tenant] = max(merged[tenant], window.Counts[index])
		}
	}
}

// tenantCounts returns the counts of a window for modification.
func (c counts) tenantCounts(window int64) map[ids.Tenant]int64 {
	if c[window] == nil {
		c[window] = map[ids.Tenant]int64{}
	}
	return c[window]
}

// dropThrough drops all windows up to through.
func (c counts) dropThrough(through int64) {
	for window := range c {
		if window <= through {
			delete(c, window)
		}
	}
}

// keepNewest drops all windows that are not among the given number of newest ones.
func (c counts) keepNewest(windows int64) {
	newest := int64(0)
	for window := range c {
		newest = max(newest, window)
	}
	c.dropThrough(newest - windows)
}

// increasesOver returns the counts that are higher than those of another state.
func (c counts) increasesOver(other counts) counts {
	changed := counts{}
	for window, tenants := range c {
		for tenant, count := range tenants {
			if count > other[window][tenant] {
				changed.tenantCounts(window)[tenant] = count
			}
		}
	}
	return changed
}

// toMessage returns the counts in the form in which they are sent, oldest window first.
func (c counts) toMessage() []WindowCounts {
	var windows []WindowCounts
	for window, tenants := range c {
		windows = append(windows, newWindowCounts(window, tenants))
	}
	slices.SortFunc(windows, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })
	return windows
}
