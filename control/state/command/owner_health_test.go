package command

import (
	"testing"
	"time"

	"onyxwell/base/clock"
)

// TestOwnerHealth_suspectsPersistentlyBusyOwner guards against an owner that answers
// other messages, but no commands, and is never suspected.
func TestOwnerHealth_suspectsPersistentlyBusyOwner(t *testing.T) {
	const suspicionPeriod = 4 * time.Second
	health := newOwnerHealth(suspicionPeriod)
	now := clock.Instant(0)
	recordAndCheck := func(answeredOther bool, want bool) {
		t.Helper()
		if busy := health.recordUnanswered("a", answeredOther, now); busy != want || health.suspected("a", now) == want {
			t.Fatalf("busy %v, suspected %v", busy, health.suspected("a", now))
		}
	}
	for range maxUnanswered {
		recordAndCheck(true, true)
	}
	health.recordAnswer("a")
	for range maxUnanswered {
		recordAndCheck(true, true)
	}
	recordAndCheck(true, false)
	if health.suspected("b", now) {
		t.Error("another owner is suspected")
	}
	now = now.Add(suspicionPeriod)
	if health.suspected("a", now) {
		t.Error("still suspected after suspicionPeriod")
	}
	recordAndCheck(true, true)
	recordAndCheck(false, false)
}
