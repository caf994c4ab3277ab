package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// TestRepairer_bringsReturnedVoterUpToDate takes a voter down during many updates.
// After its return it must hold the newest proposal without a further update: after
// one round, after two if the owner has restarted, and later if the owner is lost
// and another voter has to take the key over. The message counts bound the cost:
// digests, and each value once.
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
				t.Fatal("no update was acknowledged with one voter down")
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
			t.Fatalf("%d messages in %d rounds, more than expected", c.messages-messagesBeforeRepair, maxRounds)
		}
		if maxRounds == 1 && owner.acceptor.Slot("spec").Promised != epoch {
			t.Fatal("the key was taken over though its owner was repairing it")
		}
		messagesBefore := c.messages
		c.repairAll()
		if maxMessages := len(members)*(len(members)-1) + len(c.nodes); owner.up && c.messages-messagesBefore > maxMessages {
			t.Fatalf("%d messages in a round with nothing to repair, want at most %d", c.messages-messagesBefore, maxMessages)
		}
	})
}

// TestRepairer_takesOverKeysOfLostOwner loses the owner of a key for good while a
// voter lags, with and without replacing the owner: a remaining voter must take the
// key over and repair the lagging one within two rounds.
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
				t.Fatalf("voter %s still lags", member.Address)
			}
		}
	})
}

// TestRedundancy_matchesCluster compares the reported redundancy with the state of
// the cluster: with a lagging voter, with an unreachable one too, and after the
// repair.
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
			t.Fatalf("redundancy %+v with one lagging voter", redundancy)
		}
		third.up = false
		if redundancy = reporter.repairer.Round(c.ctx); redundancy.TolerableLosses != 0 || redundancy.Unreachable[0] != third.address {
			t.Fatalf("redundancy %+v with one unreachable and one lagging voter", redundancy)
		}
		third.up = true
		c.repairAll()
		if redundancy = reporter.repairer.Round(c.ctx); !redundancy.Complete || redundancy.TolerableLosses != 1 {
			t.Fatalf("redundancy %+v after the repair", redundancy)
		}
	})
}

// TestHandOff_beforeLeaving has one of the only two voters that hold the newest
// proposal leave: before HandOff reports completion, the third must hold it too.
func TestHandOff_beforeLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 1)
		leaving, third := c.nodes[0], c.nodes[2]
		third.up = false
		c.update(c.nodes[rapid.IntRange(0, 1).Draw(t, "owner")], false)
		if leaving.repairer.HandOff(c.ctx) {
			t.Fatal("HandOff reports completion with only one copy beside the leaving voter's")
		}
		third.up = true
		for attempts := 0; !leaving.repairer.HandOff(c.ctx); attempts++ {
			if attempts > 2 {
				t.Fatal("HandOff does not report completion after several calls")
			}
		}
		if c.countLagging() > 0 {
			t.Fatal("HandOff reported completion while a voter lacked the newest proposal")
		}
	})
}

// TestCatchUp_standbyHoldsNewestProposals runs CatchUp on a standby: it must hold
// the newest proposal before any place is free, and must have promised no epoch.
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
			t.Fatalf("the standby's slot is %+v, want the newest proposal and no promise", held)
		}
	})
}
