package voter

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// testTiming is that of these tests.
var testTiming = Timing{
	Tick: 250 * clock.Millisecond, RequestTimeout: 300 * clock.Millisecond, SuspectAfter: 750 * clock.Millisecond,
	LostAfter: 1500 * clock.Millisecond, ActiveFor: 12 * clock.Second,
}

// attachTracker gives a controller a contact, and what has it hear all that are not
// silent.
func (c *cluster) attachTracker(index int, silent map[ids.Address]bool) func() {
	subject := c.voters[index]
	subject.options.Timing = testTiming
	subject.options.Quorum = quorum.New(quorum.Options{
		Address: subject.options.Address, Voters: subject.Acceptor.Voters, MaxAge: 500 * clock.Millisecond,
	})
	return func() {
		for _, voter := range subject.Acceptor.Voters().Members {
			if voter.Address != subject.options.Address && !silent[voter.Address] {
				subject.options.Quorum.RecordContact(voter.Address, c.clock.Now())
			}
		}
		subject.checkDue(c.clock.Now())
	}
}

// TestVoter_silentPeerIsSuspectedThenLost has a voter fall silent: it is in doubt
// after one span, missed after the other, and neither after a shorter pause; a
// newcomer that is lost while it learns is missed alike. One that hears no
// majority itself misses nobody.
func TestVoter_silentPeerIsSuspectedThenLost(t *testing.T) {
	site := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	ask, subject := site.attachTracker(0, silent), site.voters[0]
	lost, other := site.voters[1].options.Address, site.voters[2].options.Address
	pass := func(span clock.Span) {
		for ; span > 0; span -= testTiming.Tick {
			site.clock.Advance(testTiming.Tick)
			ask()
		}
	}
	check := func(when string, doubted bool, missed bool) {
		t.Helper()
		if subject.suspected(lost) != doubted || slices.Contains(subject.lostVoters(), lost) != missed || subject.suspected(other) {
			t.Fatalf("%s: doubted %v, away %v", when, subject.suspected(lost), subject.lostVoters())
		}
	}
	ask()
	silent[lost] = true
	pass(testTiming.SuspectAfter - testTiming.Tick)
	check("after a moment", false, false)
	pass(testTiming.Tick)
	check("after the span of doubt", true, false)
	silent[lost] = false
	pass(testTiming.Tick)
	check("after a pause", false, false)
	silent[lost] = true
	pass(testTiming.LostAfter)
	check("for good", true, true)
	silent[other] = true
	pass(2 * testTiming.LostAfter)
	if len(subject.lostVoters()) != 0 || subject.suspected(lost) {
		t.Fatalf("one that is cut off itself misses %v", subject.lostVoters())
	}
	silent[other] = false
	ask()
	learner := register.Member{Address: lost, Incarnation: 7, Learner: true}
	seats := slices.Clone(subject.Acceptor.Voters().Members)
	for index := range seats {
		if seats[index].Address == lost {
			seats[index] = learner
		}
	}
	body, err := transport.Marshal(register.VoterSet{Generation: 2, Members: seats})
	if err != nil {
		t.Fatal(err)
	}
	if err := subject.Acceptor.Learn([]register.Slot{{Key: register.VotersKey, Accepted: register.Proposal{Epoch: ids.Epoch{Number: 5}, Sequence: 1, Value: body}}}); err != nil {
		t.Fatal(err)
	}
	ask()
	check("learning, lost", true, true)
}

// TestVoter_changesTriggerSurveys has looks come at each tick while what is seen of the
// voters is young or not whole, and in calm at their own pace alone: a loss that
// nobody replaces does not stir for ever.
func TestVoter_changesTriggerSurveys(t *testing.T) {
	site := newCluster(t, 4)
	silent := map[ids.Address]bool{}
	ask, subject := site.attachTracker(0, silent), site.voters[0]
	ask()
	if !subject.checkDue(site.clock.Now()) {
		t.Fatal("voters that were just learnt of don't stir")
	}
	pass := func(span clock.Span) (stirred int) {
		for ; span > 0; span -= testTiming.Tick {
			site.clock.Advance(testTiming.Tick)
			ask()
			if subject.checkDue(site.clock.Now()) {
				stirred++
			}
		}
		return stirred
	}
	pass(testTiming.ActiveFor)
	if count := pass(clock.Second); count != 0 {
		t.Fatalf("calm stirs %d times", count)
	}
	silent[site.voters[1].options.Address] = true
	pass(testTiming.SuspectAfter)
	if count := pass(clock.Second); count != 4 {
		t.Fatalf("a silent voter stirs %d of 4 times", count)
	}
	pass(testTiming.ActiveFor)
	if count := pass(clock.Second); count != 0 {
		t.Fatalf("a loss that lasts stirs %d times", count)
	}
}
