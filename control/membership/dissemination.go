package membership

import (
	"cmp"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// How long members that are gone are remembered. One that left said so itself;
// a removed one may be alive behind a partition, and counts for longer. A former
// member of another zone's backbone is remembered until nobody reports it as a
// present one any more.
const (
	leftRetention           = 10 * 60 * time.Second
	removedRetention        = 60 * 60 * time.Second
	formerBackboneRetention = 60 * time.Second
)

const (
	// reportsPerDatagram bounds the reports on a datagram, the own one aside.
	reportsPerDatagram = 4
	// maxTransmits is how often a report is sent on datagrams; exchanges between
	// tables spread it further.
	maxTransmits = 4
)

// Prune drops members that were gone for longer than they are remembered.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for address, known := range t.members {
		age := now.Since(known.stateSince)
		untracked := !t.tracks(known.Member) && now.Since(known.leftBackboneAt) > formerBackboneRetention
		expired := (known.State == Left && age > leftRetention) || (known.State == Removed && age > removedRetention)
		if address != t.self.Address && (untracked || expired) {
			t.toggleDigest(known)
			delete(t.members, address)
			t.snapshot = nil
		}
	}
}

// Now returns the present instant on the table's clock.
func (t *Table) Now() clock.Instant { return t.clock.Now() }

// KnowsFullHistory reports whether the daemon has run for as long as removed
// members are remembered, and so has heard of every member that counts.
func (t *Table) KnowsFullHistory() bool { return t.clock.Now().Since(t.startedAt) > removedRetention }

// MembersFor returns the members that a daemon of the zone should know, in the
// order of their addresses: all for the own zone, otherwise the backbone and
// those that lately were part of it.
func (t *Table) MembersFor(zone ids.Zone) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, known := range t.members {
		if t.sharesWith(known, zone) {
			members = append(members, known.Member)
		}
	}
	slices.SortFunc(members, compareAddresses)
	return members
}

// sharesWith reports whether daemons of the zone are told of an entry. The caller
// holds mu.
func (t *Table) sharesWith(known *entry, zone ids.Zone) bool {
	if known.Backbone() || known.Address == t.self.Address {
		return true
	}
	recentlyBackbone := known.formerBackbone && t.clock.Now().Since(known.leftBackboneAt) <= formerBackboneRetention
	return recentlyBackbone || (known.Zone == t.self.Zone && zone == t.self.Zone)
}

// Differs reports whether the table of a daemon in the zone, with that digest,
// differs from this one in what both should know.
func (t *Table) Differs(zone ids.Zone, digest Digest) bool {
	own := t.Digest()
	return own.Backbone != digest.Backbone || (zone == t.Self().Zone && own.Zone != digest.Zone)
}

// selectReports returns the reports for a datagram: the daemon's own, and of
// those that the receiver should know the ones that were sent least often.
func (t *Table) selectReports(receiver ids.Address) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.self.Zone
	if known := t.members[receiver]; known != nil {
		zone = known.Zone
	}
	var pending []*entry
	for _, known := range t.members {
		if known.transmits < maxTransmits && known.Address != t.self.Address && t.sharesWith(known, zone) {
			pending = append(pending, known)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.Address, b.Address))
	})
	reports := []Member{t.self}
	for _, known := range pending[:min(reportsPerDatagram, len(pending))] {
		known.transmits++
		reports = append(reports, known.Member)
	}
	return reports
}
