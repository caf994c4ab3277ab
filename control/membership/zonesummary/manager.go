package zonesummary

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// The prefixes of the keys of what a zone publishes; the zone's name follows.
// Endpoints are for the backbone alone, sizes for all daemons.
const (
	EndpointsPrefix = gossip.BackbonePrefix
	SizePrefix      = "size/"
)

// RouterEndpoints are the addresses at which the routers of a zone serve clients.
type RouterEndpoints struct {
	Zone  ids.Zone      `avro:"Zone"`
	Ready []ids.Address `avro:"Able"`
	// Degraded routers are ready but reach no runner for some of their routes.
	Degraded []ids.Address `avro:"Unable"`
}

// SchemaName names the stored and sent form; it must never change.
func (RouterEndpoints) SchemaName() string { return "Fronts_25" }

// Manager publishes the summaries of its own zone and reads those of the others.
// The exported fields are set before its first use; its methods are safe for
// concurrent use then.
type Manager struct {
	Table *membership.Table
	Store *gossip.Store
	// Zones has all zones with their regions.
	Zones map[ids.Zone]ids.Region
	// RouterRole is the role of the daemons that carry requests.
	RouterRole string
	// SettleTime is for how long no further router of the zone must be heard of before
	// its size is published for the first time.
	SettleTime time.Duration

	mu sync.Mutex
	// routersByZone has the published sizes, those of other zones for the most part.
	routersByZone map[ids.Zone]int64
	// largestByZone has the largest size of each zone so far.
	largestByZone map[ids.Zone]int64
	// seenAlive has the zones of whose backbone a member was alive since the start.
	seenAlive map[ids.Zone]bool
	// settlingSize is the most routers of the zone that were heard of before its size was
	// published, settlingSince since when. Refresh alone uses them.
	settlingSize  int64
	settlingSince clock.Instant
	// The counts are as of the last Refresh, so that requests read a number alone.
	routerCount      atomic.Int64
	localRouterCount atomic.Int64
}

// Refresh prunes the table, counts the routers anew and, on the first relay of
// the zone, publishes the summaries that changed. It is called once an interval.
func (m *Manager) Refresh() {
	m.Table.Prune()
	m.recount()
	lost := m.findLostZones()
	if !m.isFirstRelay() {
		return
	}
	zone := m.Table.Self().Zone
	publish(m, EndpointsPrefix, m.localEndpoints())
	if _, published := m.Store.Get(LostZonesKey(zone)); published || len(lost.Zones) > 0 {
		publish(m, gossip.LostPrefix, lost)
	}
	if m.sizeIsReliable() {
		publish(m, SizePrefix, membership.ZoneSize{Zone: zone, Routers: m.advertisedSize()})
	}
}

// sizeIsReliable reports whether this daemon may publish the zone's size: one was
// published or stored before, or no further router was heard of for SettleTime. A daemon
// that has just started knows few routers or none, and a router that hears so and is cut
// off then takes far too large a part of what all routers share.
func (m *Manager) sizeIsReliable() bool {
	if _, known := m.zoneSize(m.Table.Self().Zone); known {
		return true
	}
	now, size := m.Table.Now(), m.localSize()
	if m.settlingSince == 0 || size > m.settlingSize {
		m.settlingSince, m.settlingSize = now, size
	}
	return now.Since(m.settlingSince) >= m.SettleTime
}

// isFirstRelay reports whether this daemon publishes for its zone.
func (m *Manager) isFirstRelay() bool {
	self := m.Table.Self()
	relays := m.Table.Relays(self.Zone, 1)
	return self.Relay && len(relays) > 0 && relays[0].Address == self.Address
}

// localEndpoints returns the endpoints of this zone's routers that are ready.
func (m *Manager) localEndpoints() RouterEndpoints {
	endpoints := RouterEndpoints{Zone: m.Table.Self().Zone}
	for _, router := range m.localRouters() {
		serving := router.State == membership.Alive && router.Ready && router.ClientAddress != ""
		if serving && router.Degraded {
			endpoints.Degraded = append(endpoints.Degraded, router.ClientAddress)
		} else if serving {
			endpoints.Ready = append(endpoints.Ready, router.ClientAddress)
		}
	}
	return endpoints
}

// advertisedSize returns how many routers the zone could have. A daemon that has
// not run for long enough to have heard of all never lowers the published size.
func (m *Manager) advertisedSize() int64 {
	size := m.localSize()
	if m.Table.KnowsFullHistory() {
		return size
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(size, m.routersByZone[m.Table.Self().Zone])
}

// localRouters returns the known routers of this zone, also those that are gone.
func (m *Manager) localRouters() []membership.Member {
	zone := m.Table.Self().Zone
	var routers []membership.Member
	for _, member := range m.Table.Members() {
		if member.Zone == zone && member.Role == m.RouterRole {
			routers = append(routers, member)
		}
	}
	return routers
}

func (m *Manager) localSize() int64 { return int64(len(m.localRouters())) }

// publish puts a summary of the own zone into the store, unless the newest item
// of its key says the same.
func publish[Message any](m *Manager, prefix string, message Message) {
	body, err := transport.Marshal(message)
	if err != nil {
		return
	}
	self := m.Table.Self()
	key := prefix + string(self.Zone)
	if published, ok := m.Store.Get(key); ok && slices.Equal(published.Body, body) {
		return
	}
	m.Store.PutNext(key, self.Address, body)
}

// RemoteEndpoints returns the endpoints of the other zones of whose backbone a
// member is alive, and the zones of whose backbone not all are: those may be
// unreachable, even if that is not certain yet. A zone may be in both.
func (m *Manager) RemoteEndpoints() (reachable []RouterEndpoints, doubtful []ids.Zone) {
	alive, unresponsive := m.backboneHealth()
	local := m.Table.Self().Zone
	for _, item := range m.Store.WithPrefix(EndpointsPrefix) {
		endpoints, err := transport.Unmarshal[RouterEndpoints](item.Body)
		if err != nil || endpoints.Zone == local {
			continue
		}
		if alive[endpoints.Zone] {
			reachable = append(reachable, endpoints)
		}
		if !alive[endpoints.Zone] || unresponsive[endpoints.Zone] {
			doubtful = append(doubtful, endpoints.Zone)
		}
	}
	return reachable, doubtful
}
