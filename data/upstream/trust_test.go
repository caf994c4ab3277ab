package upstream

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/data/upstreamtest"
)

// TestForgottenConnectionsAreLearnt has runners of a service forget idle
// connections: after one lapse the others of that age are not used any more,
// and what may run only once never goes on an age that was not seen to work.
func TestForgottenConnectionsAreLearnt(t *testing.T) {
	machine := clock.NewFake()
	machine.Advance(clock.Second)
	sender := newSender(machine)
	forgetful := upstreamtest.Start(t, upstreamtest.Plain(200, "seal", ""), upstreamtest.Hangup())
	trip := tripTo(forgetful.Address, "POST", "x")
	trip.Service = "s"
	Discard(send(sender, trip).Response)
	machine.Advance(4 * clock.Second)
	once := next(trip, "a2")
	once.Once = true
	if result := send(sender, once); result.Fate != Unsent || !result.Stale {
		t.Fatalf("what may run only once went on an untried age: %+v", result)
	}
	Discard(send(sender, next(trip, "a3")).Response)
	other := upstreamtest.Start(t, upstreamtest.Plain(200, "seal", ""))
	trip.Address = other.Address
	Discard(send(sender, trip).Response)
	machine.Advance(400 * clock.Millisecond)
	if result := send(sender, next(trip, "a4")); result.Fate != Answered || other.Links() != 1 {
		t.Fatalf("a young connection is not used: %+v", result)
	} else {
		Discard(result.Response)
	}
}

func TestTrustFollowsWhatWorked(t *testing.T) {
	learnt := &trust{}
	if learnt.allows(2*clock.Second, true) || !learnt.allows(2*clock.Second, false) {
		t.Fatal("an age that nobody tried is for repeatable requests only")
	}
	learnt.work(2 * clock.Second)
	if !learnt.allows(2*clock.Second, true) {
		t.Fatal("an age that worked is not trusted")
	}
	learnt.lapse(1500 * clock.Millisecond)
	if learnt.allows(clock.Second, false) || learnt.allows(clock.Second, true) || !learnt.allows(800*clock.Millisecond, true) {
		t.Fatal("a lapse does not bound the age")
	}
	for range 100 {
		learnt.work(800 * clock.Millisecond)
	}
	if !learnt.allows(clock.Second, false) {
		t.Fatal("trust never comes back")
	}
	learnt.lapse(fewestTrusted / 2)
	if !learnt.allows(fewestTrusted, true) {
		t.Fatal("a runner's crash counts as a lapse")
	}
}
