package command

import (
	"sync"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/state/quorum"
	"onyxwell/control/transport"
)

// TestCutOffNeitherRefusesNorConfirms has the owner of the keys cut off: all
// that it could answer by what it holds alone stays without a clear answer,
// and soon.
func TestCutOffNeitherRefusesNorConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 5*clock.Millisecond)
		world.must("a", put(0, 1))
		world.must("a", put(1, 2))
		world.must("a", zone(VerbEmpty))
		orders := map[string]Order{
			"read": {Key: config.Key, Verb: VerbRead}, "repeat": put(1, 2), "stale": put(0, 9), "next": put(2, 3),
			"invalid": put(2, 1), "emptied already": zone(VerbEmpty), "refilled": zone(VerbRefill), "epoch": {Key: "hold/plan", Verb: VerbEpoch},
		}
		world.cutOff("a", true)
		for name, order := range orders {
			// At first contact looks fresh yet.
			kind, value, took := world.ask("a", order)
			if kind != errkind.Unsettled || value != nil || took > 250*clock.Millisecond {
				t.Errorf("%s, cut off just now: %v after %v", name, kind, took)
			}
			world.cutOff("a", false)
			world.top.Wait(clock.Second)
			if err := world.nodes["a"].contact.EnsureQuorum(world.top); err != nil {
				t.Fatal(err)
			}
			world.cutOff("a", true)
		}
		world.top.Wait(clock.Second)
		for name, order := range orders {
			kind, value, took := world.ask("a", order)
			if kind != errkind.Unsettled || value != nil || took > 250*clock.Millisecond {
				t.Errorf("%s, cut off long ago: %v after %v", name, kind, took)
			}
		}
		world.must("b", put(2, 4))
		world.cutOff("a", false)
		if kind, _, _ := world.ask("a", put(2, 5)); kind != errkind.StaleSpec {
			t.Errorf("joined again: %v", kind)
		}
	})
}

// TestSlowDisksAreNoLostContact has disks thirty times slower than usual, on
// links of 35 ms: orders are taken.
func TestSlowDisksAreNoLostContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 150*clock.Millisecond)
		for serial := range 4 {
			if kind, _, took := world.ask("a", put(ids.Serial(serial), serial+1)); kind != errkind.None {
				t.Errorf("order %d: %v after %v", serial, kind, took)
			}
		}
		if kind, _, took := world.ask("b", put(4, 5)); kind != errkind.None {
			t.Errorf("passed on: %v after %v", kind, took)
		}
	})
}

// TestPassedOrderIsNoGhost keeps an order on its way to the owner until it was
// given up, sent again, acknowledged and taken back.
func TestPassedOrderIsNoGhost(t *testing.T) {
	cases := map[string]func(world *world){
		// The passer took the key over.
		"taken over": func(world *world) {
			// The owner answers other questions: some orders find it busy before
			// it counts as silent, and are sent again.
			for range mostBusy {
				if kind, _, _ := world.ask("a", zone(VerbEmpty)); kind != errkind.Unsettled && kind != errkind.None {
					world.t.Errorf("a busy owner: %v", kind)
				}
			}
			if world.nodes["b"].keeper.Owns(zone("").Key) && !world.nodes["a"].keeper.Owns(zone("").Key) {
				world.t.Error("an owner that leaves all orders unanswered is never taken over")
			}
			world.must("a", zone(VerbEmpty))
			world.must("a", zone(VerbRefill))
		},
		// The passer was cut off; others went on through the same owner.
		"same owner": func(world *world) {
			world.cutOff("a", true)
			world.top.Wait(clock.Second)
			world.cutOff("a", false)
			world.hold("b", nil)
			world.must("c", zone(VerbEmpty))
			world.must("c", zone(VerbRefill))
			if !world.nodes["b"].keeper.Owns(zone("").Key) {
				world.t.Error("the owner lost its key")
			}
		},
	}
	for name, goOn := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(t, 5*clock.Millisecond)
				world.must("b", zone(VerbEmpty))
				world.must("b", zone(VerbRefill))
				for _, node := range world.nodes {
					if err := node.contact.EnsureQuorum(world.top); err != nil {
						t.Fatal(err)
					}
				}
				world.top.Wait(50 * clock.Millisecond)
				var kept []Order
				world.hold("b", &kept)
				first := make(chan struct{})
				go func() { world.ask("a", zone(VerbEmpty)); close(first) }()
				world.top.Wait(clock.Millisecond)
				goOn(world)
				<-first
				if len(kept) == 0 {
					t.Fatal("no order was kept on its way")
				}
				world.hold("b", nil)
				world.must("c", zone(VerbRefill))
				for _, ghost := range kept {
					for range 2 {
						if _, err := world.nodes["b"].desk.Passed(world.top, ghost); errkind.KindOf(err) != errkind.Unsettled {
							t.Errorf("a late order: %v", err)
						}
					}
				}
				if world.empty("c") || world.empty("a") {
					t.Error("the zone is emptied again")
				}
			})
		})
	}
}

