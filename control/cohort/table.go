// Package cohort is how the daemons know each other: probes to a few members
// in turn, second opinions through third parties, suspicion before removal.
package cohort

import (
	"hash/fnv"
	"sort"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/courier"
)

type seen struct {
	Member
	since clock.Instant
	told  int
}

// Table holds the members that a daemon knows, itself included.
type Table struct {
	lock    sync.Mutex
	clock   clock.Clock
	self    Member
	members map[ids.Address]*seen
	sum     int64
}

// NewTable makes a table that knows only its own daemon.
//
// Example:
//
//	table := cohort.NewTable(top.Clock, cohort.Member{Address: address, Role: "router"})
func NewTable(machine clock.Clock, self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	table := &Table{clock: machine, self: self, members: map[ids.Address]*seen{}}
	table.put(self)
	return table
}

// Self gives the table's own daemon.
//
// Example:
//
//	region := table.Self().Region
func (table *Table) Self() Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.self
}

// Announce changes what the daemon says of itself.
//
// Example:
//
//	table.Announce(func(self *cohort.Member) { self.Ready = true })
func (table *Table) Announce(change func(self *Member)) {
	table.lock.Lock()
	defer table.lock.Unlock()
	before := table.self
	change(&table.self)
	if table.self != before {
		table.self.Incarnation++
		table.put(table.self)
	}
}

// Merge takes reports of members and tells whether any was news. A report that
// the daemon itself is gone is refuted by a higher incarnation.
//
// Example:
//
//	if table.Merge(told.Members) { spreadSoon() }
func (table *Table) Merge(reports []Member) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	news := false
	for _, report := range reports {
		if report.Address == table.self.Address {
			news = table.refute(report) || news
			continue
		}
		known := table.members[report.Address]
		if known == nil || report.newer(known.Member) {
			table.put(report)
			news = true
		}
	}
	return news
}

func (table *Table) refute(report Member) bool {
	if !report.newer(table.self) && report == table.self {
		return false
	}
	if report.Incarnation < table.self.Incarnation {
		return false
	}
	table.self.Incarnation = report.Incarnation + 1
	table.put(table.self)
	return true
}

// Judge moves a member to a state on this daemon's own evidence.
//
// Example:
//
//	table.Judge(address, cohort.Suspect)
func (table *Table) Judge(address ids.Address, state State) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.members[address]
	if known == nil || address == table.self.Address || known.State >= state {
		return
	}
	report := known.Member
	report.State = state
	table.put(report)
}

// Members gives all members in the order of their addresses.
//
// Example:
//
//	for _, member := range table.Members() { ... }
func (table *Table) Members() []Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.sorted()
}

// Find gives the member at an address.
//
// Example:
//
//	member, found := table.Find(address)
func (table *Table) Find(address ids.Address) (Member, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.members[address]
	if known == nil {
		return Member{}, false
	}
	return known.Member, true
}

// Since tells for how long a member has been in its state.
//
// Example:
//
//	if table.Since(address) > patience { replace(address) }
func (table *Table) Since(address ids.Address) clock.Span {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.members[address]
	if known == nil {
		return 0
	}
	return table.clock.Now().Since(known.since)
}

// Sum is a digest of the whole table: equal sums mean equal tables.
//
// Example:
//
//	if told.Sum != table.Sum() { sendMembers() }
func (table *Table) Sum() int64 {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.sum
}

func (table *Table) put(member Member) {
	known := table.members[member.Address]
	if known == nil || known.State != member.State {
		table.members[member.Address] = &seen{Member: member, since: table.clock.Now()}
	} else {
		known.Member, known.told = member, 0
	}
	digest := fnv.New64a()
	body, _ := courier.Pack(list{Members: table.sorted()})
	_, _ = digest.Write(body)
	table.sum = int64(digest.Sum64())
}

type list struct{ Members []Member }

func (table *Table) sorted() []Member {
	members := make([]Member, 0, len(table.members))
	for _, known := range table.members {
		members = append(members, known.Member)
	}
	sort.Slice(members, func(left, right int) bool { return members[left].Address < members[right].Address })
	return members
}

// untold gives up to count reports that were told least often.
func (table *Table) untold(count int) []Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	var fresh []*seen
	for _, known := range table.members {
		if known.told < 4 {
			fresh = append(fresh, known)
		}
	}
	sort.Slice(fresh, func(left, right int) bool {
		if fresh[left].told != fresh[right].told {
			return fresh[left].told < fresh[right].told
		}
		return fresh[left].Address < fresh[right].Address
	})
	var reports []Member
	for _, known := range fresh[:min(count, len(fresh))] {
		known.told++
		reports = append(reports, known.Member)
	}
	return reports
}
