package membership

import (
	"cmp"

	"onyxwell/base/ids"
)

// State is what is believed of a member.
type State int64

// The states; of two reports of one incarnation the higher state counts.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer; they are still spoken to.
	Suspect
	// Left members announced that they shut down.
	Left
	// Removed members did not refute a suspicion in time.
	Removed
)

// Member is a report of one daemon, as it travels between daemons.
type Member struct {
	Address ids.Address `avro:"Address"`
	Role    string      `avro:"Role"`
	Zone    ids.Zone    `avro:"Zone"`
	Region  ids.Region  `avro:"Region"`
	// ClientAddress is where a router serves clients; empty for other roles.
	ClientAddress ids.Address `avro:"Front"`
	// Ready says that the daemon does its work.
	Ready bool `avro:"Ready"`
	// Degraded says that a router reaches no runner for some of its routes.
	Degraded bool `avro:"Unable"`
	// ServesControl says that the daemon serves the control API, Relay that it
	// forwards updates for its zone.
	ServesControl bool `avro:"Core"`
	Relay         bool `avro:"Relay"`
	// LinkMbps is the link's capacity of the daemon's machine in Mbit/s.
	LinkMbps    int64           `avro:"LinkMbps"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
	State       State           `avro:"State"`
}

// SchemaName names the stored and sent form; it must never change.
func (Member) SchemaName() string { return "Member_23" }

// Present reports whether messages may be sent to the member.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Restored reports whether the member is known from the disk alone: nothing was
// heard of it since the daemon started, so its state says nothing of it.
func (m Member) Restored() bool { return m.Incarnation == 0 }

// Backbone reports whether the member is known in all zones; others are known in
// their own zone alone.
func (m Member) Backbone() bool { return m.ServesControl || m.Relay }

// supersedes reports whether this report of a member overrides the other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// compareAddresses orders members by address.
func compareAddresses(a, b Member) int { return cmp.Compare(a.Address, b.Address) }
