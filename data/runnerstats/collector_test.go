package runnerstats

import (
	"testing"

	"onyxwell/base/clock"
)

func TestCollector_report(t *testing.T) {
	machine, board := clock.NewFake(), New()
	board.AddDemand("s", "north,")
	board.RequestSent("i", SentRequest{Service: "s", Number: 1, Tokens: 100}, machine.Now())
	board.RequestSent("i", SentRequest{Service: "s", Number: 2, Tokens: 50}, machine.Now())
	board.SampleInFlight()
	board.ObserveLoad("i", "3,1,8", machine.Now())
	board.ObserveLoad("i", "nonsense", machine.Now())
	board.ResponseBegan("i", 1, 100, machine.Now())
	board.ObserveFirstEvent("s", "long", 100, 40*clock.Millisecond)
	board.ObserveFirstEvent("s", "long", 50, 20*clock.Millisecond)
	board.SampleInFlight()
	board.RequestEnded("i", EndedRequest{Number: 1, Began: true, Completed: true, Duration: 200 * clock.Millisecond}, machine.Now())
	board.RequestEnded("i", EndedRequest{Number: 2, Tokens: 50, RunnerFailed: true}, machine.Now())
	ledger := board.State("i")
	if ledger.InFlight != 0 || ledger.UnansweredTokens != 0 || ledger.Load.Running != 3 || ledger.Load.Waiting != 1 || !ledger.Suspect {
		t.Fatalf("%+v", ledger)
	}
	report := board.TakeReport(machine.Now(), clock.Second)
	samples, demands := report.Samples, report.Demands
	if len(samples) != 1 || len(demands) != 1 || demands[0].HomeRegions != "north," || demands[0].Arrived != 1 {
		t.Fatalf("%+v %+v", samples, demands)
	}
	if read := report.Readings[0]; read.Count != 2 || read.Units != 150 || read.UnitsSquared != 12500 || read.FirstTokenMS != 60 || read.UnitsFirstTokenMS != 5000 {
		t.Fatalf("%+v", read)
	}
	sample := samples[0]
	if sample.Arrived != 2 || sample.Finished != 1 || sample.Failed != 1 || sample.ExecutionMS != 200 || sample.Running != 2 || sample.Pending != 1.5 || sample.Utilization != 3.0/8 || sample.Units != 150 {
		t.Fatalf("%+v", sample)
	}
	if again := board.TakeReport(machine.Now(), clock.Second); len(again.Samples)+len(again.Demands)+len(again.Readings) != 0 {
		t.Fatalf("counted twice: %+v", again)
	}
}

func TestCollector_silenceOfOldestPending(t *testing.T) {
	machine, board := clock.NewFake(), New()
	board.RequestSent("i", SentRequest{Service: "s", Number: 1, Tokens: 0}, machine.Now())
	machine.Advance(clock.Second)
	board.RequestSent("i", SentRequest{Service: "s", Number: 2, Tokens: 0}, machine.Now())
	machine.Advance(clock.Second)
	if silence := board.SilentFor("i", machine.Now()); silence != 2*clock.Second {
		t.Fatalf("%v", silence)
	}
	board.ResponseBegan("i", 2, 0, machine.Now())
	machine.Advance(clock.Second)
	if silence := board.SilentFor("i", machine.Now()); silence != clock.Second {
		t.Fatalf("a sign of life does not count: %v", silence)
	}
	board.RequestEnded("i", EndedRequest{Number: 1, Completed: true}, machine.Now())
	if silence := board.SilentFor("i", machine.Now()); silence != 0 {
		t.Fatalf("%v with nothing waiting", silence)
	}
}

func TestCollector_suspicionEndsWithProbeOrResponse(t *testing.T) {
	machine, board := clock.NewFake(), New()
	fail := func() {
		board.RequestSent("i", SentRequest{Service: "s", Number: 9, Tokens: 0}, machine.Now())
		board.RequestEnded("i", EndedRequest{Number: 9, RunnerFailed: true}, machine.Now())
	}
	fail()
	if due := board.DueProbes(machine.Now(), clock.Second); len(due) != 1 || due[0] != "i" {
		t.Fatalf("the first test is not due at once: %v", due)
	}
	fail()
	if due := board.DueProbes(machine.Now(), clock.Second); len(due) != 0 {
		t.Fatalf("another failure hurries the tests: %v", due)
	}
	machine.Advance(clock.Second)
	if due := board.DueProbes(machine.Now(), clock.Second); len(due) != 1 {
		t.Fatalf("%v", due)
	}
	machine.Advance(clock.Second)
	if due := board.DueProbes(machine.Now(), clock.Second); len(due) != 0 {
		t.Fatalf("the pause does not grow: %v", due)
	}
	board.ClearSuspicion("i", machine.Now())
	if board.State("i").Suspect {
		t.Fatal("doubted though a test found it well")
	}
	fail()
	board.RequestSent("i", SentRequest{Service: "s", Number: 10, Tokens: 0}, machine.Now())
	board.ResponseBegan("i", 10, 0, machine.Now())
	if board.State("i").Suspect {
		t.Fatal("doubted after a sign of life")
	}
}
