package discovery

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

func newMember(address ids.Address, servesControl bool) membership.Member {
	return membership.Member{Address: address, Zone: "a", Region: "r", ServesControl: servesControl, Incarnation: 1}
}

// newFallback returns the fallback of a daemon that knows the other members of its
// zone, in a fleet of 50 routers, with a platform limit of 100 calls per second.
func newFallback(fake *clock.Fake, self membership.Member, others ...membership.Member) *Fallback {
	table := membership.NewTable(fake, self)
	table.Merge(others)
	return &Fallback{
		Membership: table, View: NewView(ViewOptions{Clock: fake, MaxAge: maxAge}), Clock: fake,
		Interval: time.Second, RatePerS: 100, RouterCount: func() int { return 50 },
	}
}

func TestFallback_relaysPollFirst(t *testing.T) {
	fake := clock.NewFake()
	controller, first, second := newMember("1:1", true), newMember("2:1", false), newMember("3:1", false)
	if delay := newFallback(fake, controller, first, second).pollDelay(); delay != 0 {
		t.Errorf("first relay: delay %v, want 0", delay)
	}
	relays := newFallback(fake, first, controller, second).Membership.Relays("a", pollingRelays)
	for _, self := range []membership.Member{first, second} {
		delay := newFallback(fake, self, controller, first, second).pollDelay()
		isRelay := self.Address == relays[1].Address
		if (isRelay && delay != time.Second) || (!isRelay && (delay < 2*time.Second || delay > 3*time.Second)) {
			t.Errorf("%s: delay %v, want 1s for the second relay, 2s to 3s for others", self.Address, delay)
		}
	}
	if delay := newFallback(fake, first).pollDelay(); delay < 2*time.Second {
		t.Errorf("isolated router: delay %v, want at least 2s", delay)
	}
	fallback := newFallback(fake, first)
	fallback.Restarted = true
	if delay := fallback.pollDelay(); delay < time.Second/restartDelayDivisor || delay > time.Second/restartDelayDivisor+time.Second {
		t.Errorf("restarted router: delay %v, want 125ms to 1.125s", delay)
	}
}

func TestFallback_dueSoonAfterRestart(t *testing.T) {
	fake := clock.NewFake()
	fallback := newFallback(fake, newMember("1:1", true))
	fallback.Restarted = true
	if fallback.due(fake.Now()) {
		t.Error("due immediately after the restart")
	}
	fake.Advance(time.Second / restartDivisor)
	if !fallback.due(fake.Now()) {
		t.Error("not due Interval / restartDivisor after a restart without a list")
	}
	fallback.Restarted = false
	if fallback.due(fake.Now()) {
		t.Error("due at a first start before MaxAge, instead of waiting for the lease's holder")
	}
}
