package quorum

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
)

// TestTracker_allVotersContactAgeCoversEveryVoter has one of three voters stop
// answering, replaces it by a learner that does not answer either, and lets that
// one answer in the end.
func TestTracker_allVotersContactAgeCoversEveryVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := scope.New(scope.Options{}).WithCancel()
		delays := &sync.Map{}
		tracker := newTestTracker(ctx, 3, delays)
		mu, voters := sync.Mutex{}, testVoters(3)()
		tracker.options.Voters = func() register.VoterSet { mu.Lock(); defer mu.Unlock(); return voters }
		go tracker.Run(ctx)
		expect := func(when string, atLeast time.Duration, atMost time.Duration) {
			t.Helper()
			status := tracker.Status(ctx.Now())
			if age := time.Duration(status.AllVotersAgeMS) * time.Millisecond; !status.Majority || age < atLeast || age > atMost {
				t.Errorf("%s: no majority, or AllVotersAgeMS out of range: %+v", when, status)
			}
		}
		delays.Store(ids.Address("1"), 70*time.Millisecond)
		ctx.Wait(time.Second)
		if status := tracker.Status(ctx.Now()); !status.Majority || status.AllVotersAgeMS != -1 {
			t.Errorf("one voter has never answered, got %+v", status)
		}
		delays.Store(ids.Address("2"), 70*time.Millisecond)
		ctx.Wait(time.Second)
		expect("all voters answer", 0, testMaxAge)
		delays.Delete(ids.Address("2"))
		ctx.Wait(10 * time.Second)
		expect("one voter does not answer", 10*time.Second-testMaxAge, 10*time.Second+testMaxAge)
		mu.Lock()
		voters = register.VoterSet{Generation: 2, Members: []register.Member{{Address: "0"}, {Address: "1"}, {Address: "3", Learner: true}}}
		mu.Unlock()
		ctx.Wait(time.Second)
		expect("the replacement does not answer", 11*time.Second-testMaxAge, 11*time.Second+testMaxAge)
		delays.Store(ids.Address("3"), 70*time.Millisecond)
		ctx.Wait(time.Second)
		expect("the replacement answers", 0, testMaxAge)
		cancel()
		awaitPendingHeartbeats()
	})
	if status := (*Tracker)(nil).Status(7); status.Majority || status.AgeMS != -1 || status.AllVotersAgeMS != -1 {
		t.Errorf("nil Tracker reports contact: %+v", status)
	}
}
