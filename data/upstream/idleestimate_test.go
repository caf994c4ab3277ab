package upstream

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestClient_learnsIdleLimit has runners of a service forget idle
// connections: after one lapse the others of that age are not used any more,
// and what may run only once never goes on an age that was not seen to work.
func TestClient_learnsIdleLimit(t *testing.T) {
	machine := clock.NewFake()
	machine.Advance(clock.Second)
	sender := newTestClient(machine)
	forgetful := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""), upstreamtest.HangUp())
	trip := attemptTo(forgetful.Address, "POST", "x")
	trip.Service = "s"
	DrainAndClose(send(sender, trip).Response)
	machine.Advance(4 * clock.Second)
	once := nextAttempt(trip, "a2")
	once.AtMostOnce = true
	if result := send(sender, once); result.Outcome != Unsent || !result.StaleConn {
		t.Fatalf("what may run only once went on an untried age: %+v", result)
	}
	DrainAndClose(send(sender, nextAttempt(trip, "a3")).Response)
	other := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	trip.Address = other.Address
	DrainAndClose(send(sender, trip).Response)
	machine.Advance(400 * clock.Millisecond)
	if result := send(sender, nextAttempt(trip, "a4")); result.Outcome != Answered || other.ConnCount() != 1 {
		t.Fatalf("a young connection is not used: %+v", result)
	} else {
		DrainAndClose(result.Response)
	}
}

func TestIdleEstimate_followsObservations(t *testing.T) {
	learnt := &idleEstimate{}
	if learnt.allows(2*clock.Second, true) || !learnt.allows(2*clock.Second, false) {
		t.Fatal("an age that nobody tried is for repeatable requests only")
	}
	learnt.recordSuccess(2 * clock.Second)
	if !learnt.allows(2*clock.Second, true) {
		t.Fatal("an age that worked is not trusted")
	}
	learnt.recordFailure(1500 * clock.Millisecond)
	if learnt.allows(clock.Second, false) || learnt.allows(clock.Second, true) || !learnt.allows(800*clock.Millisecond, true) {
		t.Fatal("a lapse does not bound the age")
	}
	for range 100 {
		learnt.recordSuccess(800 * clock.Millisecond)
	}
	if !learnt.allows(clock.Second, false) {
		t.Fatal("trust never comes back")
	}
	learnt.recordFailure(minTrustedIdle / 2)
	if !learnt.allows(minTrustedIdle, true) {
		t.Fatal("a runner's crash counts as a lapse")
	}
}
