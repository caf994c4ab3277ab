package lease

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// newReadyLessor is a voter that may grant.
func newReadyLessor() (*Lessor, *clock.Fake, *int64) {
	machine, voters := clock.NewFake(), int64(1)
	granter := NewLessor(machine, testTTL, func() (bool, int64) { return true, voters })
	machine.Advance(testTTL)
	return granter, machine, &voters
}

func testRequest(number int64) Request {
	return Request{Name: "plan", Holder: "a", Incarnation: 7, Sequence: number, VotersMark: 1}
}

func otherRequest(number int64) Request {
	return Request{Name: "plan", Holder: "b", Incarnation: 8, Sequence: number, VotersMark: 1}
}

func asRelease(asked Request) Request { asked.Release = true; return asked }

func asRenewal(asked Request) Request { asked.Renew = true; return asked }

// TestLessor_staleReleaseRevokesNothing has a release come after a later grant to
// the same holder: the grant stands.
func TestLessor_staleReleaseRevokesNothing(t *testing.T) {
	granter, _, _ := newReadyLessor()
	granter.Grant(testRequest(1))
	granter.Grant(asRelease(testRequest(1)))
	if !granter.Grant(testRequest(2)).Granted {
		t.Fatal("not granted after a release")
	}
	granter.Grant(asRelease(testRequest(1)))
	old := asRelease(testRequest(9))
	old.Incarnation = 6
	granter.Grant(old)
	if granter.Grant(otherRequest(1)).Granted {
		t.Fatal("a late release, or one of a life before, took a grant back")
	}
	granter.Grant(asRelease(testRequest(2)))
	if !granter.Grant(otherRequest(2)).Granted {
		t.Fatal("a release in time took nothing back")
	}
}

// TestLessor_staleRequestIsNotGranted has a question come after it was given back,
// and one come twice.
func TestLessor_staleRequestIsNotGranted(t *testing.T) {
	granter, machine, _ := newReadyLessor()
	granter.Grant(asRelease(testRequest(3)))
	if granter.Grant(testRequest(3)).Granted || granter.Grant(testRequest(2)).Granted {
		t.Fatal("what was given back before it came is granted")
	}
	if !granter.Grant(testRequest(4)).Granted || !granter.Grant(asRenewal(testRequest(5))).Granted {
		t.Fatal("not granted in order")
	}
	machine.Advance(testTTL)
	if granter.Grant(asRenewal(testRequest(5))).Granted {
		t.Fatal("a question that came twice is granted twice")
	}
	again := asRenewal(testRequest(6))
	if granter.Grant(otherRequest(1)); granter.Grant(again).Granted {
		t.Fatal("renewed while another has it")
	}
}

// TestLessor_refusesRequestUnderOtherVoters has a holder that knows only older
// voters ask one that knows newer ones; and a voter that learnt of others be
// quiet for a span, though it renews.
func TestLessor_refusesRequestUnderOtherVoters(t *testing.T) {
	granter, machine, voters := newReadyLessor()
	granter.Grant(testRequest(1))
	*voters = 2
	if told := granter.Grant(asRenewal(testRequest(2))); told.Granted || !told.VotersMismatch {
		t.Fatal("renewed under voters that are no more")
	}
	follows := asRenewal(testRequest(3))
	follows.VotersMark = 2
	if !granter.Grant(follows).Granted {
		t.Fatal("a holder that knows the voters can't renew")
	}
	newcomer := Request{Name: "census", Holder: "b", Incarnation: 8, Sequence: 1, VotersMark: 2}
	if granter.Grant(newcomer).Granted {
		t.Fatal("granted right after the voters changed")
	}
	machine.Advance(testTTL)
	newcomer.Sequence = 2
	if !granter.Grant(newcomer).Granted {
		t.Fatal("not granted a span after the voters changed")
	}
}

// TestHolder_leaseExpiredDuringRenewalGetsNewEpoch has a renewal take so long that the hold ends and
// another has it in between: what was gained then is under a new epoch.
func TestHolder_leaseExpiredDuringRenewalGetsNewEpoch(t *testing.T) {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	epoch, slow := int64(0), false
	holder := NewHolder(Options{
		Name: "plan", Address: "a", TTL: testTTL,
		RequestGrant: func(scope.Scope, Request) Outcome {
			if slow {
				machine.Advance(testTTL * 9 / 10)
				epoch++
			}
			return MajorityGranted
		},
		NextEpoch: func(scope.Scope, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.TryAcquireOrRenew(top)
	machine.Advance(testTTL / 3)
	holder.TryAcquireOrRenew(top)
	if now, held := holder.Held(machine.Now()); !held || now != 1 {
		t.Fatalf("a renewal in time: epoch %d, held %v", now, held)
	}
	slow = true
	machine.Advance(testTTL / 3)
	holder.TryAcquireOrRenew(top)
	if now, _ := holder.Held(machine.Now()); now != 3 {
		t.Fatalf("epoch %d after another had 2", now)
	}
}

// TestHolder_releaseDuringRenewalWins gives the duty up while a renewal is under way, and
// then for good.
func TestHolder_releaseDuringRenewalWins(t *testing.T) {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	var holder *Holder
	during := func() {}
	epoch := int64(0)
	holder = NewHolder(Options{
		Name: "plan", Address: "a", TTL: testTTL,
		RequestGrant: func(_ scope.Scope, asked Request) Outcome {
			if !asked.Release {
				during()
			}
			if asked.Release {
				return MinorityGranted
			}
			return MajorityGranted
		},
		NextEpoch: func(scope.Scope, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.TryAcquireOrRenew(top)
	during = func() { holder.Release(top) }
	if holder.TryAcquireOrRenew(top) {
		t.Fatal("renewed what was given up meanwhile")
	}
	if _, held := holder.Held(machine.Now()); held {
		t.Fatal("held after it was given up")
	}
	during = func() {}
	holder.Resign(top)
	if holder.TryAcquireOrRenew(top) {
		t.Fatal("striven for after leaving")
	}
}
