package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// TestJoin_replacementsInEveryOrder lets as many voters as may be lost at one time
// go for good, lose their disks, or be away for a while, in every order and
// right after one another, with newcomers lost after any message of their way to
// a seat: at every moment the others serve, and a run or two of each newcomer
// makes the voters whole again.
func TestJoin_replacementsInEveryOrder(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			world := newCluster(t, losses)
			world.faultFree = true
			world.joinAll(4)
			for range rapid.IntRange(1, 4).Draw(t, "rounds") {
				world.loseVoters(rapid.IntRange(1, losses).Draw(t, "lost"))
				world.requireServing("while as many are lost as may be")
				world.hookAfter, world.hook = rapid.IntRange(0, 60).Draw(t, "after"), world.loseNewcomer
				world.joinAll(1)
				world.hookAfter = 0
				world.requireServing("while a newcomer is lost")
				for _, subject := range world.nodes {
					if !subject.up {
						// What was taken for gone comes back as a stand-by.
						world.restart(subject)
					}
				}
				world.joinAll(2)
				for _, seat := range world.currentVoters().Members {
					if holder := world.find(seat.Address); seat.Learner || !holder.acceptor.Voting() {
						t.Fatalf("the seat of %s is not filled: %+v", seat.Address, world.currentVoters())
					}
				}
			}
		})
	}
}

// joinAll has every machine strive for a seat so many times.
func (c *cluster) joinAll(times int) {
	for range times {
		for _, subject := range c.nodes {
			c.join(subject)
		}
	}
}

// loseVoters brings one of the three troubles on so many voters.
func (c *cluster) loseVoters(count int) {
	seats := c.currentVoters().Members
	first, gap := rapid.IntRange(0, len(seats)-1).Draw(c.t, "first"), rapid.IntRange(1, len(seats)-1).Draw(c.t, "gap")
	for index := range count {
		subject := c.find(seats[(first+index*gap)%len(seats)].Address)
		troubles := []func(){
			func() { subject.up, subject.replaceable = false, true },
			func() { subject.up, subject.replaceable, subject.disk.records = false, true, nil },
			func() { subject.disk.records = nil; c.restart(subject) },
			func() { subject.up = false },
		}
		troubles[rapid.IntRange(0, len(troubles)-1).Draw(c.t, "trouble")]()
	}
}

// loseNewcomer takes away whoever is on its way to a seat; its disk stays or
// goes.
func (c *cluster) loseNewcomer() {
	for _, subject := range c.nodes {
		if subject.up && subject.busy && !subject.acceptor.Voting() {
			subject.up, subject.replaceable = false, true
			subject.disk.generation++
			if rapid.Bool().Draw(c.t, "wiped") {
				subject.disk.records = nil
			}
		}
	}
}

// requireServing has a change answered by whichever voter can; the first try may only
// tell voters of each other's newer generation.
func (c *cluster) requireServing(when string) {
	served := false
	for _, subject := range append(c.nodes, c.nodes...) {
		served = served || (subject.acceptor.Voting() && c.update(subject, false))
	}
	if !served {
		c.t.Fatalf("no change is answered %s: %+v", when, c.currentVoters())
	}
}

// TestJoin_stalledLearnerIsReplaced cuts a newcomer off right after it was seated,
// alive: another must take its place, and so must two replacements at once.
func TestJoin_stalledLearnerIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		world.joinAll(4)
		seats := world.currentVoters().Members
		for _, index := range []int{3, 4} {
			lost := world.find(seats[index].Address)
			lost.up, lost.replaceable = false, true
		}
		stuck := world.find("f")
		voters := world.currentVoters()
		own := Member{Address: "f", Incarnation: stuck.acceptor.Incarnation(), Learner: true}
		if _, err := stuck.proposer.Update(world.scope, VotersKey, stuck.joiner.replaceMember(voters, 3, own)); err != nil {
			t.Fatal(err)
		}
		for _, other := range world.nodes {
			world.partitions[[2]ids.Address{"f", other.address}] = other != stuck
		}
		spare := world.find(seats[3].Address)
		spare.disk.records = nil
		world.restart(spare)
		for range stalledLearnerRuns + 2 {
			world.join(spare)
		}
		if !spare.acceptor.Voting() {
			t.Fatalf("the seats wait for a newcomer that gets nowhere: %+v", world.currentVoters())
		}
		world.requireServing("with a newcomer that gets nowhere")
	})
}

// TestJoin_learnsUpdatesDuringReplacement has a voter that others take for gone answer
// changes at any moment of its replacement, each on the disks of one other and
// itself alone: the newcomer and the one that missed them must know of them.
func TestJoin_learnsUpdatesDuringReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		kept, missed, replaced, newcomer := world.nodes[0], world.nodes[1], world.nodes[2], world.nodes[3]
		world.update(replaced, false)
		replaced.replaceable = true
		world.partitions[[2]ids.Address{"d", "c"}] = true
		world.hookAfter = rapid.IntRange(1, 40).Draw(t, "after")
		world.hook = func() {
			world.partitions[[2]ids.Address{"c", "b"}] = true
			world.update(replaced, false)
			delete(world.partitions, [2]ids.Address{"c", "b"})
		}
		world.join(newcomer)
		world.hookAfter = 0
		world.join(newcomer)
		replaced.up, kept.up = false, false
		for range 2 {
			world.update(missed, false)
			world.update(newcomer, false)
		}
		if !newcomer.acceptor.Voting() {
			t.Fatalf("the newcomer never votes: %+v", world.currentVoters())
		}
	})
}

// TestJoin_answeringVoterIsNotReplaced has a voter that others take for gone, but that
// answers the one that would take its seat.
func TestJoin_answeringVoterIsNotReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		world.nodes[rapid.IntRange(0, 2).Draw(t, "taken for gone")].replaceable = true
		world.joinAll(3)
		if world.currentVoters().Generation != 1 {
			t.Fatalf("a voter that answers lost its seat: %+v", world.currentVoters())
		}
	})
}

// TestJoin_replacesOnlyTheLostVoter has two voters taken for gone, of which one
// answers: the seat of the other is found, wherever the two sit.
func TestJoin_replacesOnlyTheLostVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		world.joinAll(4)
		seats := world.currentVoters().Members
		lost := rapid.IntRange(0, len(seats)-1).Draw(t, "lost")
		there := (lost + rapid.IntRange(1, len(seats)-1).Draw(t, "there")) % len(seats)
		left, back := world.find(seats[lost].Address), world.find(seats[there].Address)
		left.up, left.replaceable, back.replaceable = false, true, true
		world.joinAll(4)
		if _, seated := world.currentVoters().member(left.address); seated {
			t.Fatalf("the seat of %s was never taken: %+v", left.address, world.currentVoters())
		}
		if seat, seated := world.currentVoters().member(back.address); !seated || seat.Learner {
			t.Fatalf("%s answers and lost its seat: %+v", back.address, world.currentVoters())
		}
	})
}
