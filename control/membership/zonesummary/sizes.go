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

// RouterCount tells among how many routers sums are to be shared: all of this zone
// that are known, gone or not, and those of the other zones. A zone that nothing
// was heard of counts as the largest.
func (m *Manager) RouterCount() int {
	if counted := m.routerCount.Load(); counted > 0 {
		return int(counted)
	}
	return m.recount()
}

// Sharers tells among how many routers the rate of a cold runner in a zone is
// shared: those of the zone itself serve it, since they know each other, and
// nobody else does. Only where a zone has no routers do all.
func (m *Manager) Sharers(zone ids.Zone) int {
	if zone == m.Table.Self().Zone {
		return max(1, int(m.localRouterCount.Load()))
	}
	m.mu.Lock()
	routers, heard := m.routersByZone[zone]
	m.mu.Unlock()
	if heard && routers == 0 {
		return m.RouterCount()
	}
	return 0
}

// recount is asked for at each look, so that requests only read a number.
func (m *Manager) recount() int {
	self := m.Table.Self()
	own := m.localSize()
	m.mu.Lock()
	defer m.mu.Unlock()
	largest, sum, unknown := max(own, m.routersByZone[self.Zone]), int64(0), int64(0)
	own = largest
	for zone := range m.Zones {
		if zone == self.Zone {
			continue
		}
		size, heard := m.routersByZone[zone]
		largest, sum = max(largest, size), sum+size
		if !heard {
			unknown++
		}
	}
	counted := max(1, own+sum+unknown*largest)
	m.localRouterCount.Store(own)
	m.routerCount.Store(counted)
	return int(counted)
}

// HandleItem reads a size out of an item of news; other items are left alone.
func (m *Manager) HandleItem(item gossip.Item) {
	if len(item.Key) <= len(SizePrefix) || item.Key[:len(SizePrefix)] != SizePrefix {
		return
	}
	if size, err := transport.Unmarshal[membership.ZoneSize](item.Body); err == nil {
		m.MergeSizes([]membership.ZoneSize{size})
	}
}

// MergeSizes takes sizes: from news, or from a disk.
func (m *Manager) MergeSizes(sizes []membership.ZoneSize) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routersByZone == nil {
		m.routersByZone = map[ids.Zone]int64{}
	}
	for _, size := range sizes {
		m.routersByZone[size.Zone] = size.Routers
	}
}

// Sizes gives what is known of the other zones.
func (m *Manager) Sizes() []membership.ZoneSize {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sizes []membership.ZoneSize
	for zone, routers := range m.routersByZone {
		sizes = append(sizes, membership.ZoneSize{Zone: zone, Routers: routers})
	}
	slices.SortFunc(sizes, func(left, right membership.ZoneSize) int {
		return strings.Compare(string(left.Zone), string(right.Zone))
	})
	return sizes
}

// RegionSummary sums up the routers of a region, those that are gone too.
type RegionSummary struct {
	Name  ids.Region `json:"region"`
	Known int64      `json:"routers_known"`
	Ready int64      `json:"routers_ready"`
}

// Regions counts the routers of each region.
func (m *Manager) Regions() []RegionSummary {
	self := m.Table.Self()
	known, ready := map[ids.Zone]int64{self.Zone: m.localSize()}, map[ids.Zone]int64{}
	for _, size := range m.Sizes() {
		known[size.Zone] = max(known[size.Zone], size.Routers)
	}
	for _, member := range m.localRouters() {
		if member.State == membership.Alive && member.Ready {
			ready[self.Zone]++
		}
	}
	reached, _ := m.RemoteEndpoints()
	for _, fronts := range reached {
		ready[fronts.Zone] = int64(len(fronts.Ready) + len(fronts.Degraded))
	}
	sums := map[ids.Region]RegionSummary{}
	for zone, region := range m.Zones {
		sums[region] = RegionSummary{Name: region, Known: sums[region].Known + known[zone], Ready: sums[region].Ready + ready[zone]}
	}
	return slices.SortedFunc(maps.Values(sums), func(left, right RegionSummary) int {
		return strings.Compare(string(left.Name), string(right.Name))
	})
}
