package runnerstats

import (
	"testing"

	"onyxwell/base/clock"
)

func failRequest(board *Collector, machine *clock.Fake) {
	board.RequestSent("i", SentRequest{Service: "s", Number: 9}, machine.Now())
	board.RequestEnded("i", EndedRequest{Number: 9, RunnerFailed: true}, machine.Now())
}

// TestCollector_relapsesBackOff has a runner say that it is well after each
// failure: every fall makes it rest longer before it is asked again.
func TestCollector_relapsesBackOff(t *testing.T) {
	machine, board := clock.NewFake(), New()
	machine.Advance(clock.Second)
	last := clock.Span(-1)
	for fall := range 4 {
		failRequest(board, machine)
		rest := clock.Span(0)
		for len(board.DueProbes(machine.Now(), clock.Second)) == 0 {
			machine.Advance(10 * clock.Millisecond)
			rest += 10 * clock.Millisecond
		}
		if rest <= last {
			t.Fatalf("fall %d rests for %v after %v", fall, rest, last)
		}
		last = rest
		board.ClearSuspicion("i", machine.Now())
	}
	machine.Advance(2 * relapseWindow)
	failRequest(board, machine)
	if len(board.DueProbes(machine.Now(), clock.Second)) != 1 {
		t.Fatal("falls of long ago still count")
	}
}

// TestCollector_unhealthyRunnerIsTriedEventually has a doubted runner say that it is ill
// over and over: it is tried all the same, since that may be false.
func TestCollector_unhealthyRunnerIsTriedEventually(t *testing.T) {
	machine, board := clock.NewFake(), New()
	failRequest(board, machine)
	for range unhealthyReplyLimit - 1 {
		if board.RecordUnhealthy("i") {
			t.Fatal("tried at the first word of it")
		}
	}
	if !board.RecordUnhealthy("i") {
		t.Fatal("never tried")
	}
}

// TestCollector_overdueRequestsCountOnce waits for requests that never get
// a first sign: they count once, long before they end.
func TestCollector_overdueRequestsCountOnce(t *testing.T) {
	machine, board := clock.NewFake(), New()
	board.RequestSent("i", SentRequest{Service: "s", Number: 1, Goal: 300 * clock.Millisecond}, machine.Now())
	board.RequestSent("i", SentRequest{Service: "s", Number: 2}, machine.Now())
	machine.Advance(clock.Second)
	if sample := board.TakeReport(machine.Now(), clock.Second).Samples[0]; sample.Failed != 1 {
		t.Fatalf("%+v", sample)
	}
	board.RequestEnded("i", EndedRequest{Number: 1, RunnerFailed: true}, machine.Now())
	if sample := board.TakeReport(machine.Now(), clock.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("counted twice: %+v", sample)
	}
}
