package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"onyxwell/base/ids"
)

// Relays returns up to count daemons that forward updates for a zone, the
// preferred one first, each on a machine of its own. For the own zone every
// member computes them from its table; those of other zones are the ones that
// announce themselves. No agreement is needed: versions only rise, so two views
// of who relays cost bandwidth alone.
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

// UpdateRelayRole sets the own Relay flag by whether the daemon is one of the
// first count relays of its zone. It does nothing within the warm-up span after
// the start, in which the daemon may not know its zone yet.
func (t *Table) UpdateRelayRole(count int, warmUp time.Duration) {
	self := t.Self()
	if t.clock.Now().Since(t.startedAt) < warmUp || !self.Present() {
		return
	}
	relay := slices.ContainsFunc(t.Relays(self.Zone, count), func(member Member) bool { return member.Address == self.Address })
	t.UpdateSelf(func(self *Member) { self.Relay = relay })
}

// rankRelays orders members by how well they relay: by link capacity, then those
// that serve control and so carry no requests, then by a hash of the address,
// which spreads the work over machines.
func rankRelays(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			compareBools(b.ServesControl, a.ServesControl),
			cmp.Compare(addressHash(a.Address), addressHash(b.Address)),
		)
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// pickDistinctHosts returns the first count members that stand on different machines.
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
