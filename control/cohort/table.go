// Package cohort is how the daemons know each other: probes to a few members
// in turn, second opinions through third parties, suspicion before removal. A
// daemon knows all members of its own zone, and of other zones the backbone:
// those that serve control and those that relay.
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
	mark  int64
	// left is when a member ceased to be of the backbone: other zones are told so
	// for a while, so that older reports don't bring it back there.
	left   clock.Instant
	former bool
}

// Table holds the members that a daemon knows, itself included.
type Table struct {
	lock     sync.Mutex
	clock    clock.Clock
	born     clock.Instant
	self     Member
	members  map[ids.Address]*seen
	sums     Sums
	snapshot []Member
}

// Sums are digests of the members that are present: equal sums mean equal
// tables. Daemons of one zone compare both, others only that of the backbone.
type Sums struct {
	Zone     int64 `avro:"Zone"`
	Backbone int64 `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Sums) SchemaName() string { return "Sums_23" }

// NewTable makes a table that knows only its own daemon.
func NewTable(machine clock.Clock, self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	table := &Table{clock: machine, born: machine.Now(), self: self, members: map[ids.Address]*seen{}}
	table.put(self)
	return table
}

// Self gives the table's own daemon.
func (table *Table) Self() Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.self
}

// Announce changes what the daemon says of itself.
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
		if known == nil && !table.kept(report) {
			continue
		}
		if known == nil || report.newer(known.Member) {
			table.put(report)
			news = true
		}
	}
	return news
}

// kept tells whether a member belongs into this table.
func (table *Table) kept(member Member) bool {
	return member.Zone == table.self.Zone || member.Backbone()
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

// Members gives all members in the order of their addresses; the list is shared
// and must not be changed.
func (table *Table) Members() []Member {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.snapshot != nil {
		return table.snapshot
	}
	members := make([]Member, 0, len(table.members))
	for _, known := range table.members {
		if table.kept(known.Member) {
			members = append(members, known.Member)
		}
	}
	sort.Slice(members, func(left, right int) bool { return members[left].Address < members[right].Address })
	table.snapshot = members
	return members
}

// Find gives the member at an address.
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
func (table *Table) Since(address ids.Address) clock.Span {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.members[address]
	if known == nil {
		return 0
	}
	return table.clock.Now().Since(known.since)
}

// Sums gives the digests of the table.
func (table *Table) Sums() Sums {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.sums
}

// put replaces what is known of a member; the sums change by that member alone.
func (table *Table) put(member Member) {
	table.snapshot = nil
	known := table.members[member.Address]
	if known == nil {
		known = &seen{}
		table.members[member.Address] = known
	} else {
		table.add(known)
	}
	if known.State != member.State || known.Incarnation == 0 {
		known.since = table.clock.Now()
	}
	if known.Backbone() && !member.Backbone() {
		known.former, known.left = true, table.clock.Now()
	}
	known.Member, known.told, known.mark = member, 0, markOf(member)
	table.add(known)
}

// add puts a member's mark into the sums, or takes it out again: marks are
// joined by exclusive or.
func (table *Table) add(known *seen) {
	if !known.Present() {
		return
	}
	if known.Zone == table.self.Zone {
		table.sums.Zone ^= known.mark
	}
	if known.Backbone() {
		table.sums.Backbone ^= known.mark
	}
}

func markOf(member Member) int64 {
	digest := fnv.New64a()
	body, _ := courier.Pack(member)
	_, _ = digest.Write(body)
	return int64(digest.Sum64())
}
