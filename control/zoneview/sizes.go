package zoneview

import (
	"maps"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/spread"
)

// Routers tells among how many routers sums are to be shared: all of this zone
// that are known, gone or not, and those of the other zones. A zone that nothing
// was heard of counts as the largest.
func (watcher *Watcher) Routers() int {
	if counted := watcher.routers.Load(); counted > 0 {
		return int(counted)
	}
	return watcher.count()
}

// Sharers tells among how many routers the rate of a cold runner in a zone is
// shared: those of the zone itself serve it, since they know each other, and
// nobody else does. Only where a zone has no routers do all.
func (watcher *Watcher) Sharers(zone ids.Zone) int {
	if zone == watcher.Table.Self().Zone {
		return max(1, int(watcher.inZone.Load()))
	}
	watcher.lock.Lock()
	routers, heard := watcher.sizes[zone]
	watcher.lock.Unlock()
	if heard && routers == 0 {
		return watcher.Routers()
	}
	return 0
}

// count is asked for at each look, so that requests only read a number.
func (watcher *Watcher) count() int {
	self := watcher.Table.Self()
	own := watcher.ownSize()
	watcher.lock.Lock()
	defer watcher.lock.Unlock()
	largest, sum, unknown := max(own, watcher.sizes[self.Zone]), int64(0), int64(0)
	own = largest
	for zone := range watcher.Zones {
		if zone == self.Zone {
			continue
		}
		size, heard := watcher.sizes[zone]
		largest, sum = max(largest, size), sum+size
		if !heard {
			unknown++
		}
	}
	counted := max(1, own+sum+unknown*largest)
	watcher.inZone.Store(own)
	watcher.routers.Store(counted)
	return int(counted)
}

// Absorb reads a size out of an item of news; other items are left alone.
func (watcher *Watcher) Absorb(item spread.Item) {
	if len(item.Key) <= len(SizePrefix) || item.Key[:len(SizePrefix)] != SizePrefix {
		return
	}
	if size, err := courier.Unpack[cohort.Size](item.Body); err == nil {
		watcher.Learn([]cohort.Size{size})
	}
}

// Learn takes sizes: from news, or from a disk.
func (watcher *Watcher) Learn(sizes []cohort.Size) {
	watcher.lock.Lock()
	defer watcher.lock.Unlock()
	if watcher.sizes == nil {
		watcher.sizes = map[ids.Zone]int64{}
	}
	for _, size := range sizes {
		watcher.sizes[size.Zone] = size.Routers
	}
}

// Sizes gives what is known of the other zones.
func (watcher *Watcher) Sizes() []cohort.Size {
	watcher.lock.Lock()
	defer watcher.lock.Unlock()
	var sizes []cohort.Size
	for zone, routers := range watcher.sizes {
		sizes = append(sizes, cohort.Size{Zone: zone, Routers: routers})
	}
	slices.SortFunc(sizes, func(left, right cohort.Size) int { return strings.Compare(string(left.Zone), string(right.Zone)) })
	return sizes
}

// Region sums up the routers of a region, those that are gone too.
type Region struct {
	Name  ids.Region `json:"region"`
	Known int64      `json:"routers_known"`
	Ready int64      `json:"routers_ready"`
}

// Regions counts the routers of each region.
func (watcher *Watcher) Regions() []Region {
	self := watcher.Table.Self()
	known, ready := map[ids.Zone]int64{self.Zone: watcher.ownSize()}, map[ids.Zone]int64{}
	for _, size := range watcher.Sizes() {
		known[size.Zone] = max(known[size.Zone], size.Routers)
	}
	for _, member := range watcher.own() {
		if member.State == cohort.Alive && member.Ready {
			ready[self.Zone]++
		}
	}
	reached, _ := watcher.Elsewhere()
	for _, fronts := range reached {
		ready[fronts.Zone] = int64(len(fronts.Able) + len(fronts.Unable))
	}
	sums := map[ids.Region]Region{}
	for zone, region := range watcher.Zones {
		sums[region] = Region{Name: region, Known: sums[region].Known + known[zone], Ready: sums[region].Ready + ready[zone]}
	}
	return slices.SortedFunc(maps.Values(sums), func(left, right Region) int {
		return strings.Compare(string(left.Name), string(right.Name))
	})
}
