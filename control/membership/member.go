package membership

import "onyxwell/base/ids"

// State is a member's standing.
type State int64

// The states; of two reports of one incarnation the higher state counts.
const (
	Alive State = iota
	Suspect
	Left
	Removed
)

// Member is one daemon as the others know it.
type Member struct {
	Address       ids.Address `avro:"Address"`
	Role          string      `avro:"Role"`
	Zone          ids.Zone    `avro:"Zone"`
	Region        ids.Region  `avro:"Region"`
	ClientAddress ids.Address `avro:"Front"`
	Ready         bool        `avro:"Ready"`
	// Degraded says that a router reaches no runner for some of its routes.
	Degraded bool `avro:"Unable"`
	// ServesControl says that the daemon serves control; Relay that it passes news on for
	// its zone. Both are known everywhere, others only in their own zone.
	ServesControl bool `avro:"Core"`
	Relay         bool `avro:"Relay"`
	// LinkMbps is how much the daemon's machine can carry.
	LinkMbps    int64           `avro:"LinkMbps"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
	State       State           `avro:"State"`
}

// SchemaName names the stored and sent form; it must never change.
func (Member) SchemaName() string { return "Member_23" }

// Present tells whether the member may be spoken to.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Restored tells whether the member is known from the disk alone: nothing was
// heard of it since the daemon started, so its state says nothing of it.
func (m Member) Restored() bool { return m.Incarnation == 0 }

// Backbone tells whether the member is known in all zones.
func (m Member) Backbone() bool { return m.ServesControl || m.Relay }

// supersedes tells whether this report overrides the other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}
