package register

import (
	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// randomEvent makes one event happen on a random node.
func (c *cluster) randomEvent() {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	other := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "other")]
	events := []func(){
		func() { c.update(n, false) },
		func() { c.update(n, false) },
		func() { c.update(n, true) },
		func() { c.join(n) },
		func() { c.join(n) },
		func() { c.repairRound(n) },
		func() { c.repairRound(n) },
		func() {
			// A request is delivered late, perhaps once more later.
			if len(c.delayed) > 0 {
				c.delayed[rapid.IntRange(0, len(c.delayed)-1).Draw(c.t, "late")]()
			}
		},
		func() {
			// Crash and restart, with the disk.
			if !n.busy {
				c.restart(n)
			}
		},
		func() {
			// The disk is lost, within what is tolerated.
			if !n.busy && c.canLoseDisk(n) {
				n.disk.records = nil
				c.restart(n)
			}
		},
		func() { n.disk.failing = !n.disk.failing },
		func() { n.up = !n.up },
		func() { n.replaceable = !n.up },
		func() { c.partitions[[2]ids.Address{n.address, other.address}] = n != other },
		func() { c.partitions = map[[2]ids.Address]bool{} },
	}
	events[rapid.IntRange(0, len(events)-1).Draw(c.t, "event")]()
}

// canLoseDisk reports whether one more disk may be lost: a majority of the
// members is left that is up, complete, and knows the same voter set. With
// all members present that is as many disks at one time as are tolerated. A
// node that is back but that others still take for lost counts as lost
// itself: a real one does so for some seconds, and may just be being
// replaced.
func (c *cluster) canLoseDisk(n *node) bool {
	healthy := 0
	for _, other := range c.nodes {
		if other == n {
			continue
		}
		member, ok := c.currentVoters().member(other.address)
		voting := other.up && !other.replaceable && !member.Learner && member.Incarnation == other.acceptor.Incarnation()
		if ok && voting && other.acceptor.Voters().Fingerprint() == c.currentVoters().Fingerprint() {
			healthy++
		}
	}
	return healthy >= quorum(len(c.currentVoters().Members))
}

// loseVoters makes so many voters fail: lost, lost with their disks,
// restarted with blank disks, or away for a while.
func (c *cluster) loseVoters(count int) {
	members := c.currentVoters().Members
	first, gap := rapid.IntRange(0, len(members)-1).Draw(c.t, "first"), rapid.IntRange(1, len(members)-1).Draw(c.t, "gap")
	for index := range count {
		n := c.find(members[(first+index*gap)%len(members)].Address)
		faults := []func(){
			func() { n.up, n.replaceable = false, true },
			func() { n.up, n.replaceable, n.disk.records = false, true, nil },
			func() { n.disk.records = nil; c.restart(n) },
			func() { n.up = false },
		}
		faults[rapid.IntRange(0, len(faults)-1).Draw(c.t, "fault")]()
	}
}

// loseJoiningNode makes the node that is just joining fail; its disk stays or is
// lost.
func (c *cluster) loseJoiningNode() {
	for _, n := range c.nodes {
		if n.up && n.busy && !n.acceptor.Voting() {
			n.up, n.replaceable = false, true
			n.disk.generation++
			if rapid.Bool().Draw(c.t, "wiped") {
				n.disk.records = nil
			}
		}
	}
}

// healAndVerify ends all faults; within some rounds every member must vote
// and the key must be served again.
func (c *cluster) healAndVerify() {
	c.faultFree = true
	c.partitions = map[[2]ids.Address]bool{}
	for _, n := range c.nodes {
		n.disk.failing = false
		n.up, n.replaceable = true, false
	}
	served := false
	for range 8 {
		for _, n := range c.nodes {
			c.join(n)
		}
		for _, n := range c.nodes {
			served = c.update(n, false) || served
		}
	}
	for _, member := range c.currentVoters().Members {
		if voter := c.find(member.Address); member.Learner || !voter.acceptor.Voting() {
			c.t.Fatalf("%s does not vote after all faults ended: %+v", member.Address, c.currentVoters())
		}
	}
	if !served {
		c.t.Fatalf("the key is not served after all faults ended: %+v", c.currentVoters())
	}
}
