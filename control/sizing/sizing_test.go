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

const document1 = `{"services":[{"name":"s","scaling":{"min":2,"max":8,"startup_s":8}},{"name":"plain"}]}`

// fixture is an orderer of one zone over a store and a platform.
type fixture struct {
	*Orderer
	clock   *clock.Fake
	stored  []byte
	fence   int64
	wanted  int64
	status  int
	err     error
	bodies  []string
	atCalls [][]byte
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	cfg, err := config.Parse([]byte(document1))
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
			f.bodies, f.atCalls = append(f.bodies, string(call.Body)), append(f.atCalls, slices.Clone(f.stored))
			return f.status, f.err
		},
	})
	return f
}

func (f *fixture) expect(t *testing.T, moment string, bodies ...string) {
	t.Helper()
	f.Step(context.Background())
	if !slices.Equal(f.bodies, bodies) {
		t.Errorf("%s: sent %q", moment, f.bodies)
	}
	f.bodies = nil
}

// TestOrderer_ordersOnceWithinBounds orders what changes, within the bounds, once, and
// what is stored before.
func TestOrderer_ordersOnceWithinBounds(t *testing.T) {
	f := newFixture(t)
	f.expect(t, "first", `{"service":"s","zone":"a","wanted":5}`)
	if orders, err := transport.UnmarshalStored[Orders]("", f.atCalls[0]); err != nil || !slices.Contains(orders.Orders, Order{Service: "s", Wanted: 5}) {
		t.Errorf("at the call %+v, %v was stored", orders, err)
	}
	f.expect(t, "unchanged")
	f.wanted = 20
	f.expect(t, "above max", `{"service":"s","zone":"a","wanted":8}`)
	f.wanted = 0
	f.expect(t, "below min", `{"service":"s","zone":"a","wanted":2}`)
}

// TestOrderer_unansweredOrderIsSentAgain has the platform not answer: the newest order is
// sent again after a pause, and none of those in between.
func TestOrderer_unansweredOrderIsSentAgain(t *testing.T) {
	f := newFixture(t)
	f.err, f.status = errors.New("silent"), 0
	f.expect(t, "silent", `{"service":"s","zone":"a","wanted":5}`)
	f.wanted = 6
	f.expect(t, "within the pause")
	f.clock.Advance(time.Second)
	f.wanted = 7
	f.err, f.status = nil, 200
	f.expect(t, "afterwards", `{"service":"s","zone":"a","wanted":7}`)
}

// TestOrderer_newHolderSendsStoredOrder has the part change hands while the planner says
// nothing: the newest stored order is sent once under the new fence.
func TestOrderer_newHolderSendsStoredOrder(t *testing.T) {
	f := newFixture(t)
	f.expect(t, "first", `{"service":"s","zone":"a","wanted":5}`)
	next := newFixture(t)
	next.stored, next.fence = f.stored, 2
	next.options.Planned = func() autoscaler.Sizes { return autoscaler.Sizes{} }
	next.expect(t, "new holder", `{"service":"s","zone":"a","wanted":5}`)
	next.expect(t, "again")
	next.fence = 0
	next.expect(t, "not held")
}

// TestOrderer_frozenService orders nothing of a service whose size must stay, also not what
// was stored before, and goes on once it may change.
func TestOrderer_frozenService(t *testing.T) {
	f := newFixture(t)
	frozen := true
	f.options.Frozen = func(service ids.Service) bool { return service == "s" && frozen }
	f.stored, _ = transport.Marshal(Orders{Orders: []Order{{Service: "s", Wanted: 3}}})
	f.Step(context.Background())
	if len(f.bodies) > 0 {
		t.Fatalf("ordered while frozen: %q", f.bodies)
	}
	frozen = false
	f.Step(context.Background())
	if len(f.bodies) != 1 {
		t.Errorf("ordered then: %q", f.bodies)
	}
}
