package zonesummary

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// LostZones is published by a zone's first relay to its own zone and lists the other
// zones whose backbone was alive and no longer is. Their runners are most likely gone
// too, and routers need not detect that one request at a time.
type LostZones struct {
	Zones []ids.Zone `avro:"Zones"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (LostZones) SchemaName() string { return "Lost_25" }

// LostZonesKey returns the key under which LostZones is published to a zone.
func LostZonesKey(zone ids.Zone) string { return gossip.LostPrefix + string(zone) }

// UnmarshalLostZones decodes the body of an item whose key is a LostZonesKey.
func UnmarshalLostZones(body []byte) (LostZones, error) { return transport.Unmarshal[LostZones](body) }

// findLostZones returns the other zones in whose backbone no member is alive, though one
// was since this daemon started. A zone whose backbone members all announced that they
// left is not lost.
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

// backboneHealth returns the zones with a live backbone member, and those with a
// suspected or removed one.
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
