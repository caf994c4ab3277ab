package rollout

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
)

// directorHarness is a director that holds the lease, with its registers and its list of
// runners.
type directorHarness struct {
	t         *testing.T
	clock     *clock.Fake
	director  *Director
	updates   *gossip.Store
	registers map[string][]byte
	runners   []Runner
	// losesStable makes each write of a stable version fail.
	losesStable bool
}

func newDirectorHarness(t *testing.T, versions ...string) *directorHarness {
	h := &directorHarness{t: t, clock: clock.NewFake(), registers: map[string][]byte{}, updates: gossip.NewStore(func(gossip.Item) {})}
	h.list(versions...)
	h.director = NewDirector(DirectorOptions{
		Clock: h.clock, Address: "director", Zones: map[ids.Zone]ids.Region{"zone": "region"}, Updates: h.updates,
		Policy:     Policy{ExposureShare: 0.1, ExposureSlack: 50, PermitTTL: time.Second, ExchangeInterval: 250 * time.Millisecond, LatchTime: 3 * time.Second, SilenceLimit: 4 * time.Second},
		Held:       func(clock.Instant) (int64, bool) { return 1, true },
		Runners:    func(ids.Service) []Runner { return h.runners },
		HasRouters: func(ids.Zone) bool { return true },
		Update: func(_ context.Context, key string, update func([]byte) ([]byte, error)) ([]byte, error) {
			if _, isStable := ServiceOfStableKey(key); isStable && h.losesStable {
				return nil, context.DeadlineExceeded
			}
			return h.update(key, update)
		},
	})
	return h
}

// list replaces the list of runners by one runner of each version.
func (h *directorHarness) list(versions ...string) {
	h.runners = nil
	for index, version := range versions {
		h.runners = append(h.runners, Runner{ID: ids.RunnerID(rune('a' + index)), Region: "region", Version: version, Slots: 1})
	}
}

func (h *directorHarness) update(key string, update func([]byte) ([]byte, error)) ([]byte, error) {
	next, err := update(h.registers[key])
	if err != nil || next == nil {
		return h.registers[key], err
	}
	h.registers[key] = next
	return next, nil
}

// apply applies an update to the rollout's record, gossips that, and lets the director take a
// step.
func (h *directorHarness) apply(update func([]byte) ([]byte, error)) {
	h.t.Helper()
	value, err := h.update(Key("s"), update)
	if err != nil {
		h.t.Fatal(err)
	}
	record, err := Decode("s", value)
	if err != nil {
		h.t.Fatal(err)
	}
	h.updates.Put(gossip.Item{Key: Key("s"), Version: record.Version, Body: value})
	h.director.Step(context.Background())
}

func (h *directorHarness) order(target string) {
	h.t.Helper()
	h.apply(Begin(Order{Service: "s", Target: target, TermMS: 12000}))
}

func (h *directorHarness) end(order int64, condition Condition) {
	h.t.Helper()
	h.apply(Transition{Service: "s", Order: order, Epoch: 1, To: condition, Stage: Full}.Apply())
}

func (h *directorHarness) checkStable(order int64, target, stable string) {
	h.t.Helper()
	stored, err := DecodeStable("s", h.registers[StableKey("s")])
	if err != nil {
		h.t.Fatal(err)
	}
	if stored.Order != order || stored.Target != target || stored.Stable != stable {
		h.t.Errorf("stored %+v, want %s as the stable version of order %d of %s", stored, stable, order, target)
	}
}

// TestDirector_storesStableVersion checks the stable version of a sequence of orders that are
// reverted and finished, whatever is listed beside it.
func TestDirector_storesStableVersion(t *testing.T) {
	h := newDirectorHarness(t, "v1", "v2")
	h.order("v2")
	h.checkStable(1, "v2", "v1")
	h.end(1, Reverted)
	h.list("v1", "v2", "v3", "v3")
	h.order("v3")
	h.checkStable(2, "v3", "v1")
	h.end(2, Finished)
	h.list("v1", "v1", "v3", "v4")
	h.order("v4")
	h.checkStable(3, "v4", "v3")
}

// TestDirector_storesStableVersionLater guards against an order whose stable version is never
// stored: one that a controller of an earlier build handled, or whose write failed.
func TestDirector_storesStableVersionLater(t *testing.T) {
	h := newDirectorHarness(t, "v1", "v2")
	h.losesStable = true
	h.order("v2")
	h.end(1, Reverted)
	if value := h.registers[StableKey("s")]; value != nil {
		t.Fatalf("stored %x, want nothing", value)
	}
	h.losesStable = false
	h.list("v1", "v2", "v3", "v3")
	h.order("v3")
	h.checkStable(2, "v3", "v1")
}

// TestStableRecord_firstWriteOfAnOrderStands guards against two directors that store different
// stable versions for one order.
func TestStableRecord_firstWriteOfAnOrderStands(t *testing.T) {
	first, err := StableRecord{Order: 2, Target: "v3", Stable: "v1"}.update("s")(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, late := range []StableRecord{{Order: 2, Target: "v3", Stable: "v2"}, {Order: 1, Target: "v2", Stable: "v0"}} {
		if value, err := late.update("s")(first); value != nil || err != nil {
			t.Errorf("%+v is written over order 2: %x, %v", late, value, err)
		}
	}
	value, err := StableRecord{Order: 3, Target: "v4", Stable: "v3"}.update("s")(first)
	if err != nil {
		t.Fatal(err)
	}
	if stored, err := DecodeStable("s", value); err != nil || stored.Version != 2 || stored.Stable != "v3" {
		t.Errorf("order 3 stored as %+v, %v", stored, err)
	}
}

func TestServiceOfStableKey_invertsKey(t *testing.T) {
	if service, ok := ServiceOfStableKey(StableKey("readers")); !ok || service != "readers" {
		t.Errorf("%q, %v", service, ok)
	}
	if _, ok := ServiceOfStableKey(Key("readers")); ok {
		t.Error("the key of a rollout yields a service")
	}
	if _, ok := ServiceOfKey(StableKey("readers")); ok {
		t.Error("the key of a stable version is taken for that of a rollout")
	}
}
