package register

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestUpdate_acknowledgedSurvivesFaults lets nodes crash, lose their disks,
// be partitioned, be replaced and join, with failing disks and duelling
// owners: acknowledged updates stay, and of two on one value only one wins.
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

// TestProposer_staleOwnerIsFenced has another node take a key over: the
// former owner's write must not be acknowledged on top of the other's.
func TestProposer_staleOwnerIsFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		first, second := c.nodes[0], c.nodes[1]
		if !c.update(first, false) || !c.update(second, false) {
			t.Fatal("a calm write failed")
		}
		value, err := first.proposer.Read(c.ctx, "spec")
		if err == nil && !strings.HasPrefix(string(value), c.acknowledged) {
			t.Fatalf("a fenced owner read %q after %q was acknowledged", value, c.acknowledged)
		}
		if !c.update(first, false) {
			t.Fatal("the key can't be taken back")
		}
	})
}

// TestJoin_blankDiskLearnsBeforeVoting wipes a voter right after its vote
// made a majority: it votes again only once it has learned from both others.
func TestJoin_blankDiskLearnsBeforeVoting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		c.nodes[2].up = false
		if !c.update(c.nodes[0], false) {
			t.Fatal("a write on two of three failed")
		}
		wiped := c.nodes[0]
		wiped.disk.records = nil
		c.restart(wiped)
		c.nodes[1].up = false
		c.nodes[2].up = true
		c.join(wiped)
		if c.update(c.nodes[2], false) {
			t.Fatal("a blank disk and one that missed the write made a majority")
		}
		c.nodes[1].up = true
		for range 4 {
			c.join(wiped)
		}
		if !wiped.acceptor.Voting() {
			t.Fatal("the new disk never votes")
		}
		if !c.update(c.nodes[2], false) {
			t.Fatal("the key is not served")
		}
	})
}
