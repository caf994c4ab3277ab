package zonesummary

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// LostZones is what a zone's backbone tells its zone of others: the zones whose
// backbone was alive and is no more. Their runners are most likely gone too, and
// routers need not detect that one request at a time.
type LostZones struct {
	Zones []ids.Zone `avro:"Zones"`
}

// SchemaName names the stored and sent form; it must never change.
func (LostZones) SchemaName() string { return "Lost_25" }

// LostZonesKey returns the key under which a zone is told of lost zones.
func LostZonesKey(zone ids.Zone) string { return gossip.LostPrefix + string(zone) }

// UnmarshalLostZones decodes the body of the item of a LostZonesKey.
func UnmarshalLostZones(body []byte) (LostZones, error) { return transport.Unmarshal[LostZones](body) }

// findLostZones returns the other zones of whose backbone nobody is alive, though
// somebody was since this daemon started. A zone whose daemons all left in order
// is not lost.
func (m *Manager) findLostZones() LostZones {
	alive, unresponsive := m.backboneHealth()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seenAlive == nil {
		m.seenAlive = map[ids.Zone]bool{}
	}
	var lost LostZones
	for zone := range m.Zones {
		if alive[zone] {
			m.seenAlive[zone] = true
		} else if unresponsive[zone] && m.seenAlive[zone] && zone != m.Table.Self().Zone {
			lost.Zones = append(lost.Zones, zone)
		}
	}
	slices.Sort(lost.Zones)
	return lost
}

// backboneHealth returns the zones of whose backbone somebody is alive, and those
// of whose backbone somebody is suspected or removed.
func (m *Manager) backboneHealth() (alive, unresponsive map[ids.Zone]bool) {
	alive, unresponsive = map[ids.Zone]bool{}, map[ids.Zone]bool{}
	for _, member := range m.Table.Members() {
		if member.Backbone() {
			alive[member.Zone] = alive[member.Zone] || member.State == membership.Alive
			unresponsive[member.Zone] = unresponsive[member.Zone] || member.State == membership.Suspect || member.State == membership.Removed
		}
	}
	return alive, unresponsive
}
