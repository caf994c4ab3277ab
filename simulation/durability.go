package simulation

import (
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// durableState is what a machine's disk must still hold when its next process
// starts.
type durableState struct {
	// slots are what the last process had made durable, by key.
	slots map[string]register.Slot
	// diskLost says that the disk was lost since, on which it voted as identity.
	diskLost bool
	identity ids.Incarnation
}

// recordDurableState records what the disk holds as its process is killed.
func (m *Machine) recordDurableState() {
	if m.process.controller != nil {
		m.durable.slots = slotsByKey(m.process)
	}
}

func slotsByKey(p *process) map[string]register.Slot {
	slots := map[string]register.Slot{}
	for _, slot := range p.controller.Slots() {
		slots[slot.Key] = slot
	}
	return slots
}

// recordDiskLoss records that the disk was lost.
func (m *Machine) recordDiskLoss() {
	m.cluster.counters.DiskLost()
	voters, err := transport.Unmarshal[register.VoterSet](m.durable.slots[register.VotersKey].Accepted.Value)
	m.durable.slots = nil
	if member, ok := memberOf(voters, m); err == nil && ok {
		m.durable.diskLost, m.durable.identity = true, member.Incarnation
	}
}

func memberOf(voters register.VoterSet, machine *Machine) (register.Member, bool) {
	for _, member := range voters.Members {
		if hostOf(member.Address) == machine.ip {
			return member, true
		}
	}
	return register.Member{}, false
}

// checkDurableState checks that a process starts with all that the one before it
// had promised and accepted.
func (m *Machine) checkDurableState() {
	slots := slotsByKey(m.process)
	for _, key := range sortedKeys(m.durable.slots) {
		before, now := m.durable.slots[key], slots[key]
		if isNewer(before.Accepted, now.Accepted) || before.Promised.Compare(now.Promised) > 0 {
			m.cluster.reportViolation("%s starts without what its disk had for %s: epoch %d and %d, sequence %d, now %d and %d, %d", m.name, key,
				before.Promised.Number, before.Accepted.Epoch.Number, before.Accepted.Sequence,
				now.Promised.Number, now.Accepted.Epoch.Number, now.Accepted.Sequence)
			return
		}
	}
}

// isNewer reports whether a proposal comes after another: by epoch, then by
// sequence.
func isNewer(proposal register.Proposal, other register.Proposal) bool {
	order := proposal.Epoch.Compare(other.Epoch)
	return order > 0 || (order == 0 && proposal.Sequence > other.Sequence)
}

// checkLostDiskIdentity checks that a disk that was lost votes under another
// identity.
func (m *Machine) checkLostDiskIdentity() {
	if !m.durable.diskLost || !m.process.controller.IsVoter() {
		return
	}
	if member, ok := memberOf(m.process.controller.Voters(), m); ok && member.Incarnation == m.durable.identity {
		m.cluster.reportViolation("%s lost its disk and votes as if it had not", m.name)
	}
	m.durable.diskLost = false
}
