package simulation

import (
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// durableState is what a machine's disk must bear out when its next process begins.
type durableState struct {
	// slots are what the disk was known to hold when the last process ended.
	slots map[string]register.Slot
	// diskLost says that the disk was lost since, under the identity that it had.
	diskLost bool
	identity ids.Incarnation
}

// recordDurableState notes what the disk holds as its process ends.
func (m *Machine) recordDurableState() {
	if m.process.control == nil {
		return
	}
	kept := map[string]register.Slot{}
	for _, slot := range m.process.control.Slots() {
		kept[slot.Key] = slot
	}
	m.durable.slots = kept
}

// recordDiskLoss notes that the disk is lost.
func (m *Machine) recordDiskLoss() {
	voters, err := transport.Unmarshal[register.VoterSet](m.durable.slots[register.VotersKey].Accepted.Value)
	m.durable.slots = nil
	if seat, found := memberOf(voters, m); err == nil && found {
		m.durable.diskLost, m.durable.identity = true, seat.Incarnation
	}
}

func memberOf(voters register.VoterSet, machine *Machine) (register.Member, bool) {
	for _, seat := range voters.Members {
		if hostOf(seat.Address) == machine.ip {
			return seat, true
		}
	}
	return register.Member{}, false
}

// checkDurableState checks that what a process promised and accepted outlasted it.
func (m *Machine) checkDurableState() {
	held := map[string]register.Slot{}
	for _, slot := range m.process.control.Slots() {
		held[slot.Key] = slot
	}
	for _, key := range sortedKeys(m.durable.slots) {
		was, now := m.durable.slots[key], held[key]
		order := was.Accepted.Epoch.Compare(now.Accepted.Epoch)
		older := order > 0 || (order == 0 && was.Accepted.Sequence > now.Accepted.Sequence)
		if older || was.Promised.Compare(now.Promised) > 0 {
			m.cluster.reportViolation("%s starts without what its disk had for %s: epoch %d and %d, sequence %d, now %d and %d, %d", m.name, key,
				was.Promised.Number, was.Accepted.Epoch.Number, was.Accepted.Sequence, now.Promised.Number, now.Accepted.Epoch.Number, now.Accepted.Sequence)
			return
		}
	}
}

// checkLostDiskIdentity checks that a disk that was lost votes as another.
func (m *Machine) checkLostDiskIdentity() {
	if !m.durable.diskLost || !m.process.control.IsVoter() {
		return
	}
	if seat, found := memberOf(m.process.control.Voters(), m); found && seat.Incarnation == m.durable.identity {
		m.cluster.reportViolation("%s lost its disk and votes as if it had not", m.name)
	}
	m.durable.diskLost = false
}
