package register

import (
	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// randomEvent runs a random event on a random node.
func (c *cluster) randomEvent() {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	other := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "other")]
	events := []func(){
		func() { c.update(n, false) },
		func() { c.update(n, false) },
		func() { c.update(n, true) },
		func() { c.checkHasValue(n) },
		func() { c.join(n) },
		func() { c.join(n) },
		func() { c.repairRound(n) },
		func() { c.repairRound(n) },
		func() {
			// A request is delivered late, possibly more than once.
			if len(c.delayed) > 0 {
				c.delayed[rapid.IntRange(0, len(c.delayed)-1).Draw(c.t, "late")]()
			}
		},
		func() {
			// The process crashes and restarts; the disk is kept.
			if !n.busy {
				c.restart(n)
			}
		},
		func() {
			// The disk is lost, if the cluster tolerates that.
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

// canLoseDisk reports whether the cluster tolerates the loss of the node's disk:
// whether a majority of the members remains that are up, vote with the disk that
// the voter set names, and know the newest voter set. If all members are healthy,
// that permits tolerableLosses lost disks at one time. A node that has returned
// but is still considered lost by others counts as lost: in a real cluster that
// lasts some seconds, and the node may be about to be replaced.
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

// loseVoters makes the given number of voters fail. Each is lost, is lost with its
// disk, restarts with a blank disk, or is down temporarily.
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

// loseJoiningNode makes the node that is currently joining fail; its disk is kept
// or lost.
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

// healAndVerify ends all faults and checks that within eight rounds every member
// votes and an update is acknowledged.
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
			c.t.Fatalf("node %s does not vote after all faults ended, voters %+v", member.Address, c.currentVoters())
		}
	}
	if !served {
		c.t.Fatalf("no update was acknowledged after all faults ended, voters %+v", c.currentVoters())
	}
}
