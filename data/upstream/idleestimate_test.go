package upstream

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestClient_learnsIdleLimit has runners of a service drop idle connections: after
// one failure others as old are not reused, and a request that must not be
// executed twice never uses an idle time that was not seen to work.
func TestClient_learnsIdleLimit(t *testing.T) {
	clk := clock.NewFake()
	clk.Advance(time.Second)
	client := newTestClient(clk)
	dropping := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""), upstreamtest.HangUp())
	attempt := newAttempt(dropping.Address, "POST", "x")
	attempt.Service = "s"
	DrainAndClose(send(client, attempt).Response)
	clk.Advance(4 * time.Second)
	atMostOnce := nextAttempt(attempt, "a2")
	atMostOnce.AtMostOnce = true
	if result := send(client, atMostOnce); result.Outcome != Unsent || !result.StaleConn {
		t.Fatalf("an at-most-once request used an unproven idle time: %+v", result)
	}
	DrainAndClose(send(client, nextAttempt(attempt, "a3")).Response)
	other := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	attempt.Address = other.Address
	DrainAndClose(send(client, attempt).Response)
	clk.Advance(400 * time.Millisecond)
	if result := send(client, nextAttempt(attempt, "a4")); result.Outcome != Answered || other.ConnCount() != 1 {
		t.Fatalf("a young connection is not reused: %+v", result)
	} else {
		DrainAndClose(result.Response)
	}
}

func TestIdleEstimate_adaptsToResults(t *testing.T) {
	estimate := &idleEstimate{}
	if estimate.allows(2*time.Second, true) || !estimate.allows(2*time.Second, false) {
		t.Fatal("an unproven idle time is for idempotent requests only")
	}
	estimate.recordSuccess(2 * time.Second)
	if !estimate.allows(2*time.Second, true) {
		t.Fatal("a proven idle time is not trusted")
	}
	estimate.recordFailure(1500 * time.Millisecond)
	if estimate.allows(time.Second, false) || estimate.allows(time.Second, true) || !estimate.allows(800*time.Millisecond, true) {
		t.Fatal("a failure does not bound the idle time")
	}
	for range 100 {
		estimate.recordSuccess(800 * time.Millisecond)
	}
	if !estimate.allows(time.Second, false) {
		t.Fatal("the limit never recovers")
	}
	estimate.recordFailure(minTrustedIdle / 2)
	if !estimate.allows(minTrustedIdle, true) {
		t.Fatal("a failure within the trusted idle time counts")
	}
}
