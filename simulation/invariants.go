package simulation

import (
	"fmt"

	"onyxwell/base/clock"
	"onyxwell/control/state/register"
)

// observations is what the checks after each step remember.
type observations struct {
	// leaseHolders are who acted under each epoch of a duty.
	leaseHolders map[leaseEpoch]string
	// lastAck is when an order was last acknowledged, gap the longest time
	// without one while orders were given.
	lastAck       clock.Span
	longestAckGap clock.Span
	ackLatencies  []clock.Span
	// recoveryTimes are the times until all was whole again.
	recoveryTimes []clock.Span
}

// leaseEpoch is a duty under an epoch.
type leaseEpoch struct {
	lease string
	epoch int64
}

func newObservations() observations { return observations{leaseHolders: map[leaseEpoch]string{}} }

// recordAck notes an acknowledgement.
func (c *Cluster) recordAck(did operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.observed.lastAck > 0 {
		c.observed.longestAckGap = max(c.observed.longestAckGap, now-c.observed.lastAck)
	}
	c.observed.lastAck = now
	c.observed.ackLatencies = append(c.observed.ackLatencies, now-did.begin)
}

// countResponse checks what a controller answered at once.
func (c *Cluster) countResponse(target *Machine, asked clientCommand, status int, took clock.Span) {
	c.count(fmt.Sprintf("answers %d", status))
}

// leaseNames are what one controller does at a time.
var leaseNames = []string{"census", "plan"}

// checkInvariants checks what must hold after each step.
func (c *Cluster) checkInvariants() {
	for _, machine := range c.machines {
		if machine.process != nil && machine.process.control != nil {
			machine.checkLostDiskIdentity()
		}
	}
	for _, duty := range leaseNames {
		holders := ""
		for _, machine := range c.machines {
			if machine.process == nil || machine.frozen || machine.process.control == nil {
				continue
			}
			epoch, held := machine.process.control.HoldsLease(duty)
			if !held {
				continue
			}
			if holders != "" {
				c.reportViolation("%s and %s both hold the duty %s", holders, machine.name, duty)
			}
			holders = machine.name
			key := leaseEpoch{lease: duty, epoch: epoch}
			if known := c.observed.leaseHolders[key]; known != "" && known != machine.name {
				c.reportViolation("%s and %s both held %s under epoch %d", known, machine.name, duty, epoch)
			}
			c.observed.leaseHolders[key] = machine.name
		}
	}
}

// newestVoters gives the newest voters that any disk knows.
func (c *Cluster) newestVoters() register.VoterSet {
	var newest register.VoterSet
	for _, machine := range c.machines {
		if machine.process != nil && machine.process.control != nil {
			if known := machine.process.control.Voters(); known.Generation > newest.Generation {
				newest = known
			}
		}
	}
	return newest
}

// fullyReplicated tells whether all seats are filled by machines that are there and
// vote, and every voter holds the newest of each key; the reason says what is
// missing.
func (c *Cluster) fullyReplicated() (bool, string) {
	voters := c.newestVoters()
	wanted := min(max(3, 2*c.options.Site.MaxLosses+1), len(c.controllers()))
	if len(voters.Members) < wanted {
		return false, fmt.Sprintf("%d seats of %d", len(voters.Members), wanted)
	}
	newest, holders := map[string]register.Proposal{}, map[string]int{}
	for _, seat := range voters.Members {
		machine := c.machinesByIP[hostOf(seat.Address)]
		if machine == nil || machine.process == nil || machine.process.control == nil || machine.frozen || !machine.process.control.IsVoter() {
			return false, fmt.Sprintf("the seat of %s does not vote", seat.Address)
		}
		for _, slot := range machine.process.control.Slots() {
			known := newest[slot.Key]
			order := slot.Accepted.Epoch.Compare(known.Epoch)
			if order > 0 || (order == 0 && slot.Accepted.Sequence > known.Sequence) {
				newest[slot.Key], holders[slot.Key] = slot.Accepted, 0
				known = slot.Accepted
			}
			if slot.Accepted.Epoch == known.Epoch && slot.Accepted.Sequence == known.Sequence {
				holders[slot.Key]++
			}
		}
	}
	for _, key := range sortedKeys(newest) {
		if newest[key].Sequence > 0 && holders[key] < len(voters.Members) {
			return false, fmt.Sprintf("%s stands on %d of %d disks", key, holders[key], len(voters.Members))
		}
	}
	return true, ""
}
