package zonesummary

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// LostZones is the news of one zone on others: those whose backbone answered before and
// does not now. Their runners are gone too, most likely; routers of the zone need
// not find that out one request at a time.
type LostZones struct {
	Zones []ids.Zone `avro:"Zones"`
}

// SchemaName names the stored and sent form; it must never change.
func (LostZones) SchemaName() string { return "Lost_25" }

// LostZonesKey is the news key of what a zone's daemons are told of lost zones.
func LostZonesKey(zone ids.Zone) string { return gossip.LostPrefix + string(zone) }

// UnmarshalLostZones reads the body of the news item.
func UnmarshalLostZones(body []byte) (LostZones, error) { return transport.Unmarshal[LostZones](body) }

// findLostZones gives the zones of whose backbone nobody answers, though somebody did in
// this daemon's life. A zone whose daemons all left in order is not lost.
func (m *Manager) findLostZones() LostZones {
	alive, silent := m.backboneHealth()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seenAlive == nil {
		m.seenAlive = map[ids.Zone]bool{}
	}
	var found LostZones
	for zone := range m.Zones {
		if alive[zone] {
			m.seenAlive[zone] = true
		} else if silent[zone] && m.seenAlive[zone] && zone != m.Table.Self().Zone {
			found.Zones = append(found.Zones, zone)
		}
	}
	slices.Sort(found.Zones)
	return found
}

// backboneHealth tells of each zone whether anybody of its backbone answers, and whether
// anybody of it does not.
func (m *Manager) backboneHealth() (answers map[ids.Zone]bool, silent map[ids.Zone]bool) {
	answers, silent = map[ids.Zone]bool{}, map[ids.Zone]bool{}
	for _, member := range m.Table.Members() {
		if member.Backbone() {
			answers[member.Zone] = answers[member.Zone] || member.State == membership.Alive
			silent[member.Zone] = silent[member.Zone] || member.State == membership.Suspect || member.State == membership.Removed
		}
	}
	return answers, silent
}
