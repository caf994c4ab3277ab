package runnerstats

import (
	"testing"

	"onyxwell/base/clock"
)

func fail(board *Board, machine *clock.Fake) {
	board.Sent("i", Sending{Service: "s", Number: 9}, machine.Now())
	board.Ended("i", Ending{Number: 9, Broken: true}, machine.Now())
}

// TestLyingRunnerRestsLonger has a runner say that it is well after each
// failure: every fall makes it rest longer before it is asked again.
func TestLyingRunnerRestsLonger(t *testing.T) {
	machine, board := clock.NewFake(), NewBoard()
	machine.Advance(clock.Second)
	last := clock.Span(-1)
	for fall := range 4 {
		fail(board, machine)
		rest := clock.Span(0)
		for len(board.Due(machine.Now(), clock.Second)) == 0 {
			machine.Advance(10 * clock.Millisecond)
			rest += 10 * clock.Millisecond
		}
		if rest <= last {
			t.Fatalf("fall %d rests for %v after %v", fall, rest, last)
		}
		last = rest
		board.Vouch("i", machine.Now())
	}
	machine.Advance(2 * relapse)
	fail(board, machine)
	if len(board.Due(machine.Now(), clock.Second)) != 1 {
		t.Fatal("falls of long ago still count")
	}
}

// TestRunnerThatCallsItselfIllIsTried has a doubted runner say that it is ill
// over and over: it is tried all the same, since that may be false.
func TestRunnerThatCallsItselfIllIsTried(t *testing.T) {
	machine, board := clock.NewFake(), NewBoard()
	fail(board, machine)
	for range illAnswers - 1 {
		if board.SaysIll("i") {
			t.Fatal("tried at the first word of it")
		}
	}
	if !board.SaysIll("i") {
		t.Fatal("never tried")
	}
}

// TestHangingRequestsCountAgainstTheirRunner waits for requests that never get
// a first sign: they count once, long before they end.
func TestHangingRequestsCountAgainstTheirRunner(t *testing.T) {
	machine, board := clock.NewFake(), NewBoard()
	board.Sent("i", Sending{Service: "s", Number: 1, Goal: 300 * clock.Millisecond}, machine.Now())
	board.Sent("i", Sending{Service: "s", Number: 2}, machine.Now())
	machine.Advance(clock.Second)
	if sample := board.Collect(machine.Now(), clock.Second).Samples[0]; sample.Failed != 1 {
		t.Fatalf("%+v", sample)
	}
	board.Ended("i", Ending{Number: 1, Broken: true}, machine.Now())
	if sample := board.Collect(machine.Now(), clock.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("counted twice: %+v", sample)
	}
}
