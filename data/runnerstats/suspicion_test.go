package runnerstats

import (
	"testing"
	"time"

	"onyxwell/base/clock"
)

// failRequest records a request to the runner "i" that fails immediately.
func failRequest(collector *Collector, clk *clock.Fake) {
	collector.RequestSent("i", SentRequest{Service: "s", Number: 9}, clk.Now())
	collector.RequestEnded("i", EndedRequest{Number: 9, RunnerFailed: true}, clk.Now())
}

// TestCollector_relapsesBackOff checks that each relapse of a runner that fails again
// after a successful probe delays the next probe for longer.
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
			t.Fatalf("relapse %d delays the probe by %v, want more than the %v before", relapse, delay, last)
		}
		last = delay
		collector.ClearSuspicion("i", clk.Now())
	}
	clk.Advance(2 * relapseWindow)
	failRequest(collector, clk)
	if len(collector.DueProbes(clk.Now(), time.Second)) != 1 {
		t.Fatal("relapses older than relapseWindow still delay the probe")
	}
}

// TestCollector_unhealthyRunnerIsTriedEventually checks that a suspect whose probes
// report it as unhealthy gets requests again in the end, since health checks can be
// wrong.
func TestCollector_unhealthyRunnerIsTriedEventually(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	failRequest(collector, clk)
	for range unhealthyReplyLimit - 1 {
		if collector.RecordUnhealthy("i") {
			t.Fatal("suspicion cleared before the limit of unhealthy replies")
		}
	}
	if !collector.RecordUnhealthy("i") {
		t.Fatal("suspicion not cleared at the limit of unhealthy replies")
	}
}

// TestCollector_overdueRequestsCountOnce checks that a request without a response
// counts as failed before it ends, and is not counted again when it fails.
func TestCollector_overdueRequestsCountOnce(t *testing.T) {
	clk, collector := clock.NewFake(), New()
	collector.RequestSent("i", SentRequest{Service: "s", Number: 1, LatencyTarget: 300 * time.Millisecond}, clk.Now())
	collector.RequestSent("i", SentRequest{Service: "s", Number: 2}, clk.Now())
	clk.Advance(time.Second)
	if sample := collector.TakeReport(clk.Now(), time.Second).Samples[0]; sample.Failed != 1 {
		t.Fatalf("want 1 failed request: %+v", sample)
	}
	collector.RequestEnded("i", EndedRequest{Number: 1, RunnerFailed: true}, clk.Now())
	if sample := collector.TakeReport(clk.Now(), time.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("the overdue request counted twice: %+v", sample)
	}
}
