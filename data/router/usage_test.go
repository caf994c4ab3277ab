package router

import (
	"testing"
	"time"

	"onyxwell/control/timesync"
)

// TestUsageReporter_incarnationsIncrease numbers the lives of a router by the agreed time:
// a later one is above an earlier one, and all are above 0, which stands for none.
func TestUsageReporter_incarnationsIncrease(t *testing.T) {
	_, fakeClock := newRouter(t)
	agreed := timesync.New(timesync.Options{Clock: fakeClock, Wall: func() time.Time { return time.Unix(1_790_000_000, int64(fakeClock.Now())) }})
	first := newIncarnation(agreed)
	fakeClock.Advance(time.Millisecond)
	if second := newIncarnation(agreed); first <= 0 || second <= first {
		t.Errorf("lives %d and %d", first, second)
	}
}
