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
	FrontsPrefix = gossip.BackbonePrefix
	SizePrefix   = "size/"
)

// Fronts are where clients of a zone may go: Able routers, and those that are
// ready but reach no runner for some of their routes.
type Fronts struct {
	Zone   ids.Zone      `avro:"Zone"`
	Able   []ids.Address `avro:"Able"`
	Unable []ids.Address `avro:"Unable"`
}

// SchemaName names the stored and sent form; it must never change.
func (Fronts) SchemaName() string { return "Fronts_25" }

// Watcher makes the news of its zone while it relays, and reads that of others.
type Watcher struct {
	Table *membership.Table
	News  *gossip.News
	// Zones gives all zones with their regions.
	Zones map[ids.Zone]ids.Region
	// Role is that of the daemons which carry requests.
	Role string

	mu    sync.Mutex
	sizes map[ids.Zone]int64
	// answered are the zones of whose backbone somebody answered in this life.
	answered map[ids.Zone]bool
	routers  atomic.Int64
	inZone   atomic.Int64
}

// Look makes news of the own zone where it changed, if this daemon is the first
// to relay for it.
func (w *Watcher) Look() {
	w.Table.Forget()
	w.count()
	lost := w.lost()
	self := w.Table.Self()
	first := w.Table.Relays(self.Zone, 1)
	if !self.Relay || len(first) == 0 || first[0].Address != self.Address {
		return
	}
	fronts := Fronts{Zone: self.Zone}
	for _, member := range w.own() {
		serving := member.State == membership.Alive && member.Ready && member.Front != ""
		if serving && member.Unable {
			fronts.Unable = append(fronts.Unable, member.Front)
		} else if serving {
			fronts.Able = append(fronts.Able, member.Front)
		}
	}
	publish(w, FrontsPrefix, fronts)
	if _, told := w.News.Get(LostKey(self.Zone)); told || len(lost.Zones) > 0 {
		publish(w, gossip.LostPrefix, lost)
	}
	publish(w, SizePrefix, membership.Size{Zone: self.Zone, Routers: w.size()})
}

// size is how many routers the zone could have. A daemon that has not lived long
// enough to have heard of all of them never lowers what was told before.
func (w *Watcher) size() int64 {
	own := w.ownSize()
	if w.Table.Seasoned() {
		return own
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(own, w.sizes[w.Table.Self().Zone])
}

// own gives the routers of this zone.
func (w *Watcher) own() []membership.Member {
	zone := w.Table.Self().Zone
	var found []membership.Member
	for _, member := range w.Table.Members() {
		if member.Zone == zone && member.Role == w.Role {
			found = append(found, member)
		}
	}
	return found
}

func (w *Watcher) ownSize() int64 { return int64(len(w.own())) }

// publish makes an item where the newest of its key says something else. Two
// relays that both believe to be the first write under serials that differ.
func publish[Message any](watcher *Watcher, prefix string, message Message) {
	body, err := transport.Pack(message)
	self := watcher.Table.Self()
	key := prefix + string(self.Zone)
	known, found := watcher.News.Get(key)
	if err != nil || (found && slices.Equal(known.Body, body)) {
		return
	}
	watcher.News.Write(key, self.Address, body)
}

// Elsewhere gives the fronts of the other zones from which some daemon of the
// backbone answers, and the zones from which not all do: they may be out of
// reach, even if that is not sure yet.
func (w *Watcher) Elsewhere() (reached []Fronts, cut []ids.Zone) {
	answers, silent := w.backbones()
	own := w.Table.Self().Zone
	for _, item := range w.News.Under(FrontsPrefix) {
		fronts, err := transport.Unpack[Fronts](item.Body)
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
