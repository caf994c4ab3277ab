package register

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUpdate_survivesTwoLostDisks loses two of five disks right after an update
// was acknowledged, with some voters down during the update: the update must be
// kept, and both voters must learn and vote again with blank disks.
func TestUpdate_survivesTwoLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.joinAll(4)
		members := c.currentVoters().Members
		if len(members) != 5 {
			t.Fatalf("%d voters, want 5", len(members))
		}
		for _, member := range members {
			c.find(member.Address).up = rapid.IntRange(0, 4).Draw(t, "down") > 0
		}
		c.update(c.find(members[rapid.IntRange(0, 4).Draw(t, "owner")].Address), false)
		for _, member := range members {
			c.find(member.Address).up = true
		}
		first, gap := rapid.IntRange(0, 4).Draw(t, "first"), rapid.IntRange(1, 4).Draw(t, "second")
		for _, index := range []int{first, (first + gap) % 5} {
			lost := c.find(members[index].Address)
			lost.disk.records = nil
			c.restart(lost)
		}
		c.healAndVerify()
		if len(c.currentVoters().Members) != 5 {
			t.Fatalf("the voter set does not have 5 members: %+v", c.currentVoters())
		}
	})
}

// TestUpdate_refusedBelowMinCopies takes one of three voters down in a cluster that
// must tolerate the loss of two disks: no update may be acknowledged that only the
// two remaining disks hold.
func TestUpdate_refusedBelowMinCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.nodes[rapid.IntRange(1, 2).Draw(t, "down")].up = false
		if c.update(c.nodes[0], false) {
			t.Fatal("an update was acknowledged on only two disks, both of which may be lost")
		}
	})
}
