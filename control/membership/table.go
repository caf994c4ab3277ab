package membership

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// entry is what a table holds of a member beside its report.
type entry struct {
	Member
	stateSince clock.Instant
	// transmits is how often this report was sent on a datagram.
	transmits int
	hash      int64
	// formerBackbone says that the member ceased to be of the backbone, at
	// leftBackboneAt. Other zones are told so for a while, lest older reports
	// bring it back there.
	formerBackbone bool
	leftBackboneAt clock.Instant
}

// Table holds the members that a daemon knows, itself included. It is safe for
// concurrent use.
type Table struct {
	mu        sync.Mutex
	clock     clock.Clock
	startedAt clock.Instant
	self      Member
	members   map[ids.Address]*entry
	digest    Digest
	// snapshot caches Members; nil after any change.
	snapshot []Member
}

// Digest sums up the members that are present: equal digests mean equal tables,
// but for collisions of a 64-bit hash. Daemons of one zone compare both parts,
// others only that of the backbone.
type Digest struct {
	Zone     int64 `avro:"Zone"`
	Backbone int64 `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Digest) SchemaName() string { return "Sums_23" }

// NewTable returns a table that knows only its own daemon, in an incarnation of
// at least 1.
func NewTable(source clock.Clock, self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	table := &Table{clock: source, startedAt: source.Now(), self: self, members: map[ids.Address]*entry{}}
	table.put(self)
	return table
}

// Self returns the report of the table's own daemon.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the report of the table's own daemon; a change raises its
// incarnation, so that it overrides the earlier report everywhere. The function
// must not call the table.
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

// Merge takes reports from other daemons and reports whether any changed the
// table. A report that the table's own daemon is gone is refuted by a higher
// incarnation.
func (t *Table) Merge(reports []Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, report := range reports {
		if report.Address == t.self.Address {
			changed = t.refute(report) || changed
			continue
		}
		known := t.members[report.Address]
		if known == nil && !t.tracks(report) {
			continue
		}
		if known == nil || report.supersedes(known.Member) {
			t.put(report)
			changed = true
		}
	}
	return changed
}

// tracks reports whether a member belongs in this table.
func (t *Table) tracks(member Member) bool {
	return member.Zone == t.self.Zone || member.Backbone()
}

// refute raises the own incarnation above that of a report which is not what
// this daemon says of itself: a suspicion, or a report of its previous process.
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

// AdvanceState moves a member to a higher state, on this daemon's own evidence
// and in the incarnation that it knows. A state that is not higher, an unknown
// member and the own daemon are left alone.
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

// Members returns all members in the order of their addresses. The slice is
// shared and must not be changed.
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
	slices.SortFunc(members, compareAddresses)
	t.snapshot = members
	return members
}

// Find returns the member at an address, and whether it is known.
func (t *Table) Find(address ids.Address) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[address]
	if known == nil {
		return Member{}, false
	}
	return known.Member, true
}

// StateAge returns for how long a member has been in its state, 0 where it is
// unknown.
func (t *Table) StateAge(address ids.Address) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[address]
	if known == nil {
		return 0
	}
	return t.clock.Now().Since(known.stateSince)
}

// Digest returns the digest of the members that are present.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// put replaces what is known of a member, and its part in the digest. The caller
// holds mu.
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

// toggleDigest adds an entry to the digest or takes it out again: the digest is
// the exclusive or of the hashes, so both are the same operation.
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

// memberHash hashes the encoded report: daemons compare digests over the wire,
// so it must be the same in all of them.
func memberHash(member Member) int64 {
	hash := fnv.New64a()
	body, _ := transport.Marshal(member)
	_, _ = hash.Write(body)
	return int64(hash.Sum64())
}
