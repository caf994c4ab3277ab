package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"onyxwell/base/ids"
)

// Relays returns up to count daemons that forward updates for a zone, in order of
// preference and each on a different machine. For its own zone a daemon computes them
// from all live members; for another zone it can choose only among that zone's live
// backbone members.
// Daemons need not agree on the relays: versions only increase, so diverging views
// cost nothing but bandwidth.
func (t *Table) Relays(zone ids.Zone, count int) []Member {
	var candidates []Member
	local := zone == t.Self().Zone
	for _, member := range t.Members() {
		if member.Zone == zone && member.State == Alive && (local || member.Backbone()) {
			candidates = append(candidates, member)
		}
	}
	rankRelays(candidates)
	return pickDistinctHosts(candidates, count)
}

// UpdateRelayRole sets this daemon's Relay flag according to whether it is one of the
// first count relays of its zone. It does nothing before warmUp has passed since the
// start, because the daemon may not know the members of its zone yet, nor once the
// daemon has left.
func (t *Table) UpdateRelayRole(count int, warmUp time.Duration) {
	self := t.Self()
	if t.clock.Now().Since(t.startedAt) < warmUp || !self.Present() {
		return
	}
	relay := slices.ContainsFunc(t.Relays(self.Zone, count), func(member Member) bool { return member.Address == self.Address })
	t.UpdateSelf(func(self *Member) { self.Relay = relay })
}

// rankRelays sorts members by their suitability as relays: by descending link
// capacity, then daemons that serve the control API, since they carry no requests, then
// by a hash of the address, which spreads the work over machines.
func rankRelays(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			compareBools(b.ServesControl, a.ServesControl),
			cmp.Compare(addressHash(a.Address), addressHash(b.Address)),
		)
	})
}

// compareBools compares a and b, with false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// pickDistinctHosts returns the first count members that have different hosts in their
// addresses.
func pickDistinctHosts(members []Member, count int) []Member {
	usedHosts := map[string]bool{}
	var picked []Member
	for _, member := range members {
		host, _, _ := strings.Cut(string(member.Address), ":")
		if !usedHosts[host] && len(picked) < count {
			usedHosts[host] = true
			picked = append(picked, member)
		}
	}
	return picked
}

func addressHash(address ids.Address) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
