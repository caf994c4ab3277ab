package register

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUpdate_survivesTwoLostDisks grows the voter set, and loses two of the
// disks that hold an acknowledged update right after its acknowledgement: the
// update must stay, and both blank disks must learn and vote again.
func TestUpdate_survivesTwoLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.joinAll(4)
		members := c.currentVoters().Members
		if len(members) != 5 {
			t.Fatalf("%d voters, wanted 5", len(members))
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
			t.Fatalf("members were lost: %+v", c.currentVoters())
		}
	})
}

// TestUpdate_refusedBelowMinCopies has one of three voters down where two
// disks may be lost at one time: no update may be acknowledged on the two
// that are left.
func TestUpdate_refusedBelowMinCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.nodes[rapid.IntRange(1, 2).Draw(t, "down")].up = false
		if c.update(c.nodes[0], false) {
			t.Fatal("an update was acknowledged on two disks, both of which may be lost")
		}
	})
}
