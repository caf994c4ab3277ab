package register

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestUpdate_acknowledgedSurvivesFaults lets nodes crash, lose their disks, be
// partitioned, be replaced and join, with failing disks and competing owners.
// Acknowledged updates must be kept, and of two competing updates of one value only
// one may be acknowledged.
func TestUpdate_acknowledgedSurvivesFaults(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			c := newCluster(t, losses)
			for range rapid.IntRange(5, 60).Draw(t, "length") {
				c.randomEvent()
			}
			c.healAndVerify()
		})
	}
}

// TestProposer_staleOwnerIsSuperseded has another node take a key over and update it. The
// former owner must not return a value that lacks that update, nor get an update
// acknowledged that is not applied on top of it, but must be able to acquire the key again.
func TestProposer_staleOwnerIsSuperseded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		first, second := c.nodes[0], c.nodes[1]
		if !c.update(first, false) || !c.update(second, false) {
			t.Fatal("an update without any fault failed")
		}
		value, err := first.proposer.Read(c.ctx, "spec")
		if err == nil && !strings.HasPrefix(string(value), c.acknowledged) {
			t.Fatalf("the former owner read %q after %q was acknowledged", value, c.acknowledged)
		}
		if !c.update(first, false) {
			t.Fatal("the former owner can't acquire the key again")
		}
	})
}

// TestJoin_blankDiskLearnsBeforeVoting wipes a voter's disk right after its vote
// completed a majority: it must not vote again before it has learned from both other
// voters.
func TestJoin_blankDiskLearnsBeforeVoting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		c.nodes[2].up = false
		if !c.update(c.nodes[0], false) {
			t.Fatal("an update with two of three voters up failed")
		}
		wiped := c.nodes[0]
		wiped.disk.records = nil
		c.restart(wiped)
		c.nodes[1].up = false
		c.nodes[2].up = true
		c.join(wiped)
		if c.update(c.nodes[2], false) {
			t.Fatal("a blank disk and a voter that missed the update formed a majority")
		}
		c.nodes[1].up = true
		for range 4 {
			c.join(wiped)
		}
		if !wiped.acceptor.Voting() {
			t.Fatal("the voter with the new disk does not vote")
		}
		if !c.update(c.nodes[2], false) {
			t.Fatal("no update was acknowledged after the voter has learned")
		}
	})
}

// TestProposer_staleOwnerIsSupersededAfterRestarts has two nodes own a key that has no value
// yet, one after the other, and a majority of the voters restart, which drops their slots of
// the key. The former owner must not get an update acknowledged that the later one, which
// still owns the key, does not see.
func TestProposer_staleOwnerIsSupersededAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		former, later := c.nodes[2], c.nodes[3]
		c.join(later) // It learns who votes; there is no place for it.
		if !c.update(former, true) || !c.update(later, true) {
			t.Fatal("a read without any fault failed")
		}
		for _, voter := range c.nodes[:2] {
			c.restart(voter)
			if slot, ok := voter.acceptor.slots["spec"]; ok {
				t.Fatalf("node %s keeps %+v", voter.address, slot)
			}
		}
		c.update(former, false)
		c.update(later, false)
		c.requireServing("after the restarts")
	})
}
