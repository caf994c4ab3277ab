package zonesummary

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// Lost is the news of one zone on others: those whose backbone answered before and
// does not now. Their runners are gone too, most likely; routers of the zone need
// not find that out one request at a time.
type Lost struct {
	Zones []ids.Zone `avro:"Zones"`
}

// SchemaName names the stored and sent form; it must never change.
func (Lost) SchemaName() string { return "Lost_25" }

// LostKey is the news key of what a zone's daemons are told of lost zones.
func LostKey(zone ids.Zone) string { return gossip.LostPrefix + string(zone) }

// ReadLost reads the body of the news item.
func ReadLost(body []byte) (Lost, error) { return transport.Unpack[Lost](body) }

// lost gives the zones of whose backbone nobody answers, though somebody did in
// this daemon's life. A zone whose daemons all left in order is not lost.
func (w *Watcher) lost() Lost {
	alive, silent := w.backbones()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered == nil {
		w.answered = map[ids.Zone]bool{}
	}
	var found Lost
	for zone := range w.Zones {
		if alive[zone] {
			w.answered[zone] = true
		} else if silent[zone] && w.answered[zone] && zone != w.Table.Self().Zone {
			found.Zones = append(found.Zones, zone)
		}
	}
	slices.Sort(found.Zones)
	return found
}

// backbones tells of each zone whether anybody of its backbone answers, and whether
// anybody of it does not.
func (w *Watcher) backbones() (answers map[ids.Zone]bool, silent map[ids.Zone]bool) {
	answers, silent = map[ids.Zone]bool{}, map[ids.Zone]bool{}
	for _, member := range w.Table.Members() {
		if member.Backbone() {
			answers[member.Zone] = answers[member.Zone] || member.State == membership.Alive
			silent[member.Zone] = silent[member.Zone] || member.State == membership.Suspect || member.State == membership.Removed
		}
	}
	return answers, silent
}
