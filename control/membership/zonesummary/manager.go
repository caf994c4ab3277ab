// Package zonesummary tells other zones what they need to know of a zone without
// knowing its members: which of its routers clients may go to, and how many
// routers there could be.
package zonesummary

import (
	"slices"
	"sync"
	"sync/atomic"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// The keys of news begin so; the zone's name follows. Fronts are for the
// backbone only, sizes for all.
const (
	EndpointsPrefix = gossip.BackbonePrefix
	SizePrefix      = "size/"
)

// RouterEndpoints are where clients of a zone may go: Able routers, and those that are
// ready but reach no runner for some of their routes.
type RouterEndpoints struct {
	Zone     ids.Zone      `avro:"Zone"`
	Ready    []ids.Address `avro:"Able"`
	Degraded []ids.Address `avro:"Unable"`
}

// SchemaName names the stored and sent form; it must never change.
func (RouterEndpoints) SchemaName() string { return "Fronts_25" }

// Manager makes the news of its zone while it relays, and reads that of others.
type Manager struct {
	Table *membership.Table
	Store *gossip.Store
	// Zones gives all zones with their regions.
	Zones map[ids.Zone]ids.Region
	// RouterRole is that of the daemons which carry requests.
	RouterRole string

	mu            sync.Mutex
	routersByZone map[ids.Zone]int64
	// seenAlive are the zones of whose backbone somebody answered in this life.
	seenAlive        map[ids.Zone]bool
	routerCount      atomic.Int64
	localRouterCount atomic.Int64
}

// Refresh makes news of the own zone where it changed, if this daemon is the first
// to relay for it.
func (m *Manager) Refresh() {
	m.Table.Prune()
	m.recount()
	lost := m.findLostZones()
	self := m.Table.Self()
	first := m.Table.Relays(self.Zone, 1)
	if !self.Relay || len(first) == 0 || first[0].Address != self.Address {
		return
	}
	fronts := RouterEndpoints{Zone: self.Zone}
	for _, member := range m.localRouters() {
		serving := member.State == membership.Alive && member.Ready && member.ClientAddress != ""
		if serving && member.Degraded {
			fronts.Degraded = append(fronts.Degraded, member.ClientAddress)
		} else if serving {
			fronts.Ready = append(fronts.Ready, member.ClientAddress)
		}
	}
	publish(m, EndpointsPrefix, fronts)
	if _, told := m.Store.Get(LostZonesKey(self.Zone)); told || len(lost.Zones) > 0 {
		publish(m, gossip.LostPrefix, lost)
	}
	publish(m, SizePrefix, membership.ZoneSize{Zone: self.Zone, Routers: m.advertisedSize()})
}

// advertisedSize is how many routers the zone could have. A daemon that has not lived long
// enough to have heard of all of them never lowers what was told before.
func (m *Manager) advertisedSize() int64 {
	own := m.localSize()
	if m.Table.KnowsFullHistory() {
		return own
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(own, m.routersByZone[m.Table.Self().Zone])
}

// localRouters gives the routers of this zone.
func (m *Manager) localRouters() []membership.Member {
	zone := m.Table.Self().Zone
	var found []membership.Member
	for _, member := range m.Table.Members() {
		if member.Zone == zone && member.Role == m.RouterRole {
			found = append(found, member)
		}
	}
	return found
}

func (m *Manager) localSize() int64 { return int64(len(m.localRouters())) }

// publish makes an item where the newest of its key says something else. Two
// relays that both believe to be the first write under serials that differ.
func publish[Message any](watcher *Manager, prefix string, message Message) {
	body, err := transport.Marshal(message)
	self := watcher.Table.Self()
	key := prefix + string(self.Zone)
	known, found := watcher.Store.Get(key)
	if err != nil || (found && slices.Equal(known.Body, body)) {
		return
	}
	watcher.Store.PutNext(key, self.Address, body)
}

// RemoteEndpoints gives the fronts of the other zones from which some daemon of the
// backbone answers, and the zones from which not all do: they may be out of
// reach, even if that is not sure yet.
func (m *Manager) RemoteEndpoints() (reached []RouterEndpoints, cut []ids.Zone) {
	answers, silent := m.backboneHealth()
	own := m.Table.Self().Zone
	for _, item := range m.Store.WithPrefix(EndpointsPrefix) {
		fronts, err := transport.Unmarshal[RouterEndpoints](item.Body)
		if err != nil || fronts.Zone == own {
			continue
		}
		if answers[fronts.Zone] {
			reached = append(reached, fronts)
		}
		if !answers[fronts.Zone] || silent[fronts.Zone] {
			cut = append(cut, fronts.Zone)
		}
	}
	return reached, cut
}
