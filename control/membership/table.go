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

// entry is a member's report together with the table's bookkeeping for it.
type entry struct {
	Member
	stateSince clock.Instant
	// transmits is the number of datagrams on which this report has been sent.
	transmits int
	hash      int64
	// formerBackbone is set once the member has left the backbone, at
	// leftBackboneAt. Other zones are informed of that for a while, because
	// older reports would otherwise bring the member back there.
	formerBackbone bool
	leftBackboneAt clock.Instant
}

// Table holds the members known to a daemon, including the daemon itself. It is safe
// for concurrent use.
type Table struct {
	mu        sync.Mutex
	clock     clock.Clock
	startedAt clock.Instant
	self      Member
	members   map[ids.Address]*entry
	digest    Digest
	// snapshot caches the result of Members; it is nil after any change.
	snapshot []Member
}

// Digest summarizes the members that are present. Equal digests mean equal tables,
// except for collisions of a 64-bit hash. Daemons of the same zone compare both
// fields, daemons of different zones only Backbone.
type Digest struct {
	Zone     int64 `avro:"Zone"`
	Backbone int64 `avro:"Backbone"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Digest) SchemaName() string { return "Sums_23" }

// NewTable returns a table that contains only its own daemon, self, with an
// incarnation of at least 1.
func NewTable(source clock.Clock, self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	table := &Table{clock: source, startedAt: source.Now(), self: self, members: map[ids.Address]*entry{}}
	table.put(self)
	return table
}

// Self returns the report about the table's own daemon.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the report about the table's own daemon. A change raises the
// incarnation, so that the new report overrides the earlier one everywhere. The
// change function must not call methods of the table.
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

// Merge applies reports from other daemons and reports whether any of them changed
// the table. It refutes a report about the table's own daemon that differs from the
// daemon's own and is not older, such as a suspicion, by raising the incarnation.
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

// tracks reports whether the member belongs in this table.
func (t *Table) tracks(member Member) bool {
	return member.Zone == t.self.Zone || member.Backbone()
}

// refute raises this daemon's incarnation above that of a report that differs from
// the daemon's own: a suspicion, or a report from its previous process. It returns
// whether it did so. The caller holds mu.
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

// AdvanceState moves a member to a higher state within its known incarnation, on this
// daemon's own evidence. It does nothing if the state is not higher, or if the address
// is unknown or that of the table's own daemon.
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

// Members returns all tracked members, ordered by address. The slice is shared and
// must not be modified.
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

// StateAge returns how long the member at an address has been in its current state, or
// 0 if it is unknown.
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

// put stores a report about a member and updates the digest. The caller holds mu.
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

// toggleDigest adds an entry to the digest or removes it. The digest is the XOR of
// the entries' hashes, so both are the same operation. The caller holds mu.
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

// memberHash returns a hash of the encoded report. Daemons compare digests over the
// wire, so the hash must be the same in all of them.
func memberHash(member Member) int64 {
	hash := fnv.New64a()
	body, _ := transport.Marshal(member)
	_, _ = hash.Write(body)
	return int64(hash.Sum64())
}
