package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// repairAll runs a round on every machine: a voter surveys, another follows.
func (c *cluster) repairAll() {
	for _, subject := range c.nodes {
		c.repairRound(subject)
	}
}

func (c *cluster) repairRound(subject *node) {
	if !subject.up || subject.busy {
		return
	}
	subject.busy = true
	if subject.acceptor.Voting() {
		subject.repairer.Round(c.scope)
	} else {
		subject.repairer.CatchUp(c.scope)
	}
	subject.busy = false
}

func (c *cluster) countLagging() int {
	count := 0
	for _, seat := range c.currentVoters().Members {
		if c.find(seat.Address).acceptor.Slot("spec").Accepted.Sequence < c.newestProposal("spec").Sequence {
			count++
		}
	}
	return count
}

func (c *cluster) newestProposal(key string) Proposal {
	var newest Proposal
	for _, subject := range c.nodes {
		if held := subject.acceptor.Slot(key).Accepted; held.newerThan(newest) {
			newest = held
		}
	}
	return newest
}

// TestRepairer_bringsReturnedVoterUpToDate has a voter away during many changes: two
// rounds after its return it holds the newest of each key, without a change,
// by digests and one value; where the owner went, others take its keys over.
func TestRepairer_bringsReturnedVoterUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, rapid.IntRange(1, 2).Draw(t, "losses"))
		world.faultFree = true
		world.joinAll(4)
		world.repairAll()
		seats := world.currentVoters().Members
		owner, away := world.find(seats[0].Address), world.find(seats[1].Address)
		away.up = false
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			if !world.update(owner, false) {
				t.Fatal("a change is not answered with one voter away")
			}
		}
		world.repairAll()
		world.restart(away)
		bound, epoch := 1, owner.acceptor.Slot("spec").Promised
		if rapid.Bool().Draw(t, "owner starts again") {
			world.restart(owner)
			bound = 2
		} else if world.tolerated == 2 && rapid.Bool().Draw(t, "owner goes") {
			owner.up, bound = false, takeoverRounds+2*4+1
		}
		before := world.messages
		for range bound {
			world.repairAll()
		}
		if world.countLagging() > 0 && (owner.up || world.countLagging() > 1) {
			t.Fatalf("%d voters lag after %d rounds", world.countLagging(), bound)
		}
		if all := len(world.nodes) * bound * (2*len(seats) + 6); world.messages-before > all {
			t.Fatalf("%d messages in %d rounds", world.messages-before, bound)
		}
		if bound == 1 && owner.acceptor.Slot("spec").Promised != epoch {
			t.Fatal("the key was taken over though its owner repairs it")
		}
		quiet := world.messages
		world.repairAll()
		if all := len(seats)*(len(seats)-1) + len(world.nodes); owner.up && world.messages-quiet > all {
			t.Fatalf("%d messages in a round with nothing to repair, wanted %d", world.messages-quiet, all)
		}
	})
}

// TestRedundancy_matchesCluster compares what is told with what is so.
func TestRedundancy_matchesCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		teller, lagging, third := world.nodes[0], world.nodes[1], world.nodes[2]
		world.update(teller, false)
		world.partitions[[2]ids.Address{"a", "b"}] = true
		world.update(teller, false)
		world.partitions = map[[2]ids.Address]bool{}
		told := world.find("a").repairer.survey(world.scope).redundancy()
		if told.CurrentVotes != 3 || told.TolerableLosses != 1 || told.Complete || told.Keys[1].Copies != 2 || told.Keys[1].Lagging[0] != lagging.address {
			t.Fatalf("told %+v", told)
		}
		third.up = false
		if told = teller.repairer.Round(world.scope); told.TolerableLosses != 0 || told.Unreachable[0] != third.address {
			t.Fatalf("told %+v with one away and one behind", told)
		}
		third.up = true
		world.repairAll()
		if told = teller.repairer.Round(world.scope); !told.Complete || told.TolerableLosses != 1 {
			t.Fatalf("told %+v after the repair", told)
		}
	})
}

// TestHandOff_beforeLeaving has a voter leave that, with one other, holds the newest:
// the third must hold it before it goes.
func TestHandOff_beforeLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		leaver, third := world.nodes[0], world.nodes[2]
		third.up = false
		world.update(world.nodes[rapid.IntRange(0, 1).Draw(t, "owner")], false)
		if leaver.repairer.HandOff(world.scope) {
			t.Fatal("one that leaves holds one of two copies, and takes that for enough")
		}
		third.up = true
		for tries := 0; !leaver.repairer.HandOff(world.scope); tries++ {
			if tries > 2 {
				t.Fatal("what is held is not handed on")
			}
		}
		if world.countLagging() > 0 {
			t.Fatal("one that left took one of two copies with it")
		}
	})
}

// TestCatchUp_standbyHoldsNewest has a machine without a seat follow: it holds the
// newest of each key before any seat is free, and has voted on nothing.
func TestCatchUp_standbyHoldsNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		standBy := world.nodes[3]
		world.join(standBy)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			world.update(world.nodes[0], false)
		}
		world.repairAll()
		held := standBy.acceptor.Slot("spec")
		if held.Accepted.Sequence != world.newestProposal("spec").Sequence || held.Promised.Number != 0 {
			t.Fatalf("a stand-by holds %+v", held)
		}
	})
}
