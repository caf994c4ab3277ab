package register

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUpdate_survivesTwoLostDisks grows the voters, and loses two of the disks that an
// answered order stands on, right after the answer: the order must stay, and
// both blank disks learn and vote again.
func TestUpdate_survivesTwoLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		for range 4 {
			for _, subject := range world.nodes {
				world.join(subject)
			}
		}
		seats := world.currentVoters().Members
		if len(seats) != 5 {
			t.Fatalf("%d seats though five are wanted", len(seats))
		}
		for _, seat := range seats {
			world.find(seat.Address).up = rapid.IntRange(0, 4).Draw(t, "down") > 0
		}
		world.update(world.find(seats[rapid.IntRange(0, 4).Draw(t, "owner")].Address), false)
		for _, seat := range seats {
			world.find(seat.Address).up = true
		}
		first, gap := rapid.IntRange(0, 4).Draw(t, "first"), rapid.IntRange(1, 4).Draw(t, "second")
		for _, index := range []int{first, (first + gap) % 5} {
			lost := world.find(seats[index].Address)
			lost.disk.records = nil
			world.restart(lost)
		}
		world.healAndVerify()
		if len(world.currentVoters().Members) != 5 {
			t.Fatalf("seats were lost: %+v", world.currentVoters())
		}
	})
}

// TestUpdate_refusedBelowMinCopies has one of three voters down where two disks may
// be lost at one time: no order may be answered on the two that are left.
func TestUpdate_refusedBelowMinCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		world.nodes[rapid.IntRange(1, 2).Draw(t, "down")].up = false
		if world.update(world.nodes[0], false) {
			t.Fatal("an order was answered on two disks, both of which may be lost")
		}
	})
}
