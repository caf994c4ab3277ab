package membership

import (
	"cmp"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// The retention of members that are gone. A member that left announced it itself; a
// removed one may still be alive behind a partition and is kept for longer. A former
// backbone member of another zone is kept until no daemon reports it as a current
// backbone member any more.
const (
	leftRetention           = 10 * 60 * time.Second
	removedRetention        = 60 * 60 * time.Second
	formerBackboneRetention = 60 * time.Second
)

const (
	// reportsPerDatagram bounds the reports on a datagram, not counting the sender's
	// own.
	reportsPerDatagram = 4
	// maxTransmits bounds how often a report is sent on datagrams; the exchanges of
	// package gossip spread it further.
	maxTransmits = 4
)

// Prune drops members whose retention has expired.
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

// Now returns the current time of the table's clock.
func (t *Table) Now() clock.Instant { return t.clock.Now() }

// KnowsFullHistory reports whether the daemon has run for longer than removed members
// are retained, and so has heard of every member that still counts.
func (t *Table) KnowsFullHistory() bool { return t.clock.Now().Since(t.startedAt) > removedRetention }

// MembersFor returns the members to send to a daemon of a zone, ordered by address: for
// this daemon's own zone all members of that zone, for any zone this daemon itself, the
// backbone and members that recently left it.
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

// sharesWith reports whether the entry is sent to daemons of the zone. The caller
// holds mu.
func (t *Table) sharesWith(known *entry, zone ids.Zone) bool {
	if known.Backbone() || known.Address == t.self.Address {
		return true
	}
	recentlyBackbone := known.formerBackbone && t.clock.Now().Since(known.leftBackboneAt) <= formerBackboneRetention
	return recentlyBackbone || (known.Zone == t.self.Zone && zone == t.self.Zone)
}

// Differs reports whether the table of a daemon in the zone, given its digest, differs
// from this one in the members that both should know.
func (t *Table) Differs(zone ids.Zone, digest Digest) bool {
	own := t.Digest()
	return own.Backbone != digest.Backbone || (zone == t.Self().Zone && own.Zone != digest.Zone)
}

// selectReports returns the reports to piggyback on a datagram to the receiver: this
// daemon's own, and the least often sent of those that the receiver should know. It
// counts the latter as sent once more.
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
