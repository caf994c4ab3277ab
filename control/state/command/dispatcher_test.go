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

// TestDispatch_partitionedOwnerStaysUndecided has the owner of the keys cut off: all
// that it could answer by what it holds alone stays without a clear answer,
// and soon.
func TestDispatch_partitionedOwnerStaysUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newCluster(t, 5*clock.Millisecond)
		world.mustDispatch("a", putCommand(0, 1))
		world.mustDispatch("a", putCommand(1, 2))
		world.mustDispatch("a", zoneCommand(VerbDrain))
		orders := map[string]Command{
			"read": {Key: config.Key, Verb: VerbRead}, "repeat": putCommand(1, 2), "stale": putCommand(0, 9), "next": putCommand(2, 3),
			"invalid": putCommand(2, 1), "emptied already": zoneCommand(VerbDrain), "refilled": zoneCommand(VerbUndrain), "epoch": {Key: "hold/plan", Verb: VerbEpoch},
		}
		world.setPartitioned("a", true)
		for name, order := range orders {
			// At first contact looks fresh yet.
			kind, value, took := world.dispatch("a", order)
			if kind != errkind.NoQuorum || value != nil || took > 250*clock.Millisecond {
				t.Errorf("%s, cut off just now: %v after %v", name, kind, took)
			}
			world.setPartitioned("a", false)
			world.ctx.Wait(clock.Second)
			if err := world.nodes["a"].quorum.EnsureQuorum(world.ctx); err != nil {
				t.Fatal(err)
			}
			world.setPartitioned("a", true)
		}
		world.ctx.Wait(clock.Second)
		for name, order := range orders {
			kind, value, took := world.dispatch("a", order)
			if kind != errkind.NoQuorum || value != nil || took > 250*clock.Millisecond {
				t.Errorf("%s, cut off long ago: %v after %v", name, kind, took)
			}
		}
		world.mustDispatch("b", putCommand(2, 4))
		world.setPartitioned("a", false)
		if kind, _, _ := world.dispatch("a", putCommand(2, 5)); kind != errkind.VersionConflict {
			t.Errorf("joined again: %v", kind)
		}
	})
}

// TestDispatch_slowDisksKeepQuorum has disks thirty times slower than usual, on
// links of 35 ms: orders are taken.
func TestDispatch_slowDisksKeepQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newCluster(t, 150*clock.Millisecond)
		for serial := range 4 {
			if kind, _, took := world.dispatch("a", putCommand(ids.Serial(serial), serial+1)); kind != errkind.None {
				t.Errorf("order %d: %v after %v", serial, kind, took)
			}
		}
		if kind, _, took := world.dispatch("b", putCommand(4, 5)); kind != errkind.None {
			t.Errorf("passed on: %v after %v", kind, took)
		}
	})
}

// TestHandleForwarded_abandonedCommandNeverRuns keeps an order on its way to the owner until it was
// given up, sent again, acknowledged and taken back.
func TestHandleForwarded_abandonedCommandNeverRuns(t *testing.T) {
	cases := map[string]func(world *cluster){
		// The passer took the key over.
		"taken over": func(world *cluster) {
			// The owner answers other questions: some orders find it busy before
			// it counts as silent, and are sent again.
			for range maxUnanswered {
				if kind, _, _ := world.dispatch("a", zoneCommand(VerbDrain)); kind != errkind.NoQuorum && kind != errkind.None {
					world.t.Errorf("a busy owner: %v", kind)
				}
			}
			if world.nodes["b"].proposer.Owns(zoneCommand("").Key) && !world.nodes["a"].proposer.Owns(zoneCommand("").Key) {
				world.t.Error("an owner that leaves all orders unanswered is never taken over")
			}
			world.mustDispatch("a", zoneCommand(VerbDrain))
			world.mustDispatch("a", zoneCommand(VerbUndrain))
		},
		// The passer was cut off; others went on through the same owner.
		"same owner": func(world *cluster) {
			world.setPartitioned("a", true)
			world.ctx.Wait(clock.Second)
			world.setPartitioned("a", false)
			world.intercept("b", nil)
			world.mustDispatch("c", zoneCommand(VerbDrain))
			world.mustDispatch("c", zoneCommand(VerbUndrain))
			if !world.nodes["b"].proposer.Owns(zoneCommand("").Key) {
				world.t.Error("the owner lost its key")
			}
		},
	}
	for name, goOn := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newCluster(t, 5*clock.Millisecond)
				world.mustDispatch("b", zoneCommand(VerbDrain))
				world.mustDispatch("b", zoneCommand(VerbUndrain))
				for _, node := range world.nodes {
					if err := node.quorum.EnsureQuorum(world.ctx); err != nil {
						t.Fatal(err)
					}
				}
				world.ctx.Wait(50 * clock.Millisecond)
				var kept []Command
				world.intercept("b", &kept)
				first := make(chan struct{})
				go func() { world.dispatch("a", zoneCommand(VerbDrain)); close(first) }()
				world.ctx.Wait(clock.Millisecond)
				goOn(world)
				<-first
				if len(kept) == 0 {
					t.Fatal("no order was kept on its way")
				}
				world.intercept("b", nil)
				world.mustDispatch("c", zoneCommand(VerbUndrain))
				for _, ghost := range kept {
					for range 2 {
						if _, err := world.nodes["b"].dispatcher.HandleForwarded(world.ctx, ghost); errkind.KindOf(err) != errkind.NoQuorum {
							t.Errorf("a late order: %v", err)
						}
					}
				}
				if world.drained("c") || world.drained("a") {
					t.Error("the zone is emptied again")
				}
			})
		})
	}
}

