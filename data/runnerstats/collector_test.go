package runnerstats

import (
	"testing"
	"time"

	"onyxwell/base/clock"
)

func TestCollector_report(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	collector.AddDemand("s", "north,")
	collector.RequestSent("i", SentRequest{Service: "s", Number: 1, Tokens: 100}, clk.Now())
	collector.RequestSent("i", SentRequest{Service: "s", Number: 2, Tokens: 50}, clk.Now())
	collector.SampleInFlight()
	collector.ObserveLoad("i", "3,1,8", clk.Now())
	collector.ObserveLoad("i", "nonsense", clk.Now())
	collector.ResponseBegan("i", 1, 100, clk.Now())
	collector.ObserveFirstEvent("s", "long", 100, 40*time.Millisecond)
	collector.ObserveFirstEvent("s", "long", 50, 20*time.Millisecond)
	collector.SampleInFlight()
	collector.RequestEnded("i", EndedRequest{Number: 1, Began: true, Completed: true, Duration: 200 * time.Millisecond}, clk.Now())
	collector.RequestEnded("i", EndedRequest{Number: 2, Tokens: 50, RunnerFailed: true}, clk.Now())
	state := collector.State("i")
	if state.InFlight != 0 || state.UnansweredTokens != 0 || state.Load.Running != 3 || state.Load.Waiting != 1 || !state.Suspect {
		t.Fatalf("unexpected state %+v", state)
	}
	report := collector.TakeReport(clk.Now(), time.Second)
	samples, demands := report.Samples, report.Demands
	if len(samples) != 1 || len(demands) != 1 || demands[0].HomeRegions != "north," || demands[0].Arrived != 1 {
		t.Fatalf("unexpected samples %+v or demands %+v", samples, demands)
	}
	if reading := report.Readings[0]; reading.Count != 2 || reading.Units != 150 || reading.UnitsSquared != 12500 || reading.FirstTokenMS != 60 || reading.UnitsFirstTokenMS != 5000 {
		t.Fatalf("unexpected reading %+v", reading)
	}
	sample := samples[0]
	if sample.Arrived != 2 || sample.Finished != 1 || sample.Failed != 1 || sample.ExecutionMS != 200 || sample.Running != 2 || sample.Pending != 1.5 || sample.Utilization != 3.0/8 || sample.Units != 150 {
		t.Fatalf("unexpected sample %+v", sample)
	}
	if again := collector.TakeReport(clk.Now(), time.Second); len(again.Samples)+len(again.Demands)+len(again.Readings) != 0 {
		t.Fatalf("a report was not reset: %+v", again)
	}
}

func TestCollector_silenceOfOldestPending(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	collector.RequestSent("i", SentRequest{Service: "s", Number: 1, Tokens: 0}, clk.Now())
	clk.Advance(time.Second)
	collector.RequestSent("i", SentRequest{Service: "s", Number: 2, Tokens: 0}, clk.Now())
	clk.Advance(time.Second)
	if silence := collector.SilentFor("i", clk.Now()); silence != 2*time.Second {
		t.Fatalf("silent for %v, want 2s", silence)
	}
	collector.ResponseBegan("i", 2, 0, clk.Now())
	clk.Advance(time.Second)
	if silence := collector.SilentFor("i", clk.Now()); silence != time.Second {
		t.Fatalf("silent for %v, want 1s since the response to another request", silence)
	}
	collector.RequestEnded("i", EndedRequest{Number: 1, Completed: true}, clk.Now())
	if silence := collector.SilentFor("i", clk.Now()); silence != 0 {
		t.Fatalf("silent for %v with no pending request, want 0", silence)
	}
}

func TestCollector_suspicionEndsWithProbeOrResponse(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	failRequest(collector, clk)
	if due := collector.DueProbes(clk.Now(), time.Second); len(due) != 1 || due[0] != "i" {
		t.Fatalf("the first probe is not due immediately: %v", due)
	}
	failRequest(collector, clk)
	if due := collector.DueProbes(clk.Now(), time.Second); len(due) != 0 {
		t.Fatalf("another failure makes a probe due early: %v", due)
	}
	clk.Advance(time.Second)
	if due := collector.DueProbes(clk.Now(), time.Second); len(due) != 1 {
		t.Fatalf("the second probe is not due after the first interval: %v", due)
	}
	clk.Advance(time.Second)
	if due := collector.DueProbes(clk.Now(), time.Second); len(due) != 0 {
		t.Fatalf("the interval between probes does not double: %v", due)
	}
	collector.ClearSuspicion("i", clk.Now())
	if collector.State("i").Suspect {
		t.Fatal("still suspected after ClearSuspicion")
	}
	failRequest(collector, clk)
	collector.RequestSent("i", SentRequest{Service: "s", Number: 10, Tokens: 0}, clk.Now())
	collector.ResponseBegan("i", 10, 0, clk.Now())
	if collector.State("i").Suspect {
		t.Fatal("still suspected after a response")
	}
}
