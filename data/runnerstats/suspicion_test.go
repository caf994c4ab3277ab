package runnerstats

import (
	"testing"
	"time"

	"onyxwell/base/clock"
)

// failRequest has a request to the runner i fail at once.
func failRequest(collector *Collector, clk *clock.Fake) {
	collector.RequestSent("i", SentRequest{Service: "s", Number: 9}, clk.Now())
	collector.RequestEnded("i", EndedRequest{Number: 9, RunnerFailed: true}, clk.Now())
}

// TestCollector_relapsesBackOff has a runner's probes succeed after each failure:
// every relapse delays the next probe for longer.
func TestCollector_relapsesBackOff(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	clk.Advance(time.Second)
	last := time.Duration(-1)
	for relapse := range 4 {
		failRequest(collector, clk)
		delay := time.Duration(0)
		for len(collector.DueProbes(clk.Now(), time.Second)) == 0 {
			clk.Advance(10 * time.Millisecond)
			delay += 10 * time.Millisecond
		}
		if delay <= last {
			t.Fatalf("relapse %d delays the probe by %v after %v", relapse, delay, last)
		}
		last = delay
		collector.ClearSuspicion("i", clk.Now())
	}
	clk.Advance(2 * relapseWindow)
	failRequest(collector, clk)
	if len(collector.DueProbes(clk.Now(), time.Second)) != 1 {
		t.Fatal("relapses of long ago still count")
	}
}

// TestCollector_unhealthyRunnerIsTriedEventually has a suspect reply to probes that
// it is unhealthy: it is tried nevertheless in the end, since that may be wrong.
func TestCollector_unhealthyRunnerIsTriedEventually(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	failRequest(collector, clk)
	for range unhealthyReplyLimit - 1 {
		if collector.RecordUnhealthy("i") {
			t.Fatal("tried before the limit of replies")
		}
	}
	if !collector.RecordUnhealthy("i") {
		t.Fatal("never tried")
	}
}

// TestCollector_overdueRequestsCountOnce has requests that get no response: they
// count as failed once, long before they end.
func TestCollector_overdueRequestsCountOnce(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	collector.RequestSent("i", SentRequest{Service: "s", Number: 1, LatencyTarget: 300 * time.Millisecond}, clk.Now())
	collector.RequestSent("i", SentRequest{Service: "s", Number: 2}, clk.Now())
	clk.Advance(time.Second)
	if sample := collector.TakeReport(clk.Now(), time.Second).Samples[0]; sample.Failed != 1 {
		t.Fatalf("%+v", sample)
	}
	collector.RequestEnded("i", EndedRequest{Number: 1, RunnerFailed: true}, clk.Now())
	if sample := collector.TakeReport(clk.Now(), time.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("counted twice: %+v", sample)
	}
}
