// Package membership is how the daemons know each other: probes to a few members
// in turn, second opinions through third parties, suspicion before removal. A
// daemon knows all members of its own zone, and of other zones the backbone:
// those that serve control and those that relay.
package membership

import (
	"hash/fnv"
	"sort"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

type entry struct {
	Member
	stateSince clock.Instant
	transmits  int
	hash       int64
	// leftBackboneAt is when a member ceased to be of the backbone: other zones are told so
	// for a while, so that older reports don't bring it back there.
	leftBackboneAt clock.Instant
	formerBackbone bool
}

// Table holds the members that a daemon knows, itself included.
type Table struct {
	mu        sync.Mutex
	clock     clock.Clock
	startedAt clock.Instant
	self      Member
	members   map[ids.Address]*entry
	digest    Digest
	snapshot  []Member
}

// Digest are digests of the members that are present: equal sums mean equal
// tables. Daemons of one zone compare both, others only that of the backbone.
type Digest struct {
	Zone     int64 `avro:"Zone"`
	Backbone int64 `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Digest) SchemaName() string { return "Sums_23" }

// NewTable makes a table that knows only its own daemon.
func NewTable(machine clock.Clock, self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	table := &Table{clock: machine, startedAt: machine.Now(), self: self, members: map[ids.Address]*entry{}}
	table.put(self)
	return table
}

// Self gives the table's own daemon.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes what the daemon says of itself.
func (t *Table) UpdateSelf(change func(self *Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if t.self != before {
		t.self.Incarnation++
		t.put(t.self)
	}
}

// Merge takes reports of members and tells whether any was news. A report that
// the daemon itself is gone is refuted by a higher incarnation.
func (t *Table) Merge(reports []Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, report := range reports {
		if report.Address == t.self.Address {
			news = t.refute(report) || news
			continue
		}
		known := t.members[report.Address]
		if known == nil && !t.tracks(report) {
			continue
		}
		if known == nil || report.supersedes(known.Member) {
			t.put(report)
			news = true
		}
	}
	return news
}

// tracks tells whether a member belongs into this table.
func (t *Table) tracks(member Member) bool {
	return member.Zone == t.self.Zone || member.Backbone()
}

func (t *Table) refute(report Member) bool {
	if !report.supersedes(t.self) && report == t.self {
		return false
	}
	if report.Incarnation < t.self.Incarnation {
		return false
	}
	t.self.Incarnation = report.Incarnation + 1
	t.put(t.self)
	return true
}

// AdvanceState moves a member to a state on this daemon's own evidence.
func (t *Table) AdvanceState(address ids.Address, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[address]
	if known == nil || address == t.self.Address || known.State >= state {
		return
	}
	report := known.Member
	report.State = state
	t.put(report)
}

// Members gives all members in the order of their addresses; the list is shared
// and must not be changed.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshot != nil {
		return t.snapshot
	}
	members := make([]Member, 0, len(t.members))
	for _, known := range t.members {
		if t.tracks(known.Member) {
			members = append(members, known.Member)
		}
	}
	sort.Slice(members, func(left, right int) bool { return members[left].Address < members[right].Address })
	t.snapshot = members
	return members
}

// Find gives the member at an address.
func (t *Table) Find(address ids.Address) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[address]
	if known == nil {
		return Member{}, false
	}
	return known.Member, true
}

// StateAge tells for how long a member has been in its state.
func (t *Table) StateAge(address ids.Address) clock.Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[address]
	if known == nil {
		return 0
	}
	return t.clock.Now().Since(known.stateSince)
}

// Digest gives the digests of the table.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// put replaces what is known of a member; the sums change by that member alone.
func (t *Table) put(member Member) {
	t.snapshot = nil
	known := t.members[member.Address]
	if known == nil {
		known = &entry{}
		t.members[member.Address] = known
	} else {
		t.toggleDigest(known)
	}
	if known.State != member.State || known.Incarnation == 0 {
		known.stateSince = t.clock.Now()
	}
	if known.Backbone() && !member.Backbone() {
		known.formerBackbone, known.leftBackboneAt = true, t.clock.Now()
	}
	known.Member, known.transmits, known.hash = member, 0, memberHash(member)
	t.toggleDigest(known)
}

// toggleDigest puts a member's mark into the sums, or takes it out again: marks are
// joined by exclusive or.
func (t *Table) toggleDigest(known *entry) {
	if !known.Present() {
		return
	}
	if known.Zone == t.self.Zone {
		t.digest.Zone ^= known.hash
	}
	if known.Backbone() {
		t.digest.Backbone ^= known.hash
	}
}

func memberHash(member Member) int64 {
	digest := fnv.New64a()
	body, _ := transport.Marshal(member)
	_, _ = digest.Write(body)
	return int64(digest.Sum64())
}
