package zonesummary

import (
	"maps"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// Routers tells among how many routers sums are to be shared: all of this zone
// that are known, gone or not, and those of the other zones. A zone that nothing
// was heard of counts as the largest.
func (w *Watcher) Routers() int {
	if counted := w.routers.Load(); counted > 0 {
		return int(counted)
	}
	return w.count()
}

// Sharers tells among how many routers the rate of a cold runner in a zone is
// shared: those of the zone itself serve it, since they know each other, and
// nobody else does. Only where a zone has no routers do all.
func (w *Watcher) Sharers(zone ids.Zone) int {
	if zone == w.Table.Self().Zone {
		return max(1, int(w.inZone.Load()))
	}
	w.mu.Lock()
	routers, heard := w.sizes[zone]
	w.mu.Unlock()
	if heard && routers == 0 {
		return w.Routers()
	}
	return 0
}

// count is asked for at each look, so that requests only read a number.
func (w *Watcher) count() int {
	self := w.Table.Self()
	own := w.ownSize()
	w.mu.Lock()
	defer w.mu.Unlock()
	largest, sum, unknown := max(own, w.sizes[self.Zone]), int64(0), int64(0)
	own = largest
	for zone := range w.Zones {
		if zone == self.Zone {
			continue
		}
		size, heard := w.sizes[zone]
		largest, sum = max(largest, size), sum+size
		if !heard {
			unknown++
		}
	}
	counted := max(1, own+sum+unknown*largest)
	w.inZone.Store(own)
	w.routers.Store(counted)
	return int(counted)
}

// Absorb reads a size out of an item of news; other items are left alone.
func (w *Watcher) Absorb(item gossip.Item) {
	if len(item.Key) <= len(SizePrefix) || item.Key[:len(SizePrefix)] != SizePrefix {
		return
	}
	if size, err := transport.Unpack[membership.Size](item.Body); err == nil {
		w.Learn([]membership.Size{size})
	}
}

// Learn takes sizes: from news, or from a disk.
func (w *Watcher) Learn(sizes []membership.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sizes == nil {
		w.sizes = map[ids.Zone]int64{}
	}
	for _, size := range sizes {
		w.sizes[size.Zone] = size.Routers
	}
}

// Sizes gives what is known of the other zones.
func (w *Watcher) Sizes() []membership.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sizes []membership.Size
	for zone, routers := range w.sizes {
		sizes = append(sizes, membership.Size{Zone: zone, Routers: routers})
	}
	slices.SortFunc(sizes, func(left, right membership.Size) int { return strings.Compare(string(left.Zone), string(right.Zone)) })
	return sizes
}

// Region sums up the routers of a region, those that are gone too.
type Region struct {
	Name  ids.Region `json:"region"`
	Known int64      `json:"routers_known"`
	Ready int64      `json:"routers_ready"`
}

// Regions counts the routers of each region.
func (w *Watcher) Regions() []Region {
	self := w.Table.Self()
	known, ready := map[ids.Zone]int64{self.Zone: w.ownSize()}, map[ids.Zone]int64{}
	for _, size := range w.Sizes() {
		known[size.Zone] = max(known[size.Zone], size.Routers)
	}
	for _, member := range w.own() {
		if member.State == membership.Alive && member.Ready {
			ready[self.Zone]++
		}
	}
	reached, _ := w.Elsewhere()
	for _, fronts := range reached {
		ready[fronts.Zone] = int64(len(fronts.Able) + len(fronts.Unable))
	}
	sums := map[ids.Region]Region{}
	for zone, region := range w.Zones {
		sums[region] = Region{Name: region, Known: sums[region].Known + known[zone], Ready: sums[region].Ready + ready[zone]}
	}
	return slices.SortedFunc(maps.Values(sums), func(left, right Region) int {
		return strings.Compare(string(left.Name), string(right.Name))
	})
}
