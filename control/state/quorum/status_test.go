package quorum

import (
	"sync"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
)

// TestTracker_allVotersAgeCoversEveryVoter has one of three be silent for a while, and
// another take its place.
func TestTracker_allVotersAgeCoversEveryVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		top, end := scope.New(scope.Options{}).WithCancel()
		delays := &sync.Map{}
		made := newTestTracker(3, delays)
		lock, known := sync.Mutex{}, testVoters(3)()
		made.options.Voters = func() register.VoterSet { lock.Lock(); defer lock.Unlock(); return known }
		go made.Run(top)
		expect := func(when string, least clock.Span, most clock.Span) {
			t.Helper()
			told := made.Status(top.Now())
			if age := clock.Span(told.AllVotersAgeMS) * clock.Millisecond; !told.Majority || age < least || age > most {
				t.Errorf("%s: %+v", when, told)
			}
		}
		delays.Store(ids.Address("1"), 70*clock.Millisecond)
		top.Wait(clock.Second)
		if told := made.Status(top.Now()); !told.Majority || told.AllVotersAgeMS != -1 {
			t.Errorf("one never answered: %+v", told)
		}
		delays.Store(ids.Address("2"), 70*clock.Millisecond)
		top.Wait(clock.Second)
		expect("all answer", 0, testMaxAge)
		delays.Delete(ids.Address("2"))
		top.Wait(10 * clock.Second)
		expect("one is silent", 10*clock.Second-testMaxAge, 10*clock.Second+testMaxAge)
		lock.Lock()
		known = register.VoterSet{Generation: 2, Members: []register.Member{{Address: "0"}, {Address: "1"}, {Address: "3", Learner: true}}}
		lock.Unlock()
		top.Wait(clock.Second)
		expect("replaced by one that is silent", 11*clock.Second-testMaxAge, 11*clock.Second+testMaxAge)
		delays.Store(ids.Address("3"), 70*clock.Millisecond)
		top.Wait(clock.Second)
		expect("replaced", 0, testMaxAge)
		end()
		drainPending()
	})
	if told := (*Tracker)(nil).Status(7); told.Majority || told.AgeMS != -1 || told.AllVotersAgeMS != -1 {
		t.Errorf("no contact: %+v", told)
	}
}