// TestHandleForwarded_takesNoKeyOver has an order come in time to one that owns
// the key no more, one without an end, and one that waits for its turn until
// it is too late.
func TestHandleForwarded_takesNoKeyOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newCluster(t, 5*clock.Millisecond)
		world.mustDispatch("a", zoneCommand(VerbDrain))
		owner := world.nodes["b"]
		stamp := func(span clock.Span) Command {
			order := zoneCommand(VerbUndrain)
			until, err := world.nodes["a"].quorum.RemoteDeadline(world.ctx, "b", world.ctx.Now().Add(span))
			if err != nil {
				t.Fatal(err)
			}
			order.Deadline = until
			return order
		}
		for name, order := range map[string]Command{"of another": stamp(forwardTimeout), "without an end": zoneCommand(VerbUndrain)} {
			if _, err := owner.dispatcher.HandleForwarded(world.ctx, order); errkind.KindOf(err) != errkind.NoQuorum {
				t.Errorf("%s: %v", name, err)
			}
		}
		if !world.nodes["a"].proposer.Owns(zoneCommand("").Key) || world.drained("a") != true {
			t.Error("the order took the key over")
		}
		if err := owner.proposer.Reacquire(world.ctx, zoneCommand("").Key); err != nil {
			t.Fatal(err)
		}
		late := stamp(200 * clock.Millisecond)
		turn, begun := make(chan struct{}), make(chan struct{})
		go func() {
			_, _ = owner.proposer.Update(world.ctx, late.Key, func([]byte) ([]byte, error) { close(begun); <-turn; return nil, nil })
		}()
		<-begun
		waited := make(chan error)
		go func() { _, err := owner.dispatcher.HandleForwarded(world.ctx, late); waited <- err }()
		world.ctx.Wait(300 * clock.Millisecond)
		close(turn)
		if err := <-waited; errkind.KindOf(err) != errkind.NoQuorum || !world.drained("b") {
			t.Errorf("begun after its end: %v", err)
		}
	})
}

// TestProposer_abandonedPrepareIsCancelled has a controller bid for a key while it is
// cut off: what it is asked after its return does not wait behind that bid.
func TestProposer_abandonedPrepareIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newCluster(t, 5*clock.Millisecond)
		world.mustDispatch("b", zoneCommand(VerbDrain))
		world.setPartitioned("a", true)
		var waited sync.WaitGroup
		for _, span := range []clock.Span{100 * clock.Millisecond, 300 * clock.Millisecond} {
			waited.Go(func() {
				short, release := world.ctx.WithTimeout(span)
				defer release()
				if _, err := world.nodes["a"].proposer.Read(short, zoneCommand("").Key); errkind.KindOf(err) != errkind.NoQuorum {
					t.Errorf("cut off: %v", err)
				}
			})
		}
		waited.Wait()
		world.setPartitioned("a", false)
		begin := world.ctx.Now()
		if _, err := world.nodes["a"].proposer.Read(world.ctx, zoneCommand("").Key); err != nil {
			t.Error(err)
		}
		if took := world.ctx.Now().Since(begin); took > 300*clock.Millisecond {
			t.Errorf("answered %v after the return", took)
		}
	})
}

// TestCommand_encodingKeepsDeadline packs an order as it goes between controllers.
func TestCommand_encodingKeepsDeadline(t *testing.T) {
	sent := putCommand(3, 4)
	sent.Deadline = quorum.Deadline{Incarnation: -7, End: 1 << 50}
	body, err := transport.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if came, err := transport.Unmarshal[Command](body); err != nil || came.Deadline != sent.Deadline || came.Change.BaseVersion != 3 {
		t.Errorf("%+v: %v", came, err)
	}
}
