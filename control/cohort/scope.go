package cohort

import (
	"sort"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Pacing of what is forgotten: members that left say so themselves; removed
// ones may be alive behind a cut and count for longer. One that is no longer of
// the backbone is remembered until nobody reports it as such any more.
const (
	leftStays     = 10 * 60 * clock.Second
	removedStays  = 60 * 60 * clock.Second
	strangerStays = 60 * clock.Second
)

// Forget drops members that were gone for very long.
func (table *Table) Forget() {
	table.lock.Lock()
	defer table.lock.Unlock()
	now := table.clock.Now()
	for address, known := range table.members {
		away := now.Since(known.since)
		stranger := !table.kept(known.Member) && now.Since(known.left) > strangerStays
		gone := (known.State == Left && away > leftStays) || (known.State == Removed && away > removedStays)
		if address != table.self.Address && (stranger || gone) {
			table.add(known)
			delete(table.members, address)
			table.snapshot = nil
		}
	}
}

// Now is the present instant on the table's clock.
func (table *Table) Now() clock.Instant { return table.clock.Now() }

// Seasoned tells whether the daemon has lived for as long as members that are
// gone are remembered.
func (table *Table) Seasoned() bool { return table.clock.Now().Since(table.born) > removedStays }

// Told gives the members to tell a daemon: all, where it is of the same zone;
// otherwise the backbone, and those that lately were part of it.
func (table *Table) Told(zone ids.Zone) []Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	var members []Member
	for _, known := range table.members {
		if table.tells(known, zone) {
			members = append(members, known.Member)
		}
	}
	sort.Slice(members, func(left, right int) bool { return members[left].Address < members[right].Address })
	return members
}

func (table *Table) tells(known *seen, zone ids.Zone) bool {
	if known.Backbone() || known.Address == table.self.Address {
		return true
	}
	lately := known.former && table.clock.Now().Since(known.left) <= strangerStays
	return lately || (known.Zone == table.self.Zone && zone == table.self.Zone)
}

// Differs tells whether a table of another daemon with these sums differs in
// what both should know.
func (table *Table) Differs(zone ids.Zone, sums Sums) bool {
	own := table.Sums()
	return own.Backbone != sums.Backbone || (zone == table.Self().Zone && own.Zone != sums.Zone)
}

// untold gives the daemon's own report and up to count others that were told
// least often and that a daemon at the address should know.
func (table *Table) untold(count int, to ids.Address) []Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	zone := table.self.Zone
	if known := table.members[to]; known != nil {
		zone = known.Zone
	}
	var fresh []*seen
	for _, known := range table.members {
		if known.told < 4 && known.Address != table.self.Address && table.tells(known, zone) {
			fresh = append(fresh, known)
		}
	}
	sort.Slice(fresh, func(left, right int) bool {
		if fresh[left].told != fresh[right].told {
			return fresh[left].told < fresh[right].told
		}
		return fresh[left].Address < fresh[right].Address
	})
	reports := []Member{table.self}
	for _, known := range fresh[:min(count, len(fresh))] {
		known.told++
		reports = append(reports, known.Member)
	}
	return reports
}
