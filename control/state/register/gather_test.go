package register

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// TestGather_doesNotAwaitSuspected sends requests to three replicas, one of which
// does not answer in time. If it is suspected and the other responses suffice, the
// call must return with them; otherwise it must wait until that request times out.
func TestGather_doesNotAwaitSuspected(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspected bool
		wanted    int
		took      time.Duration
	}{
		{"suspected", true, 2, 70 * time.Millisecond},
		{"suspected, but needed", true, 3, time.Second},
		{"not suspected", false, 2, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
				j := &Joiner{Clock: ctx.Clock, Suspected: func(address ids.Address) bool { return test.suspected && address == "c" }}
				start, responses := ctx.Now(), 0
				gatherUntil(j, []ids.Address{"a", "b", "c"}, j.suspected, func() bool { return responses >= test.wanted }, func(address ids.Address) (int, bool) {
					ctx.Wait(map[ids.Address]time.Duration{"a": time.Millisecond, "b": 70 * time.Millisecond, "c": time.Second}[address])
					return 1, address != "c"
				}, func(_ ids.Address, resp int) { responses += resp })
				if took := ctx.Now().Since(start); took != test.took || responses != 2 {
					t.Fatalf("%d responses after %v, want 2 after %v", responses, took, test.took)
				}
				synctest.Wait()
				ctx.Wait(2 * time.Second)
			})
		})
	}
}
