package membership

import (
	"hash/fnv"
	"sort"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Relays gives the daemons that pass news on for a zone, the first choice first.
// For the own zone every member works them out by itself; those of other zones
// say of themselves that they are. Nothing rests on agreement: news only rises,
// so two views of who relays cost bytes and no more.
func (t *Table) Relays(zone ids.Zone, count int) []Member {
	var able []Member
	own := zone == t.Self().Zone
	for _, member := range t.Members() {
		if member.Zone == zone && member.State == Alive && (own || member.Backbone()) {
			able = append(able, member)
		}
	}
	rankRelays(able)
	return pickDistinctHosts(able, count)
}

// UpdateRelayRole has the daemon say of itself whether it relays for its zone; one that
// has only just begun, and may know nobody yet, waits.
func (t *Table) UpdateRelayRole(count int, patience clock.Span) {
	self := t.Self()
	if t.clock.Now().Since(t.startedAt) < patience || !self.Present() {
		return
	}
	chosen := false
	for _, relay := range t.Relays(self.Zone, count) {
		chosen = chosen || relay.Address == self.Address
	}
	t.UpdateSelf(func(self *Member) { self.Relay = chosen })
}

// rankRelays orders members by how well they relay: machines with more link first,
// then those that already serve control and so carry no requests, then by a
// hash that spreads the work over zones.
func rankRelays(members []Member) {
	sort.Slice(members, func(left, right int) bool {
		one, other := members[left], members[right]
		if one.LinkMbps != other.LinkMbps {
			return one.LinkMbps > other.LinkMbps
		}
		if one.ServesControl != other.ServesControl {
			return one.ServesControl
		}
		return addressHash(one.Address) < addressHash(other.Address)
	})
}

// pickDistinctHosts takes the first so many members that stand on different machines.
func pickDistinctHosts(members []Member, count int) []Member {
	taken := map[string]bool{}
	var chosen []Member
	for _, member := range members {
		machine, _, _ := strings.Cut(string(member.Address), ":")
		if !taken[machine] && len(chosen) < count {
			taken[machine] = true
			chosen = append(chosen, member)
		}
	}
	return chosen
}

func addressHash(address ids.Address) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(address))
	return digest.Sum64()
}
