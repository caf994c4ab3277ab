package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// TestJoin_replacesLostVotersInAnyOrder lets up to the tolerated number of voters be
// lost for good, lose their disks or be down temporarily, in any order and several
// times in succession, and loses joining nodes after any of their requests. The
// remaining voters must serve updates throughout, and two more runs of each joining
// node must complete the voter set.
func TestJoin_replacesLostVotersInAnyOrder(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			c := newFaultFreeCluster(t, losses)
			c.joinAll(4)
			for range rapid.IntRange(1, 4).Draw(t, "rounds") {
				c.loseVoters(rapid.IntRange(1, losses).Draw(t, "lost"))
				c.requireServing("with up to the tolerated number of voters lost")
				c.hookAfter, c.hook = rapid.IntRange(0, 60).Draw(t, "after"), c.loseJoiningNode
				c.joinAll(1)
				c.hookAfter = 0
				c.requireServing("after a joining node may have been lost")
				for _, n := range c.nodes {
					if !n.up {
						// A replaced voter returns as a standby.
						c.restart(n)
					}
				}
				c.joinAll(2)
				for _, member := range c.currentVoters().Members {
					if voter := c.find(member.Address); member.Learner || !voter.acceptor.Voting() {
						t.Fatalf("member %s does not vote, voters %+v", member.Address, c.currentVoters())
					}
				}
			}
		})
	}
}

// TestJoin_stalledLearnerIsReplaced partitions a node right after it has become a
// learner, while another lost voter is to be replaced too: another node must take
// the learner's place, so that the two replacements don't block each other.
func TestJoin_stalledLearnerIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.joinAll(4)
		members := c.currentVoters().Members
		for _, index := range []int{3, 4} {
			lost := c.find(members[index].Address)
			lost.up, lost.replaceable = false, true
		}
		stalled := c.find("f")
		voters := c.currentVoters()
		learner := Member{Address: "f", Incarnation: stalled.acceptor.Incarnation(), Learner: true}
		if _, err := stalled.proposer.Update(c.ctx, VotersKey, stalled.joiner.replaceMember(voters, 3, learner)); err != nil {
			t.Fatal(err)
		}
		for _, other := range c.nodes {
			c.partitions[[2]ids.Address{"f", other.address}] = other != stalled
		}
		replacement := c.find(members[3].Address)
		replacement.disk.records = nil
		c.restart(replacement)
		for range maxStalledLearnerRuns + 2 {
			c.join(replacement)
		}
		if !replacement.acceptor.Voting() {
			t.Fatalf("the replacement of the stalled learner does not vote, voters %+v", c.currentVoters())
		}
		c.requireServing("with a stalled learner")
	})
}

// TestJoin_learnsUpdatesDuringReplacement has a voter that others consider lost get
// an update acknowledged at any moment of its own replacement, on its own disk and
// one other. With those two voters down, the new voter and the voter that missed the
// update must still know it.
func TestJoin_learnsUpdatesDuringReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		kept, missed, replaced, joining := c.nodes[0], c.nodes[1], c.nodes[2], c.nodes[3]
		c.update(replaced, false)
		replaced.replaceable = true
		c.partitions[[2]ids.Address{"d", "c"}] = true
		c.hookAfter = rapid.IntRange(1, 40).Draw(t, "after")
		c.hook = func() {
			c.partitions[[2]ids.Address{"c", "b"}] = true
			c.update(replaced, false)
			delete(c.partitions, [2]ids.Address{"c", "b"})
		}
		c.join(joining)
		c.hookAfter = 0
		c.join(joining)
		replaced.up, kept.up = false, false
		for range 2 {
			c.update(missed, false)
			c.update(joining, false)
		}
		if !joining.acceptor.Voting() {
			t.Fatalf("the joining node does not vote, voters %+v", c.currentVoters())
		}
	})
}

// TestJoin_answeringVoterIsNotReplaced marks a voter as lost although it answers the
// joining nodes: it must not be replaced.
func TestJoin_answeringVoterIsNotReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		c.nodes[rapid.IntRange(0, 2).Draw(t, "taken for lost")].replaceable = true
		c.joinAll(3)
		if c.currentVoters().Generation != 1 {
			t.Fatalf("a voter that answers was replaced, voters %+v", c.currentVoters())
		}
	})
}

// TestJoin_replacesOnlyTheLostVoter marks two voters as lost, one of which answers:
// only the other may be replaced, whatever their order in the voter set.
func TestJoin_replacesOnlyTheLostVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.joinAll(4)
		members := c.currentVoters().Members
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		answering := (lost + rapid.IntRange(1, len(members)-1).Draw(t, "there")) % len(members)
		lostNode, answeringNode := c.find(members[lost].Address), c.find(members[answering].Address)
		lostNode.up, lostNode.replaceable, answeringNode.replaceable = false, true, true
		c.joinAll(4)
		if _, ok := c.currentVoters().member(lostNode.address); ok {
			t.Fatalf("the lost voter %s was not replaced, voters %+v", lostNode.address, c.currentVoters())
		}
		if member, ok := c.currentVoters().member(answeringNode.address); !ok || member.Learner {
			t.Fatalf("the voter %s answers but was replaced, voters %+v", answeringNode.address, c.currentVoters())
		}
	})
}
