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

// pace is that of these tests.
var pace = Pace{
	Tick: 250 * clock.Millisecond, Answer: 300 * clock.Millisecond, Doubt: 750 * clock.Millisecond,
	Missed: 1500 * clock.Millisecond, Stir: 12 * clock.Second,
}

// listen gives a controller a contact, and what has it hear all that are not
// silent.
func (s *site) listen(index int, silent map[ids.Address]bool) func() {
	subject := s.seats[index]
	subject.options.Pace = pace
	subject.options.Contact = quorum.New(quorum.Options{
		Address: subject.options.Address, Voters: subject.Acceptor.Voters, Fresh: 500 * clock.Millisecond,
	})
	return func() {
		for _, voter := range subject.Acceptor.Voters().Members {
			if voter.Address != subject.options.Address && !silent[voter.Address] {
				subject.options.Contact.Heard(voter.Address, s.clock.Now())
			}
		}
		subject.stirred(s.clock.Now())
	}
}

// TestSilentVoterIsMissedAfterItsPart has a voter fall silent: it is in doubt
// after one span, missed after the other, and neither after a shorter pause; a
// newcomer that is lost while it learns is missed alike. One that hears no
// majority itself misses nobody.
func TestSilentVoterIsMissedAfterItsPart(t *testing.T) {
	site := newSite(t, 4)
	silent := map[ids.Address]bool{}
	ask, subject := site.listen(0, silent), site.seats[0]
	lost, other := site.seats[1].options.Address, site.seats[2].options.Address
	pass := func(span clock.Span) {
		for ; span > 0; span -= pace.Tick {
			site.clock.Move(pace.Tick)
			ask()
		}
	}
	check := func(when string, doubted bool, missed bool) {
		t.Helper()
		if subject.doubted(lost) != doubted || slices.Contains(subject.away(), lost) != missed || subject.doubted(other) {
			t.Fatalf("%s: doubted %v, away %v", when, subject.doubted(lost), subject.away())
		}
	}
	ask()
	silent[lost] = true
	pass(pace.Doubt - pace.Tick)
	check("after a moment", false, false)
	pass(pace.Tick)
	check("after the span of doubt", true, false)
	silent[lost] = false
	pass(pace.Tick)
	check("after a pause", false, false)
	silent[lost] = true
	pass(pace.Missed)
	check("for good", true, true)
	silent[other] = true
	pass(2 * pace.Missed)
	if len(subject.away()) != 0 || subject.doubted(lost) {
		t.Fatalf("one that is cut off itself misses %v", subject.away())
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
	body, err := transport.Pack(register.VoterSet{Generation: 2, Members: seats})
	if err != nil {
		t.Fatal(err)
	}
	if err := subject.Acceptor.Learn([]register.Slot{{Key: register.VotersKey, Accepted: register.Proposal{Epoch: ids.Epoch{Number: 5}, Sequence: 1, Value: body}}}); err != nil {
		t.Fatal(err)
	}
	ask()
	check("learning, lost", true, true)
}

// TestChangesStirTheLooks has looks come at each tick while what is seen of the
// voters is young or not whole, and in calm at their own pace alone: a loss that
// nobody replaces does not stir for ever.
func TestChangesStirTheLooks(t *testing.T) {
	site := newSite(t, 4)
	silent := map[ids.Address]bool{}
	ask, subject := site.listen(0, silent), site.seats[0]
	ask()
	if !subject.stirred(site.clock.Now()) {
		t.Fatal("voters that were just learnt of don't stir")
	}
	pass := func(span clock.Span) (stirred int) {
		for ; span > 0; span -= pace.Tick {
			site.clock.Move(pace.Tick)
			ask()
			if subject.stirred(site.clock.Now()) {
				stirred++
			}
		}
		return stirred
	}
	pass(pace.Stir)
	if count := pass(clock.Second); count != 0 {
		t.Fatalf("calm stirs %d times", count)
	}
	silent[site.seats[1].options.Address] = true
	pass(pace.Doubt)
	if count := pass(clock.Second); count != 4 {
		t.Fatalf("a silent voter stirs %d of 4 times", count)
	}
	pass(pace.Stir)
	if count := pass(clock.Second); count != 0 {
		t.Fatalf("a loss that lasts stirs %d times", count)
	}
}
