package lease

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// settled is a voter that may grant.
func settled() (*Granter, *clock.Fake, *int64) {
	machine, voters := clock.NewFake(), int64(1)
	granter := NewGranter(machine, span, func() (bool, int64) { return true, voters })
	machine.Move(span)
	return granter, machine, &voters
}

func asked(number int64) Ask {
	return Ask{Duty: "plan", Holder: "a", Life: 7, Number: number, Voters: 1}
}

func other(number int64) Ask {
	return Ask{Duty: "plan", Holder: "b", Life: 8, Number: number, Voters: 1}
}

func released(asked Ask) Ask { asked.Release = true; return asked }

func renewed(asked Ask) Ask { asked.Renew = true; return asked }

// TestLateReleaseTakesNothingBack has a release come after a later grant to
// the same holder: the grant stands.
func TestLateReleaseTakesNothingBack(t *testing.T) {
	granter, _, _ := settled()
	granter.Grant(asked(1))
	granter.Grant(released(asked(1)))
	if !granter.Grant(asked(2)).Granted {
		t.Fatal("not granted after a release")
	}
	granter.Grant(released(asked(1)))
	old := released(asked(9))
	old.Life = 6
	granter.Grant(old)
	if granter.Grant(other(1)).Granted {
		t.Fatal("a late release, or one of a life before, took a grant back")
	}
	granter.Grant(released(asked(2)))
	if !granter.Grant(other(2)).Granted {
		t.Fatal("a release in time took nothing back")
	}
}

// TestLateQuestionGainsNothing has a question come after it was given back,
// and one come twice.
func TestLateQuestionGainsNothing(t *testing.T) {
	granter, machine, _ := settled()
	granter.Grant(released(asked(3)))
	if granter.Grant(asked(3)).Granted || granter.Grant(asked(2)).Granted {
		t.Fatal("what was given back before it came is granted")
	}
	if !granter.Grant(asked(4)).Granted || !granter.Grant(renewed(asked(5))).Granted {
		t.Fatal("not granted in order")
	}
	machine.Move(span)
	if granter.Grant(renewed(asked(5))).Granted {
		t.Fatal("a question that came twice is granted twice")
	}
	again := renewed(asked(6))
	if granter.Grant(other(1)); granter.Grant(again).Granted {
		t.Fatal("renewed while another has it")
	}
}

// TestOtherVotersGrantNothingToThisCohort has a holder that knows only older
// voters ask one that knows newer ones; and a voter that learnt of others be
// quiet for a span, though it renews.
func TestOtherVotersGrantNothingToThisCohort(t *testing.T) {
	granter, machine, voters := settled()
	granter.Grant(asked(1))
	*voters = 2
	if told := granter.Grant(renewed(asked(2))); told.Granted || !told.Misfenced {
		t.Fatal("renewed under voters that are no more")
	}
	follows := renewed(asked(3))
	follows.Voters = 2
	if !granter.Grant(follows).Granted {
		t.Fatal("a holder that knows the voters can't renew")
	}
	newcomer := Ask{Duty: "census", Holder: "b", Life: 8, Number: 1, Voters: 2}
	if granter.Grant(newcomer).Granted {
		t.Fatal("granted right after the voters changed")
	}
	machine.Move(span)
	newcomer.Number = 2
	if !granter.Grant(newcomer).Granted {
		t.Fatal("not granted a span after the voters changed")
	}
}

// TestHoldThatRanOutIsANewOne has a renewal take so long that the hold ends and
// another has it in between: what was gained then is under a new epoch.
func TestHoldThatRanOutIsANewOne(t *testing.T) {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	epoch, slow := int64(0), false
	holder := NewHolder(Options{
		Duty: "plan", Address: "a", Span: span,
		Ask: func(scope.Scope, Ask) Grants {
			if slow {
				machine.Move(span * 9 / 10)
				epoch++
			}
			return Majority
		},
		Epoch: func(scope.Scope, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.Strive(top)
	machine.Move(span / 3)
	holder.Strive(top)
	if now, held := holder.Held(machine.Now()); !held || now != 1 {
		t.Fatalf("a renewal in time: epoch %d, held %v", now, held)
	}
	slow = true
	machine.Move(span / 3)
	holder.Strive(top)
	if now, _ := holder.Held(machine.Now()); now != 3 {
		t.Fatalf("epoch %d after another had 2", now)
	}
}

// TestWhatWasGivenUpStaysSo gives the duty up while a renewal is under way, and
// then for good.
func TestWhatWasGivenUpStaysSo(t *testing.T) {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	var holder *Holder
	during := func() {}
	epoch := int64(0)
	holder = NewHolder(Options{
		Duty: "plan", Address: "a", Span: span,
		Ask: func(_ scope.Scope, asked Ask) Grants {
			if !asked.Release {
				during()
			}
			if asked.Release {
				return Fewer
			}
			return Majority
		},
		Epoch: func(scope.Scope, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.Strive(top)
	during = func() { holder.Release(top) }
	if holder.Strive(top) {
		t.Fatal("renewed what was given up meanwhile")
	}
	if _, held := holder.Held(machine.Now()); held {
		t.Fatal("held after it was given up")
	}
	during = func() {}
	holder.Leave(top)
	if holder.Strive(top) {
		t.Fatal("striven for after leaving")
	}
}
