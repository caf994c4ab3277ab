package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// TestRepairer_bringsReturnedVoterUpToDate has a voter away during many
// updates: two rounds after its return it holds the newest of each key,
// without an update, by digests and one value. If the owner is lost others
// take its keys over.
func TestRepairer_bringsReturnedVoterUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, rapid.IntRange(1, 2).Draw(t, "losses"))
		c.joinAll(4)
		c.repairAll()
		members := c.currentVoters().Members
		owner, returned := c.find(members[0].Address), c.find(members[1].Address)
		returned.up = false
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			if !c.update(owner, false) {
				t.Fatal("no update is acknowledged with one voter away")
			}
		}
		c.repairAll()
		c.restart(returned)
		maxRounds, epoch := 1, owner.acceptor.Slot("spec").Promised
		if rapid.Bool().Draw(t, "owner restarts") {
			c.restart(owner)
			maxRounds = 2
		} else if c.tolerableLosses == 2 && rapid.Bool().Draw(t, "owner is lost") {
			owner.up, maxRounds = false, takeoverRounds+2*4+1
		}
		messagesBeforeRepair := c.messages
		for range maxRounds {
			c.repairAll()
		}
		if c.countLagging() > 0 && (owner.up || c.countLagging() > 1) {
			t.Fatalf("%d voters lag after %d rounds", c.countLagging(), maxRounds)
		}
		if maxMessages := len(c.nodes) * maxRounds * (2*len(members) + 6); c.messages-messagesBeforeRepair > maxMessages {
			t.Fatalf("%d messages in %d rounds", c.messages-messagesBeforeRepair, maxRounds)
		}
		if maxRounds == 1 && owner.acceptor.Slot("spec").Promised != epoch {
			t.Fatal("the key was taken over though its owner repairs it")
		}
		messagesBefore := c.messages
		c.repairAll()
		if maxMessages := len(members)*(len(members)-1) + len(c.nodes); owner.up && c.messages-messagesBefore > maxMessages {
			t.Fatalf("%d messages in a round with nothing to repair, wanted %d", c.messages-messagesBefore, maxMessages)
		}
	})
}

// TestRepairer_takesOverKeysOfLostOwner has the owner of a key be lost for
// good while a voter lags, as a member and after its replacement: the first
// voter takes the key over a round after it saw the lag.
func TestRepairer_takesOverKeysOfLostOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		c.joinAll(4)
		c.repairAll()
		members := c.currentVoters().Members
		owner, lagging := c.find(members[rapid.IntRange(0, 1).Draw(t, "owner")].Address), c.find(members[4].Address)
		lagging.up = false
		c.update(owner, false)
		c.repairAll()
		lagging.up = true
		owner.up = false
		if rapid.Bool().Draw(t, "replaced") {
			owner.replaceable = true
			c.joinAll(3)
		}
		for range 2 {
			c.repairAll()
		}
		for _, member := range c.currentVoters().Members {
			if voter := c.find(member.Address); voter.up && voter.acceptor.Slot("spec").Accepted.Sequence < c.newestProposal("spec").Sequence {
				t.Fatalf("%s still lags", member.Address)
			}
		}
	})
}

// TestRedundancy_matchesCluster compares the redundancy with the state of the
// cluster.
func TestRedundancy_matchesCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		reporter, lagging, third := c.nodes[0], c.nodes[1], c.nodes[2]
		c.update(reporter, false)
		c.partitions[[2]ids.Address{"a", "b"}] = true
		c.update(reporter, false)
		c.partitions = map[[2]ids.Address]bool{}
		redundancy := reporter.repairer.survey(c.ctx).redundancy()
		if redundancy.CurrentVotes != 3 || redundancy.TolerableLosses != 1 || redundancy.Complete || redundancy.Keys[1].Copies != 2 || redundancy.Keys[1].Lagging[0] != lagging.address {
			t.Fatalf("%+v", redundancy)
		}
		third.up = false
		if redundancy = reporter.repairer.Round(c.ctx); redundancy.TolerableLosses != 0 || redundancy.Unreachable[0] != third.address {
			t.Fatalf("%+v with one unreachable and one lagging", redundancy)
		}
		third.up = true
		c.repairAll()
		if redundancy = reporter.repairer.Round(c.ctx); !redundancy.Complete || redundancy.TolerableLosses != 1 {
			t.Fatalf("%+v after the repair", redundancy)
		}
	})
}

// TestHandOff_beforeLeaving has a voter leave that, with one other, holds the
// newest proposal: the third must hold it before it goes.
func TestHandOff_beforeLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		leaving, third := c.nodes[0], c.nodes[2]
		third.up = false
		c.update(c.nodes[rapid.IntRange(0, 1).Draw(t, "owner")], false)
		if leaving.repairer.HandOff(c.ctx) {
			t.Fatal("a leaving voter takes two copies, one of them its own, for enough")
		}
		third.up = true
		for attempts := 0; !leaving.repairer.HandOff(c.ctx); attempts++ {
			if attempts > 2 {
				t.Fatal("the proposal is not handed off")
			}
		}
		if c.countLagging() > 0 {
			t.Fatal("a voter that left took one of two copies with it")
		}
	})
}

// TestCatchUp_standbyHoldsNewestProposals has a standby catch up: it holds the newest
// of each key before any place is free, and has promised nothing.
func TestCatchUp_standbyHoldsNewestProposals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		standby := c.nodes[3]
		c.join(standby)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			c.update(c.nodes[0], false)
		}
		c.repairAll()
		held := standby.acceptor.Slot("spec")
		if held.Accepted.Sequence != c.newestProposal("spec").Sequence || held.Promised.Number != 0 {
			t.Fatalf("a standby holds %+v", held)
		}
	})
}
