package command

import (
	"testing"
	"time"

	"onyxwell/base/clock"
)

func TestOwnerHealth_busyOwnerIsSuspectedInTheEnd(t *testing.T) {
	const suspicion = 4 * time.Second
	health := newOwnerHealth(suspicion)
	now := clock.Instant(0)
	requireBusy := func(answeredOther bool, want bool) {
		t.Helper()
		if busy := health.recordUnanswered("a", answeredOther, now); busy != want || health.suspected("a", now) == want {
			t.Fatalf("busy %v, suspected %v", busy, health.suspected("a", now))
		}
	}
	for range maxUnanswered {
		requireBusy(true, true)
	}
	health.recordAnswer("a")
	for range maxUnanswered {
		requireBusy(true, true)
	}
	requireBusy(true, false)
	if health.suspected("b", now) {
		t.Error("another owner is suspected")
	}
	now = now.Add(suspicion)
	if health.suspected("a", now) {
		t.Error("still suspected after the suspicion")
	}
	requireBusy(true, true)
	requireBusy(false, false)
}
