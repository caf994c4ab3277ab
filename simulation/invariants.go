package simulation

import (
	"fmt"
	"time"

	"onyxwell/control/quota"
	"onyxwell/control/state/register"
)

// observations are what the checks and the result need of what happened so far.
type observations struct {
	// leaseHolders are the machines that held a lease under an epoch.
	leaseHolders map[leaseEpoch]string
	// lastAck is when a command was last acknowledged; ackLatencies, longestAckGap
	// and recoveryTimes are those of Result.
	lastAck       time.Duration
	longestAckGap time.Duration
	ackLatencies  []time.Duration
	recoveryTimes []time.Duration
}

// leaseEpoch is a lease under an epoch.
type leaseEpoch struct {
	lease string
	epoch int64
}

func newObservations() observations {
	return observations{leaseHolders: map[leaseEpoch]string{}}
}

// recordAck records that a command was acknowledged now.
func (c *Cluster) recordAck(op operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.observed.lastAck > 0 {
		c.observed.longestAckGap = max(c.observed.longestAckGap, now-c.observed.lastAck)
	}
	c.observed.lastAck = now
	c.observed.ackLatencies = append(c.observed.ackLatencies, now-op.start)
}

// leaseNames are the leases of which one controller at a time may hold each.
var leaseNames = []string{"census", "plan", quota.LeaseName}

// checkInvariants checks what must hold after every event.
func (c *Cluster) checkInvariants() {
	for _, machine := range c.machines {
		if machine.process != nil && machine.process.controller != nil {
			machine.checkLostDiskIdentity()
		}
	}
	for _, name := range leaseNames {
		c.checkLease(name)
	}
	c.checkQuotaIssuer()
}

// checkQuotaIssuer checks that whoever issues credit for quotas knows how many routers
// there may be.
func (c *Cluster) checkQuotaIssuer() {
	for _, machine := range c.machines {
		if machine.process == nil || machine.frozen || machine.process.controller == nil {
			continue
		}
		if _, held := machine.process.controller.HoldsLease(quota.LeaseName); held && !machine.process.controller.KnowsRouterCount() {
			c.reportViolation("%s issues quotas and does not know how many routers there are", machine.name)
		}
	}
}

// checkLease checks that a lease has one holder, and that no two machines ever
// held it under one epoch. A frozen machine may believe that it holds one, since
// it can't act on it.
func (c *Cluster) checkLease(name string) {
	holder := ""
	for _, machine := range c.machines {
		if machine.process == nil || machine.frozen || machine.process.controller == nil {
			continue
		}
		epoch, held := machine.process.controller.HoldsLease(name)
		if !held {
			continue
		}
		if holder != "" {
			c.reportViolation("%s and %s both hold the duty %s", holder, machine.name, name)
		}
		holder = machine.name
		key := leaseEpoch{lease: name, epoch: epoch}
		if earlier := c.observed.leaseHolders[key]; earlier != "" && earlier != machine.name {
			c.reportViolation("%s and %s both held %s under epoch %d", earlier, machine.name, name, epoch)
		}
		c.observed.leaseHolders[key] = machine.name
	}
}

// newestVoters returns the newest voter set that any running controller knows.
func (c *Cluster) newestVoters() register.VoterSet {
	var newest register.VoterSet
	for _, machine := range c.machines {
		if machine.process != nil && machine.process.controller != nil {
			if voters := machine.process.controller.Voters(); voters.Generation > newest.Generation {
				newest = voters
			}
		}
	}
	return newest
}

// fullyReplicated reports whether the voter set is complete, all of its members
// run and vote, and each holds the newest value of every key; the reason says
// what is missing.
func (c *Cluster) fullyReplicated() (replicated bool, missing string) {
	voters := c.newestVoters()
	wanted := min(c.voterCount(), len(c.controllers()))
	if len(voters.Members) < wanted {
		return false, fmt.Sprintf("%d seats of %d", len(voters.Members), wanted)
	}
	newest, copies := map[string]register.Proposal{}, map[string]int{}
	for _, member := range voters.Members {
		machine := c.machinesByIP[hostOf(member.Address)]
		if machine == nil || machine.process == nil || machine.process.controller == nil || machine.frozen || !machine.process.controller.IsVoter() {
			return false, fmt.Sprintf("the seat of %s does not vote", member.Address)
		}
		for _, slot := range machine.process.controller.Slots() {
			if isNewer(slot.Accepted, newest[slot.Key]) {
				newest[slot.Key], copies[slot.Key] = slot.Accepted, 0
			}
			if known := newest[slot.Key]; slot.Accepted.Epoch == known.Epoch && slot.Accepted.Sequence == known.Sequence {
				copies[slot.Key]++
			}
		}
	}
	for _, key := range sortedKeys(newest) {
		if newest[key].Sequence > 0 && copies[key] < len(voters.Members) {
			return false, fmt.Sprintf("%s stands on %d of %d disks", key, copies[key], len(voters.Members))
		}
	}
	return true, ""
}
