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

// testTiming is the timing of clusters with trackers.
var testTiming = Timing{
	Tick: 250 * time.Millisecond, RequestTimeout: 300 * time.Millisecond, SuspectAfter: 750 * time.Millisecond,
	LostAfter: 1500 * time.Millisecond, ActiveFor: 12 * time.Second,
}

// attachTracker gives a voter a quorum tracker. The function that it returns has
// all other voters answer that are not silent, and checks.
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

// TestVoter_silentPeerIsSuspectedThenLost has a voter fall silent: it is suspected
// after SuspectAfter, lost after LostAfter, and neither after a shorter pause. A
// learner is lost alike. A voter that hears no majority itself suspects nobody.
func TestVoter_silentPeerIsSuspectedThenLost(t *testing.T) {
	c := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	round, v := c.attachTracker(0, silent), c.voters[0]
	silentPeer, otherPeer := c.voters[1].options.Address, c.voters[2].options.Address
	pass := func(span time.Duration) {
		for ; span > 0; span -= testTiming.Tick {
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
	pass(testTiming.SuspectAfter - testTiming.Tick)
	check("after a moment", false, false)
	pass(testTiming.Tick)
	check("after SuspectAfter", true, false)
	silent[silentPeer] = false
	pass(testTiming.Tick)
	check("after a pause", false, false)
	silent[silentPeer] = true
	pass(testTiming.LostAfter)
	check("for good", true, true)
	silent[otherPeer] = true
	pass(2 * testTiming.LostAfter)
	if allLost := v.liveness.lostVoters(v.Acceptor.Voters()); len(allLost) != 0 || v.liveness.suspected(silentPeer) {
		t.Fatalf("a partitioned voter takes %v for lost", allLost)
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
	check("lost learner", true, true)
}

// TestVoter_changesTriggerSurveys expects a survey at each tick while the view of
// the voters is new or not stable, and none but the regular ones afterwards: a loss
// that nobody replaces does not cause them for ever.
func TestVoter_changesTriggerSurveys(t *testing.T) {
	c := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	round, v := c.attachTracker(0, silent), c.voters[0]
	round()
	if !v.checkDue(c.clock.Now()) {
		t.Fatal("a new voter set triggers no survey")
	}
	pass := func(span time.Duration) (due int) {
		for ; span > 0; span -= testTiming.Tick {
			c.clock.Advance(testTiming.Tick)
			round()
			if v.checkDue(c.clock.Now()) {
				due++
			}
		}
		return due
	}
	pass(testTiming.ActiveFor)
	if count := pass(time.Second); count != 0 {
		t.Fatalf("%d surveys due while stable", count)
	}
	silent[c.voters[1].options.Address] = true
	pass(testTiming.SuspectAfter)
	if count := pass(time.Second); count != 4 {
		t.Fatalf("%d of 4 surveys due for a silent voter", count)
	}
	pass(testTiming.ActiveFor)
	if count := pass(time.Second); count != 0 {
		t.Fatalf("%d surveys due for a lasting loss", count)
	}
}
