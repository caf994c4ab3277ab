package cohort

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
	Address ids.Address
	Role    string
	Zone    ids.Zone
	Region  ids.Region
	Front   ids.Address
	Ready   bool
	// Unable says that a router reaches no runner for some of its routes.
	Unable bool
	// Core says that the daemon serves control; Relay that it passes news on for
	// its zone. Both are known everywhere, others only in their own zone.
	Core  bool
	Relay bool
	// LinkMbps is how much the daemon's machine can carry.
	LinkMbps    int64
	Incarnation ids.Incarnation
	State       State
}

// Present tells whether the member may be spoken to.
//
// Example:
//
//	if member.Present() { exchange(member) }
func (member Member) Present() bool { return member.State == Alive || member.State == Suspect }

// Backbone tells whether the member is known in all zones.
//
// Example:
//
//	if member.Zone != own && !member.Backbone() { forget(member) }
func (member Member) Backbone() bool { return member.Core || member.Relay }

// newer tells whether this report overrides the other.
func (member Member) newer(other Member) bool {
	if member.Incarnation != other.Incarnation {
		return member.Incarnation > other.Incarnation
	}
	return member.State > other.State
}
