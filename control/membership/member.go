package membership

import (
	"cmp"

	"onyxwell/base/ids"
)

// State is the liveness state of a member.
type State int64

// The states of a member. Of two reports with the same incarnation, the one with the
// higher state wins.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer a probe; messages are still sent to them.
	Suspect
	// Left members announced their shutdown.
	Left
	// Removed members did not refute a suspicion in time.
	Removed
)

// Member is a report about one daemon, in the form that daemons send to each other.
type Member struct {
	Address ids.Address `avro:"Address"`
	Role    string      `avro:"Role"`
	Zone    ids.Zone    `avro:"Zone"`
	Region  ids.Region  `avro:"Region"`
	// ClientAddress is the address at which a router serves clients; empty for other
	// roles.
	ClientAddress ids.Address `avro:"Front"`
	// Ready reports whether the daemon is ready to do its work.
	Ready bool `avro:"Ready"`
	// Degraded reports whether a router reaches no runner for some of its routes.
	Degraded bool `avro:"Unable"`
	// ServesControl reports whether the daemon serves the control API, Relay whether
	// it forwards updates for its zone.
	ServesControl bool `avro:"Core"`
	Relay         bool `avro:"Relay"`
	// LinkMbps is the link capacity of the daemon's machine in Mbit/s.
	LinkMbps    int64           `avro:"LinkMbps"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
	State       State           `avro:"State"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Member) SchemaName() string { return "Member_23" }

// Present reports whether messages may be sent to the member.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Restored reports whether the member is known only from disk: no report about it
// has arrived since this daemon started, so its state carries no information.
func (m Member) Restored() bool { return m.Incarnation == 0 }

// Backbone reports whether the member belongs to the backbone, whose members are tracked
// in all zones. Other members are tracked only in their own zone.
func (m Member) Backbone() bool { return m.ServesControl || m.Relay }

// supersedes reports whether m overrides the other report about the same member.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// compareAddresses compares members by address.
func compareAddresses(a, b Member) int { return cmp.Compare(a.Address, b.Address) }