// TestPassedOrderTakesNothingOver has an order come in time to one that owns
// the key no more, one without an end, and one that waits for its turn until
// it is too late.
func TestPassedOrderTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 5*clock.Millisecond)
		world.must("a", zone(VerbEmpty))
		owner := world.nodes["b"]
		stamp := func(span clock.Span) Order {
			order := zone(VerbRefill)
			until, err := world.nodes["a"].contact.RemoteDeadline(world.top, "b", world.top.Now().Add(span))
			if err != nil {
				t.Fatal(err)
			}
			order.Until = until
			return order
		}
		for name, order := range map[string]Order{"of another": stamp(pass), "without an end": zone(VerbRefill)} {
			if _, err := owner.desk.Passed(world.top, order); errkind.KindOf(err) != errkind.Unsettled {
				t.Errorf("%s: %v", name, err)
			}
		}
		if !world.nodes["a"].keeper.Owns(zone("").Key) || world.empty("a") != true {
			t.Error("the order took the key over")
		}
		if err := owner.keeper.Reacquire(world.top, zone("").Key); err != nil {
			t.Fatal(err)
		}
		late := stamp(200 * clock.Millisecond)
		turn, begun := make(chan struct{}), make(chan struct{})
		go func() {
			_, _ = owner.keeper.Update(world.top, late.Key, func([]byte) ([]byte, error) { close(begun); <-turn; return nil, nil })
		}()
		<-begun
		waited := make(chan error)
		go func() { _, err := owner.desk.Passed(world.top, late); waited <- err }()
		world.top.Wait(300 * clock.Millisecond)
		close(turn)
		if err := <-waited; errkind.KindOf(err) != errkind.Unsettled || !world.empty("b") {
			t.Errorf("begun after its end: %v", err)
		}
	})
}

// TestBidThatNobodyWaitsForIsLetGo has a controller bid for a key while it is
// cut off: what it is asked after its return does not wait behind that bid.
func TestBidThatNobodyWaitsForIsLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 5*clock.Millisecond)
		world.must("b", zone(VerbEmpty))
		world.cutOff("a", true)
		var waited sync.WaitGroup
		for _, span := range []clock.Span{100 * clock.Millisecond, 300 * clock.Millisecond} {
			waited.Go(func() {
				short, release := world.top.WithLimit(span)
				defer release()
				if _, err := world.nodes["a"].keeper.Read(short, zone("").Key); errkind.KindOf(err) != errkind.Unsettled {
					t.Errorf("cut off: %v", err)
				}
			})
		}
		waited.Wait()
		world.cutOff("a", false)
		begin := world.top.Now()
		if _, err := world.nodes["a"].keeper.Read(world.top, zone("").Key); err != nil {
			t.Error(err)
		}
		if took := world.top.Now().Since(begin); took > 300*clock.Millisecond {
			t.Errorf("answered %v after the return", took)
		}
	})
}

// TestOrderTravelsWithItsEnd packs an order as it goes between controllers.
func TestOrderTravelsWithItsEnd(t *testing.T) {
	sent := put(3, 4)
	sent.Until = quorum.Deadline{Incarnation: -7, End: 1 << 50}
	body, err := transport.Pack(sent)
	if err != nil {
		t.Fatal(err)
	}
	if came, err := transport.Unpack[Order](body); err != nil || came.Until != sent.Until || came.Change.Match != 3 {
		t.Errorf("%+v: %v", came, err)
	}
}
