package sizing

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/duty"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
	"onyxwell/control/transport/transporttest"
)

func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Orders](t, "orders")
}

const testConfig = `{"services":[{"name":"s","scaling":{"min":2,"max":8,"startup_s":8}},{"name":"plain"}]}`

// fixture is an Orderer that holds the part of one zone, with a simulated store and platform.
type fixture struct {
	*Orderer
	clock         *clock.Fake
	stored        []byte
	fence         int64
	wanted        int64
	status        int
	err           error
	sentBodies    []string
	storedAtCalls [][]byte
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	cfg, err := config.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{clock: clock.NewFake(), fence: 1, wanted: 5, status: 200}
	f.Orderer = New(Options{
		Clock: f.clock, Zones: []ids.Zone{"a", "b"}, Config: func() *config.Config { return cfg }, RetryPause: time.Second,
		Planned: func() autoscaler.Sizes {
			return autoscaler.Sizes{Sizes: []autoscaler.Size{{Service: "s", Zone: "a", Wanted: f.wanted}, {Service: "plain", Zone: "a", Wanted: 9}}}
		},
		Held: func(part duty.Part) (int64, bool) { return f.fence, part == duty.SizePart("a") && f.fence > 0 },
		Update: func(_ context.Context, _ string, update duty.UpdateFunc) ([]byte, error) {
			next, err := update(f.stored)
			if err == nil {
				f.stored = next
			}
			return f.stored, err
		},
		Call: func(_ context.Context, _ duty.Part, _ int64, call duty.Call) (int, error) {
			f.sentBodies, f.storedAtCalls = append(f.sentBodies, string(call.Body)), append(f.storedAtCalls, slices.Clone(f.stored))
			return f.status, f.err
		},
	})
	return f
}

func (f *fixture) stepAndExpect(t *testing.T, moment string, bodies ...string) {
	t.Helper()
	f.Step(context.Background())
	if !slices.Equal(f.sentBodies, bodies) {
		t.Errorf("%s: sent documents %q, not the expected ones", moment, f.sentBodies)
	}
	f.sentBodies = nil
}

// TestOrderer_ordersOnceWithinBounds checks that each changed size is ordered once, within the
// bounds of the configuration, and only after it was stored.
func TestOrderer_ordersOnceWithinBounds(t *testing.T) {
	f := newFixture(t)
	f.stepAndExpect(t, "first", `{"service":"s","zone":"a","wanted":5}`)
	if orders, err := transport.UnmarshalStored[Orders]("", f.storedAtCalls[0]); err != nil || !slices.Contains(orders.Orders, Order{Service: "s", Wanted: 5}) {
		t.Errorf("orders stored at the time of the call: %+v (error %v), want 5 runners of s", orders, err)
	}
	f.stepAndExpect(t, "unchanged")
	f.wanted = 20
	f.stepAndExpect(t, "above max", `{"service":"s","zone":"a","wanted":8}`)
	f.wanted = 0
	f.stepAndExpect(t, "below min", `{"service":"s","zone":"a","wanted":2}`)
}

// TestOrderer_unansweredOrderIsSentAgain has the platform not answer. After a pause the newest
// order must be sent, and none of those from within the pause.
func TestOrderer_unansweredOrderIsSentAgain(t *testing.T) {
	f := newFixture(t)
	f.err, f.status = errors.New("no answer"), 0
	f.stepAndExpect(t, "no answer", `{"service":"s","zone":"a","wanted":5}`)
	f.wanted = 6
	f.stepAndExpect(t, "within the pause")
	f.clock.Advance(time.Second)
	f.wanted = 7
	f.err, f.status = nil, 200
	f.stepAndExpect(t, "afterwards", `{"service":"s","zone":"a","wanted":7}`)
}

// TestOrderer_newHolderSendsStoredOrder changes the holder of the part while the planner has no
// decision. The newest stored order must be sent once under the new fence.
func TestOrderer_newHolderSendsStoredOrder(t *testing.T) {
	f := newFixture(t)
	f.stepAndExpect(t, "first", `{"service":"s","zone":"a","wanted":5}`)
	next := newFixture(t)
	next.stored, next.fence = f.stored, 2
	next.options.Planned = func() autoscaler.Sizes { return autoscaler.Sizes{} }
	next.stepAndExpect(t, "new holder", `{"service":"s","zone":"a","wanted":5}`)
	next.stepAndExpect(t, "again")
	next.fence = 0
	next.stepAndExpect(t, "not held")
}

// TestOrderer_frozenService checks that nothing is ordered for a frozen service, not even the
// stored order, and that ordering resumes once the service is no longer frozen.
func TestOrderer_frozenService(t *testing.T) {
	f := newFixture(t)
	frozen := true
	f.options.Frozen = func(service ids.Service) bool { return service == "s" && frozen }
	f.stored, _ = transport.Marshal(Orders{Orders: []Order{{Service: "s", Wanted: 3}}})
	f.Step(context.Background())
	if len(f.sentBodies) > 0 {
		t.Fatalf("ordered while frozen: %q", f.sentBodies)
	}
	frozen = false
	f.Step(context.Background())
	if len(f.sentBodies) != 1 {
		t.Errorf("sent after the freeze: %q, want one order", f.sentBodies)
	}
}
