package register

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// update adds a mark to the history under the key, or only reads it, and checks
// what the outcome says against all that was acknowledged before it began.
func (c *cluster) update(subject *node, reads bool) bool {
	if !subject.up || subject.busy {
		return false
	}
	subject.busy = true
	defer func() { subject.busy = false }()
	before := c.acknowledged
	c.writes++
	mark := string(rune('A'+c.writes%26)) + string(subject.address) + ";"
	keeper := subject.proposer
	value, err := keeper.Update(c.scope, "spec", func(current []byte) ([]byte, error) {
		if reads {
			return nil, nil
		}
		return append(append([]byte(nil), current...), mark...), nil
	})
	if err != nil {
		return false
	}
	if !strings.HasPrefix(string(value), before) {
		c.t.Fatalf("acknowledged %q is gone: %s now answers %q", before, subject.address, value)
	}
	if !strings.HasPrefix(string(value), c.acknowledged) && !strings.HasPrefix(c.acknowledged, string(value)) {
		c.t.Fatalf("two histories were acknowledged: %q and %q", c.acknowledged, value)
	}
	if len(value) > len(c.acknowledged) {
		c.acknowledged = string(value)
	}
	return true
}

// canLoseDisk tells whether one more disk may be lost: a majority of the seats is
// left that is up, whole, and knows the same voters; where the seats are all
// there, that is as many disks at one time as may be lost. One that is back but
// that others still take for gone counts as lost itself: a machine does so for
// some seconds after its return, and its seat may just be taken.
func (c *cluster) canLoseDisk(subject *node) bool {
	whole := 0
	for _, other := range c.nodes {
		if other == subject {
			continue
		}
		seat, seated := c.currentVoters().member(other.address)
		sound := other.up && !other.replaceable && !seat.Learner && seat.Incarnation == other.acceptor.Incarnation()
		if seated && sound && other.acceptor.Voters().Fingerprint() == c.currentVoters().Fingerprint() {
			whole++
		}
	}
	return whole >= quorum(len(c.currentVoters().Members))
}

func (c *cluster) currentVoters() VoterSet {
	var newest Proposal
	voters := VoterSet{}
	for _, other := range c.nodes {
		if held := other.acceptor.Slot(VotersKey).Accepted; held.newerThan(newest) {
			newest, voters = held, other.acceptor.Voters()
		}
	}
	return voters
}

// randomEvent lets one thing happen anywhere.
func (c *cluster) randomEvent() {
	subject := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "machine")]
	other := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "other")]
	events := []func(){
		func() { c.update(subject, false) },
		func() { c.update(subject, false) },
		func() { c.update(subject, true) },
		func() { c.join(subject) },
		func() { c.join(subject) },
		func() { c.repairRound(subject) },
		func() { c.repairRound(subject) },
		func() {
			// A message comes late, perhaps once more later.
			if len(c.delayed) > 0 {
				c.delayed[rapid.IntRange(0, len(c.delayed)-1).Draw(c.t, "late")]()
			}
		},
		func() {
			// Killed, with what the disk holds, and back.
			if !subject.busy {
				c.restart(subject)
			}
		},
		func() {
			// The disk is lost; it must be the only one of the voters' disks.
			if !subject.busy && c.canLoseDisk(subject) {
				subject.disk.records = nil
				c.restart(subject)
			}
		},
		func() { subject.disk.failing = !subject.disk.failing },
		func() { subject.up = !subject.up },
		func() { subject.replaceable = !subject.up },
		func() { c.partitions[[2]ids.Address{subject.address, other.address}] = subject != other },
		func() { c.partitions = map[[2]ids.Address]bool{} },
	}
	events[rapid.IntRange(0, len(events)-1).Draw(c.t, "event")]()
}

func (c *cluster) join(subject *node) {
	if !subject.up || subject.busy || subject.acceptor.Voting() {
		return
	}
	subject.busy = true
	_ = subject.joiner.Join(c.scope)
	subject.busy = false
}

// TestUpdate_acknowledgedSurvivesFaults lets machines be killed, wiped, cut off, taken
// out and brought in, with disks that refuse and owners that duel: what was
// acknowledged stays, and of two changes on one value only one wins.
func TestUpdate_acknowledgedSurvivesFaults(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			world := newCluster(t, losses)
			for range rapid.IntRange(5, 60).Draw(t, "length") {
				world.randomEvent()
			}
			world.healAndVerify()
		})
	}
}

// healAndVerify ends all trouble; within some rounds the key must be served again.
func (c *cluster) healAndVerify() {
	c.faultFree = true
	c.partitions = map[[2]ids.Address]bool{}
	for _, subject := range c.nodes {
		subject.disk.failing = false
		subject.up, subject.replaceable = true, false
	}
	served := false
	for range 8 {
		for _, subject := range c.nodes {
			c.join(subject)
		}
		for _, subject := range c.nodes {
			served = c.update(subject, false) || served
		}
	}
	for _, seat := range c.currentVoters().Members {
		if holder := c.find(seat.Address); seat.Learner || !holder.acceptor.Voting() {
			c.t.Fatalf("the seat of %s is not filled after all trouble ended: %+v", seat.Address, c.currentVoters())
		}
	}
	if !served {
		c.t.Fatalf("the key is not served after all trouble ended: %+v", c.currentVoters())
	}
}

// TestProposer_staleOwnerIsFenced has an owner freeze, another take over, and the first
// come back: its write must not be acknowledged on top of the other's.
func TestProposer_staleOwnerIsFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		first, second := world.nodes[0], world.nodes[1]
		if !world.update(first, false) || !world.update(second, false) {
			t.Fatal("a calm write failed")
		}
		value, err := first.proposer.Read(world.scope, "spec")
		if err == nil && !strings.HasPrefix(string(value), world.acknowledged) {
			t.Fatalf("a fenced owner read %q after %q was acknowledged", value, world.acknowledged)
		}
		if !world.update(first, false) {
			t.Fatal("the key can't be taken back")
		}
	})
}

// TestJoin_blankDiskLearnsBeforeVoting wipes a voter right after its vote made a majority:
// it may vote again only once it learnt from both others.
func TestJoin_blankDiskLearnsBeforeVoting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 1)
		world.faultFree = true
		world.nodes[2].up = false
		if !world.update(world.nodes[0], false) {
			t.Fatal("a write on two of three failed")
		}
		wiped := world.nodes[0]
		wiped.disk.records = nil
		world.restart(wiped)
		world.nodes[1].up = false
		world.nodes[2].up = true
		world.join(wiped)
		if world.update(world.nodes[2], false) {
			t.Fatal("a blank disk and one that missed the write made a majority")
		}
		world.nodes[1].up = true
		for range 4 {
			world.join(wiped)
		}
		if !wiped.acceptor.Voting() {
			t.Fatal("the new disk never got its seat")
		}
		if !world.update(world.nodes[2], false) {
			t.Fatal("the key is not served")
		}
	})
}
