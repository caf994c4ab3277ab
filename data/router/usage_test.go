package router

import (
	"testing"
	"time"

	"onyxwell/control/timesync"
)

// TestUsageReporter_incarnationsIncrease checks that the numbers of a router's incarnations
// increase with the agreed time and are above 0, which stands for no incarnation.
func TestUsageReporter_incarnationsIncrease(t *testing.T) {
	_, fakeClock := newRouter(t)
	agreed := timesync.New(timesync.Options{Clock: fakeClock, Wall: func() time.Time { return time.Unix(1_790_000_000, int64(fakeClock.Now())) }})
	first := newIncarnation(agreed)
	fakeClock.Advance(time.Millisecond)
	if second := newIncarnation(agreed); first <= 0 || second <= first {
		t.Errorf("got incarnations %d and %d, want them positive and increasing", first, second)
	}
}
