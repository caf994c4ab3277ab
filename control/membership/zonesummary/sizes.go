package zonesummary

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// RouterCount returns the number of routers among which deployment-wide limits are
// shared: all known routers of this zone, gone or not, or its published size if that is
// larger, plus the sizes of the other zones. A zone of unknown size counts as much as
// the largest known one. The result is at least 1.
func (m *Manager) RouterCount() int {
	if count := m.routerCount.Load(); count > 0 {
		return int(count)
	}
	return m.recount()
}

// LargestRouterCount is like RouterCount but uses the largest size that each zone had in
// the life of this process, because a relay that has just started may publish a size
// that covers only the few routers it knows. It returns 0 until a size of this zone has
// been published or restored from disk.
func (m *Manager) LargestRouterCount() int {
	localZone := m.Table.Self().Zone
	m.mu.Lock()
	defer m.mu.Unlock()
	local, known := m.largestByZone[localZone]
	if !known {
		return 0
	}
	local = max(local, m.localRouterCount.Load())
	m.largestByZone[localZone] = local
	largest, count := local, local
	for zone := range m.Zones {
		if zone != localZone {
			largest, count = max(largest, m.largestByZone[zone]), count+m.largestByZone[zone]
		}
	}
	for zone := range m.Zones {
		if _, known := m.largestByZone[zone]; !known {
			count += largest
		}
	}
	return int(max(1, count))
}

// SlowStartRouters returns the number of routers that share the request rate of a runner
// in slow start in the given zone. Only the routers of the runner's own zone use such a
// runner, since they know each other: for another zone the result is 0, or RouterCount
// if that zone is known to have no routers.
func (m *Manager) SlowStartRouters(zone ids.Zone) int {
	if zone == m.Table.Self().Zone {
		return max(1, int(m.localRouterCount.Load()))
	}
	if size, known := m.zoneSize(zone); known && size == 0 {
		return m.RouterCount()
	}
	return 0
}

func (m *Manager) zoneSize(zone ids.Zone) (routers int64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers, known = m.routersByZone[zone]
	return routers, known
}

// recount updates the cached counts and returns the new RouterCount.
func (m *Manager) recount() int {
	localZone, size := m.Table.Self().Zone, m.localSize()
	m.mu.Lock()
	defer m.mu.Unlock()
	local := max(size, m.routersByZone[localZone])
	largest, remote, unknownZones := local, int64(0), int64(0)
	for zone := range m.Zones {
		if zone == localZone {
			continue
		}
		routers, known := m.routersByZone[zone]
		largest, remote = max(largest, routers), remote+routers
		if !known {
			unknownZones++
		}
	}
	count := max(1, local+remote+unknownZones*largest)
	m.localRouterCount.Store(local)
	m.routerCount.Store(count)
	return int(count)
}

// HandleItem merges the size in an item under SizePrefix and ignores all other items.
// The store calls it with each new item.
func (m *Manager) HandleItem(item gossip.Item) {
	if zone, ok := strings.CutPrefix(item.Key, SizePrefix); !ok || zone == "" {
		return
	}
	if size, err := transport.Unmarshal[membership.ZoneSize](item.Body); err == nil {
		m.MergeSizes([]membership.ZoneSize{size})
	}
}

// MergeSizes merges sizes that were published, or stored by an earlier process. A size
// replaces the previous one of its zone.
func (m *Manager) MergeSizes(sizes []membership.ZoneSize) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routersByZone == nil {
		m.routersByZone, m.largestByZone = map[ids.Zone]int64{}, map[ids.Zone]int64{}
	}
	for _, size := range sizes {
		m.routersByZone[size.Zone] = size.Routers
		m.largestByZone[size.Zone] = max(m.largestByZone[size.Zone], size.Routers)
	}
}

// Sizes returns the known sizes, ordered by zone name.
func (m *Manager) Sizes() []membership.ZoneSize {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sizes []membership.ZoneSize
	for zone, routers := range m.routersByZone {
		sizes = append(sizes, membership.ZoneSize{Zone: zone, Routers: routers})
	}
	slices.SortFunc(sizes, func(a, b membership.ZoneSize) int { return cmp.Compare(a.Zone, b.Zone) })
	return sizes
}

// RegionSummary holds the number of known routers of a region, including those that are
// gone, and of ready ones.
type RegionSummary struct {
	Name  ids.Region `json:"region"`
	Known int64      `json:"routers_known"`
	Ready int64      `json:"routers_ready"`
}

// Regions returns the summaries of all regions, ordered by name.
func (m *Manager) Regions() []RegionSummary {
	known, ready := m.knownRouters(), m.readyRouters()
	summaries := map[ids.Region]RegionSummary{}
	for zone, region := range m.Zones {
		summary := summaries[region]
		summaries[region] = RegionSummary{Name: region, Known: summary.Known + known[zone], Ready: summary.Ready + ready[zone]}
	}
	return slices.SortedFunc(maps.Values(summaries), func(a, b RegionSummary) int { return cmp.Compare(a.Name, b.Name) })
}

// knownRouters returns the number of known routers by zone.
func (m *Manager) knownRouters() map[ids.Zone]int64 {
	known := map[ids.Zone]int64{m.Table.Self().Zone: m.localSize()}
	for _, size := range m.Sizes() {
		known[size.Zone] = max(known[size.Zone], size.Routers)
	}
	return known
}

// readyRouters returns the number of ready routers by zone.
func (m *Manager) readyRouters() map[ids.Zone]int64 {
	ready := map[ids.Zone]int64{}
	for _, router := range m.localRouters() {
		if router.State == membership.Alive && router.Ready {
			ready[router.Zone]++
		}
	}
	reachable, _ := m.RemoteEndpoints()
	for _, endpoints := range reachable {
		ready[endpoints.Zone] = int64(len(endpoints.Ready) + len(endpoints.Degraded))
	}
	return ready
}
