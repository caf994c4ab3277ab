package upstream

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestClient_idleTimeLimitsReuse checks that a request that must not be executed twice
// is not sent over a connection after an idle time that has not been seen to work, and
// that a connection is reused after a short idle time even though a runner of the
// service has dropped a connection.
func TestClient_idleTimeLimitsReuse(t *testing.T) {
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
		t.Fatalf("an at-most-once request was sent after an unproven idle time: %+v", result)
	}
	DrainAndClose(send(client, nextAttempt(attempt, "a3")).Response)
	other := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	attempt.Address = other.Address
	DrainAndClose(send(client, attempt).Response)
	clk.Advance(400 * time.Millisecond)
	if result := send(client, nextAttempt(attempt, "a4")); result.Outcome != Answered || other.ConnCount() != 1 {
		t.Fatalf("a connection that was idle for a short time is not reused: %+v", result)
	} else {
		DrainAndClose(result.Response)
	}
}

func TestIdleEstimate_adaptsToResults(t *testing.T) {
	estimate := &idleEstimate{}
	if estimate.allows(2*time.Second, true) || !estimate.allows(2*time.Second, false) {
		t.Fatal("an unproven idle time is allowed for at-most-once requests, or is not allowed for others")
	}
	estimate.recordSuccess(2 * time.Second)
	if !estimate.allows(2*time.Second, true) {
		t.Fatal("a proven idle time is not allowed for an at-most-once request")
	}
	estimate.recordFailure(1500 * time.Millisecond)
	if estimate.allows(time.Second, false) || estimate.allows(time.Second, true) || !estimate.allows(800*time.Millisecond, true) {
		t.Fatal("a failure does not limit the idle time to failureFactor of the failed one")
	}
	for range 100 {
		estimate.recordSuccess(800 * time.Millisecond)
	}
	if !estimate.allows(time.Second, false) {
		t.Fatal("the limit does not recover after successes")
	}
	estimate.recordFailure(minTrustedIdle / 2)
	if !estimate.allows(minTrustedIdle, true) {
		t.Fatal("a failure within minTrustedIdle lowers the limit")
	}
}
