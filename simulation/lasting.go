package simulation

import (
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// lasting is what a machine's disk must bear out when its next process begins.
type lasting struct {
	// slots are what the disk was known to hold when the last process ended.
	slots map[string]register.Slot
	// lost says that the disk was lost since, under the identity that it had.
	lost     bool
	identity ids.Incarnation
}

// ends notes what the disk holds as its process ends.
func (m *Machine) ends() {
	if m.life.control == nil {
		return
	}
	kept := map[string]register.Slot{}
	for _, slot := range m.life.control.Slots() {
		kept[slot.Key] = slot
	}
	m.lasting.slots = kept
}

// losesDisk notes that the disk is lost.
func (m *Machine) losesDisk() {
	voters, err := transport.Unmarshal[register.VoterSet](m.lasting.slots[register.VotersKey].Accepted.Value)
	m.lasting.slots = nil
	if seat, found := seatOf(voters, m); err == nil && found {
		m.lasting.lost, m.lasting.identity = true, seat.Incarnation
	}
}

func seatOf(voters register.VoterSet, machine *Machine) (register.Member, bool) {
	for _, seat := range voters.Members {
		if hostOf(seat.Address) == machine.ip {
			return seat, true
		}
	}
	return register.Member{}, false
}

// begins checks that what a process promised and accepted outlasted it.
func (m *Machine) begins() {
	held := map[string]register.Slot{}
	for _, slot := range m.life.control.Slots() {
		held[slot.Key] = slot
	}
	for _, key := range sortedKeys(m.lasting.slots) {
		was, now := m.lasting.slots[key], held[key]
		order := was.Accepted.Epoch.Compare(now.Accepted.Epoch)
		older := order > 0 || (order == 0 && was.Accepted.Sequence > now.Accepted.Sequence)
		if older || was.Promised.Compare(now.Promised) > 0 {
			m.world.violate("%s starts without what its disk had for %s: epoch %d and %d, sequence %d, now %d and %d, %d", m.name, key,
				was.Promised.Number, was.Accepted.Epoch.Number, was.Accepted.Sequence, now.Promised.Number, now.Accepted.Epoch.Number, now.Accepted.Sequence)
			return
		}
	}
}

// votes checks that a disk that was lost votes as another.
func (m *Machine) votes() {
	if !m.lasting.lost || !m.life.control.IsVoter() {
		return
	}
	if seat, found := seatOf(m.life.control.Voters(), m); found && seat.Incarnation == m.lasting.identity {
		m.world.violate("%s lost its disk and votes as if it had not", m.name)
	}
	m.lasting.lost = false
}
