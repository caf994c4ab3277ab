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

// Prefixes of the keys under which a zone publishes; the zone's name follows.
// Endpoints are held by the backbone only, sizes by all daemons.
const (
	EndpointsPrefix = gossip.BackbonePrefix
	SizePrefix      = "size/"
)

// RouterEndpoints holds the addresses at which the routers of a zone serve clients.
type RouterEndpoints struct {
	Zone  ids.Zone      `avro:"Zone"`
	Ready []ids.Address `avro:"Able"`
	// Degraded routers are ready but reach no runner for some of their routes.
	Degraded []ids.Address `avro:"Unable"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (RouterEndpoints) SchemaName() string { return "Fronts_25" }

// Manager publishes the summaries of its own zone and reads those of the others.
// The exported fields must be set before its first use; after that its methods are safe
// for concurrent use, except Refresh, which one goroutine at a time calls.
type Manager struct {
	Table *membership.Table
	Store *gossip.Store
	// Zones maps all zones to their regions.
	Zones map[ids.Zone]ids.Region
	// RouterRole is the role of the daemons that carry requests.
	RouterRole string
	// SettleTime is how long no further router of the zone must have been discovered
	// before the zone's size is published for the first time.
	SettleTime time.Duration

	mu sync.Mutex
	// routersByZone holds the latest published or stored size of each zone, this one
	// included.
	routersByZone map[ids.Zone]int64
	// largestByZone holds the largest size of each zone in the life of this process.
	largestByZone map[ids.Zone]int64
	// seenAlive holds the zones in whose backbone a member was alive at some time since
	// the start.
	seenAlive map[ids.Zone]bool
	// settlingSize is the largest number of this zone's routers known before the zone's
	// size was published, settlingSince when it was reached. Only Refresh uses them.
	settlingSize  int64
	settlingSince clock.Instant
	// The counts as of the last Refresh, cached so that serving a request needs only an
	// atomic load.
	routerCount      atomic.Int64
	localRouterCount atomic.Int64
}

// Refresh prunes the table, recounts the routers and, on the first relay of the zone,
// publishes the summaries that changed. It is called periodically.
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

// sizeIsReliable reports whether this daemon may publish the zone's size: a size was
// published or stored before, or no further router was discovered for SettleTime. A
// daemon that has just started knows few routers or none. A router that received such a
// size and was then partitioned would take far too large a share of the limits that all
// routers share.
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

// isFirstRelay reports whether this daemon is the first relay of its zone, which
// publishes for it.
func (m *Manager) isFirstRelay() bool {
	self := m.Table.Self()
	relays := m.Table.Relays(self.Zone, 1)
	return self.Relay && len(relays) > 0 && relays[0].Address == self.Address
}

// localEndpoints returns the endpoints of this zone's routers that are alive and
// ready.
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

// advertisedSize returns the zone's size to publish: how many routers it could have. A
// daemon that has not run long enough to have heard of all of them never lowers the
// published size.
func (m *Manager) advertisedSize() int64 {
	size := m.localSize()
	if m.Table.KnowsFullHistory() {
		return size
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(size, m.routersByZone[m.Table.Self().Zone])
}

// localRouters returns the known routers of this zone, including those that are gone.
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

// publish puts a summary of this daemon's zone into the store, unless the newest item
// under its key already has the same body.
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

// RemoteEndpoints returns the published endpoints of the other zones that have a live
// backbone member. It also returns the doubtful zones among those with published
// endpoints: zones without a live backbone member, or with a suspected or removed one.
// These may be unreachable, though that is not certain yet. A zone may be in both
// results.
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
