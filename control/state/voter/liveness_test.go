package voter

import (
	"slices"
	"testing"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// testTiming is the timing of voters with quorum trackers.
var testTiming = Timing{
	Tick: 250 * time.Millisecond, RequestTimeout: 300 * time.Millisecond, SuspectAfter: 750 * time.Millisecond,
	LostAfter: 1500 * time.Millisecond, ActiveFor: 12 * time.Second,
}

// attachTracker gives a voter a quorum tracker. The returned function simulates a
// round: it records contact with all other voters that are not silent, and
// updates the voter's view.
func (c *cluster) attachTracker(index int, silent map[ids.Address]bool) func() {
	v := c.voters[index]
	v.options.Timing = testTiming
	v.options.Quorum = quorum.New(quorum.Options{
		Clock: c.clock, Log: c.ctx.Log, Address: v.options.Address, Voters: v.Acceptor.Voters, MaxAge: 500 * time.Millisecond,
	})
	return func() {
		for _, voter := range v.Acceptor.Voters().Members {
			if voter.Address != v.options.Address && !silent[voter.Address] {
				v.options.Quorum.RecordContact(voter.Address, c.clock.Now())
			}
		}
		v.checkDue(c.clock.Now())
	}
}

// TestVoter_silentPeerIsSuspectedThenLost has a voter fall silent: it must be
// suspected after SuspectAfter, lost after LostAfter, and neither after a shorter
// silence. The same holds for a learner. A voter without contact with a majority
// suspects no other.
func TestVoter_silentPeerIsSuspectedThenLost(t *testing.T) {
	c := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	round, v := c.attachTracker(0, silent), c.voters[0]
	silentPeer, otherPeer := c.voters[1].options.Address, c.voters[2].options.Address
	advance := func(duration time.Duration) {
		for ; duration > 0; duration -= testTiming.Tick {
			c.clock.Advance(testTiming.Tick)
			round()
		}
	}
	check := func(when string, wantSuspected bool, wantLost bool) {
		t.Helper()
		allLost := v.liveness.lostVoters(v.Acceptor.Voters())
		if v.liveness.suspected(silentPeer) != wantSuspected || slices.Contains(allLost, silentPeer) != wantLost || v.liveness.suspected(otherPeer) {
			t.Fatalf("%s: suspected %v, lost %v", when, v.liveness.suspected(silentPeer), allLost)
		}
	}
	round()
	silent[silentPeer] = true
	advance(testTiming.SuspectAfter - testTiming.Tick)
	check("shortly before SuspectAfter", false, false)
	advance(testTiming.Tick)
	check("after SuspectAfter", true, false)
	silent[silentPeer] = false
	advance(testTiming.Tick)
	check("after it responded again", false, false)
	silent[silentPeer] = true
	advance(testTiming.LostAfter)
	check("after LostAfter", true, true)
	silent[otherPeer] = true
	advance(2 * testTiming.LostAfter)
	if allLost := v.liveness.lostVoters(v.Acceptor.Voters()); len(allLost) != 0 || v.liveness.suspected(silentPeer) {
		t.Fatalf("a partitioned voter suspects a silent peer, or considers these lost: %v", allLost)
	}
	silent[otherPeer] = false
	round()
	learner := register.Member{Address: silentPeer, Incarnation: 7, Learner: true}
	members := slices.Clone(v.Acceptor.Voters().Members)
	for index := range members {
		if members[index].Address == silentPeer {
			members[index] = learner
		}
	}
	body, err := transport.Marshal(register.VoterSet{Generation: 2, Members: members})
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Acceptor.Learn([]register.Slot{{Key: register.VotersKey, Accepted: register.Proposal{Epoch: ids.Epoch{Number: 5}, Sequence: 1, Value: body}}}); err != nil {
		t.Fatal(err)
	}
	round()
	check("after it became a learner", true, true)
}

// TestVoter_changesTriggerSurveys expects a survey at each tick while the view of
// the voters is new or not stable, and only the regular ones afterwards: a lost
// voter that nobody replaces must not cause surveys at each tick forever.
func TestVoter_changesTriggerSurveys(t *testing.T) {
	c := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	round, v := c.attachTracker(0, silent), c.voters[0]
	round()
	if !v.checkDue(c.clock.Now()) {
		t.Fatal("a new voter set triggers no survey")
	}
	advance := func(duration time.Duration) (due int) {
		for ; duration > 0; duration -= testTiming.Tick {
			c.clock.Advance(testTiming.Tick)
			round()
			if v.checkDue(c.clock.Now()) {
				due++
			}
		}
		return due
	}
	advance(testTiming.ActiveFor)
	if count := advance(time.Second); count != 0 {
		t.Fatalf("%d surveys due while the view is stable, want 0", count)
	}
	silent[c.voters[1].options.Address] = true
	advance(testTiming.SuspectAfter)
	if count := advance(time.Second); count != 4 {
		t.Fatalf("%d surveys due in 4 ticks after a voter fell silent, want 4", count)
	}
	advance(testTiming.ActiveFor)
	if count := advance(time.Second); count != 0 {
		t.Fatalf("%d surveys due long after a voter was lost, want 0", count)
	}
}
