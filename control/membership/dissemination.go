package membership

import (
	"sort"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Pacing of what is forgotten: members that left say so themselves; removed
// ones may be alive behind a cut and count for longer. One that is no longer of
// the backbone is remembered until nobody reports it as such any more.
const (
	leftRetention           = 10 * 60 * clock.Second
	removedRetention        = 60 * 60 * clock.Second
	formerBackboneRetention = 60 * clock.Second
)

// Prune drops members that were gone for very long.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for address, known := range t.members {
		away := now.Since(known.stateSince)
		stranger := !t.tracks(known.Member) && now.Since(known.leftBackboneAt) > formerBackboneRetention
		gone := (known.State == Left && away > leftRetention) || (known.State == Removed && away > removedRetention)
		if address != t.self.Address && (stranger || gone) {
			t.toggleDigest(known)
			delete(t.members, address)
			t.snapshot = nil
		}
	}
}

// Now is the present instant on the table's clock.
func (t *Table) Now() clock.Instant { return t.clock.Now() }

// KnowsFullHistory tells whether the daemon has lived for as long as members that are
// gone are remembered.
func (t *Table) KnowsFullHistory() bool { return t.clock.Now().Since(t.startedAt) > removedRetention }

// MembersFor gives the members to tell a daemon: all, where it is of the same zone;
// otherwise the backbone, and those that lately were part of it.
func (t *Table) MembersFor(zone ids.Zone) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, known := range t.members {
		if t.sharesWith(known, zone) {
			members = append(members, known.Member)
		}
	}
	sort.Slice(members, func(left, right int) bool { return members[left].Address < members[right].Address })
	return members
}

func (t *Table) sharesWith(known *entry, zone ids.Zone) bool {
	if known.Backbone() || known.Address == t.self.Address {
		return true
	}
	lately := known.formerBackbone && t.clock.Now().Since(known.leftBackboneAt) <= formerBackboneRetention
	return lately || (known.Zone == t.self.Zone && zone == t.self.Zone)
}

// Differs tells whether a table of another daemon with these sums differs in
// what both should know.
func (t *Table) Differs(zone ids.Zone, sums Digest) bool {
	own := t.Digest()
	return own.Backbone != sums.Backbone || (zone == t.Self().Zone && own.Zone != sums.Zone)
}

// selectReports gives the daemon's own report and up to count others that were told
// least often and that a daemon at the address should know.
func (t *Table) selectReports(count int, to ids.Address) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.self.Zone
	if known := t.members[to]; known != nil {
		zone = known.Zone
	}
	var fresh []*entry
	for _, known := range t.members {
		if known.transmits < 4 && known.Address != t.self.Address && t.sharesWith(known, zone) {
			fresh = append(fresh, known)
		}
	}
	sort.Slice(fresh, func(left, right int) bool {
		if fresh[left].transmits != fresh[right].transmits {
			return fresh[left].transmits < fresh[right].transmits
		}
		return fresh[left].Address < fresh[right].Address
	})
	reports := []Member{t.self}
	for _, known := range fresh[:min(count, len(fresh))] {
		known.transmits++
		reports = append(reports, known.Member)
	}
	return reports
}
