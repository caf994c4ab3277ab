package voter

import (
	"errors"
	"runtime"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/state/register"
	"onyxwell/simulation/simdisk"
)

// TestOpen_damagedWALGetsNewIncarnation spoils a voter's journal: the votes of before are
// gone, and the disk must not count as the one that gave them. On each start
// the disk refuses an act, another each time.
func TestOpen_damagedWALGetsNewIncarnation(t *testing.T) {
	machine, acts, refused := clock.NewFake(), 0, 0
	simulated := simdisk.New(simdisk.Options{Pause: func(string, int) error {
		if acts++; acts == refused {
			return errors.New("refused")
		}
		return nil
	}})
	open := func(first bool) *Voter {
		acts, refused = 0, refused+1
		top := scope.New(scope.Options{Clock: machine, Settings: &settings.Settings{}})
		opened := make(chan *Voter)
		go func() {
			own, err := Open(top, Options{Address: "a", Disk: simulated.Mount(), FirstStart: first, Seeds: []ids.Address{"a"}, Timeout: clock.Second})
			if err != nil {
				t.Error(err)
			}
			opened <- own
		}()
		for {
			select {
			case own := <-opened:
				return own
			default:
				machine.AdvanceToNext()
				runtime.Gosched()
			}
		}
	}
	own := open(true)
	if !own.Voting() || own.Acceptor.Incarnation() != 0 {
		t.Fatalf("a seed does not vote: %+v", own.Acceptor.Voters())
	}
	fence := register.FencingToken{Generation: 1, Fingerprint: own.Acceptor.Voters().Fingerprint()}
	if told := own.Acceptor.Prepare(register.PrepareRequest{Fence: fence, Key: "k", Epoch: ids.Epoch{Number: 1, Owner: "a"}}); told.Verdict != register.Granted {
		t.Fatalf("%+v", told)
	}
	own.Close()
	if simulated.Spoil("registers") < 0 {
		t.Fatal("nothing was synced")
	}
	for _, first := range []bool{true, false} {
		simulated.Kill()
		own = open(first)
		if own.Voting() || !own.Acceptor.Identified() || own.Acceptor.Incarnation() == 0 || len(own.Acceptor.Snapshot()) != 1 {
			t.Fatalf("first %v: %+v", first, own.Acceptor.Fetch(register.FetchRequest{}))
		}
		own.Close()
	}
}

// TestOpen_retriesRefusingDiskSoon has a disk refuse for a second: the seat is open
// a part of the time to catch up later, however long an order may take.
func TestOpen_retriesRefusingDiskSoon(t *testing.T) {
	machine := clock.NewFake()
	well := machine.Now().Add(clock.Second)
	simulated := simdisk.New(simdisk.Options{Pause: func(string, int) error {
		if machine.Now() < well {
			return errors.New("refused")
		}
		return nil
	}})
	opened := make(chan error)
	go func() {
		top := scope.New(scope.Options{Clock: machine, Settings: &settings.Settings{}})
		own, err := Open(top, Options{Address: "a", Disk: simulated.Mount(), FirstStart: true, Seeds: []ids.Address{"a"}, Timeout: 10 * clock.Second, Timing: testTiming})
		if err == nil {
			own.Close()
		}
		opened <- err
	}()
	for {
		select {
		case err := <-opened:
			if late := machine.Now().Since(well); err != nil || late < 0 || late > testTiming.SuspectAfter {
				t.Fatalf("open %v after the disk was well: %v", late, err)
			}
			return
		default:
			machine.AdvanceToNext()
			runtime.Gosched()
		}
	}
}
