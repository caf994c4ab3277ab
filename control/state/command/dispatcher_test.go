package command

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/state/quorum"
	"onyxwell/control/transport"
)

// TestDispatch_partitionedOwnerStaysUndecided guards against a partitioned owner that
// answers commands from its local state alone, which others may have replaced: each
// command must fail soon with errkind.NoQuorum.
func TestDispatch_partitionedOwnerStaysUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.mustDispatch("a", putCommand(0, 1))
		c.mustDispatch("a", putCommand(1, 2))
		c.mustDispatch("a", zoneCommand(VerbDrain))
		commands := map[string]Command{
			"read": {Key: config.Key, Verb: VerbRead}, "repeat": putCommand(1, 2), "stale": putCommand(0, 9), "next": putCommand(2, 3),
			"invalid": putCommand(2, 1), "already drained": zoneCommand(VerbDrain), "undrain": zoneCommand(VerbUndrain), "epoch": {Key: "hold/plan", Verb: VerbEpoch},
		}
		c.setPartitioned("a", true)
		for name, cmd := range commands {
			// The contact from before the partition still counts as a quorum at first.
			kind, value, elapsed := c.dispatch("a", cmd)
			if kind != errkind.NoQuorum || value != nil || elapsed > 250*time.Millisecond {
				t.Errorf("%s, just partitioned: %v after %v", name, kind, elapsed)
			}
			c.setPartitioned("a", false)
			c.ctx.Wait(time.Second)
			if err := c.nodes["a"].quorum.EnsureQuorum(c.ctx); err != nil {
				t.Fatal(err)
			}
			c.setPartitioned("a", true)
		}
		c.ctx.Wait(time.Second)
		for name, cmd := range commands {
			kind, value, elapsed := c.dispatch("a", cmd)
			if kind != errkind.NoQuorum || value != nil || elapsed > 250*time.Millisecond {
				t.Errorf("%s, long partitioned: %v after %v", name, kind, elapsed)
			}
		}
		c.mustDispatch("b", putCommand(2, 4))
		c.setPartitioned("a", false)
		if kind, _, _ := c.dispatch("a", putCommand(2, 5)); kind != errkind.VersionConflict {
			t.Errorf("after the partition: %v", kind)
		}
	})
}

// TestDispatch_slowDisksKeepQuorum guards against slow disks being taken for a lost
// quorum: with disks thirty times slower than usual, and links of 35 ms, commands
// must be acknowledged.
func TestDispatch_slowDisksKeepQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 150*time.Millisecond)
		for version := range 4 {
			if kind, _, elapsed := c.dispatch("a", putCommand(ids.Version(version), version+1)); kind != errkind.None {
				t.Errorf("command %d: %v after %v", version, kind, elapsed)
			}
		}
		if kind, _, elapsed := c.dispatch("b", putCommand(4, 5)); kind != errkind.None {
			t.Errorf("forwarded: %v after %v", kind, elapsed)
		}
	})
}

// TestHandleForwarded_abandonedCommandNeverRuns guards against a forwarded command that
// takes effect late. The command is delayed until its forwarder has given up, and the
// same command has been sent again, acknowledged and undone.
func TestHandleForwarded_abandonedCommandNeverRuns(t *testing.T) {
	cases := map[string]func(*testing.T, *cluster){
		// The forwarder takes over the key.
		"taken over": func(t *testing.T, c *cluster) {
			// The owner answers other messages, so it counts as busy for the first
			// commands, which are sent again; only then is it suspected.
			for range maxUnanswered {
				if kind, _, _ := c.dispatch("a", zoneCommand(VerbDrain)); kind != errkind.NoQuorum && kind != errkind.None {
					t.Errorf("busy owner: %v", kind)
				}
			}
			if c.nodes["b"].proposer.Owns(zoneCommand("").Key) && !c.nodes["a"].proposer.Owns(zoneCommand("").Key) {
				t.Error("no takeover from an owner that leaves all commands unanswered")
			}
			c.mustDispatch("a", zoneCommand(VerbDrain))
			c.mustDispatch("a", zoneCommand(VerbUndrain))
		},
		// The forwarder is partitioned; another controller uses the same owner.
		"same owner": func(t *testing.T, c *cluster) {
			c.setPartitioned("a", true)
			c.ctx.Wait(time.Second)
			c.setPartitioned("a", false)
			c.intercept("b", nil)
			c.mustDispatch("c", zoneCommand(VerbDrain))
			c.mustDispatch("c", zoneCommand(VerbUndrain))
			if !c.nodes["b"].proposer.Owns(zoneCommand("").Key) {
				t.Error("the owner lost the key")
			}
		},
	}
	for name, proceed := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5*time.Millisecond)
				c.mustDispatch("b", zoneCommand(VerbDrain))
				c.mustDispatch("b", zoneCommand(VerbUndrain))
				for _, node := range c.nodes {
					if err := node.quorum.EnsureQuorum(c.ctx); err != nil {
						t.Fatal(err)
					}
				}
				c.ctx.Wait(50 * time.Millisecond)
				var delayed []Command
				c.intercept("b", &delayed)
				abandoned := make(chan struct{})
				go func() { c.dispatch("a", zoneCommand(VerbDrain)); close(abandoned) }()
				c.ctx.Wait(time.Millisecond)
				proceed(t, c)
				<-abandoned
				if len(delayed) == 0 {
					t.Fatal("no command was intercepted")
				}
				c.intercept("b", nil)
				c.mustDispatch("c", zoneCommand(VerbUndrain))
				for _, cmd := range delayed {
					for range 2 {
						if _, err := c.nodes["b"].dispatcher.HandleForwarded(c.ctx, cmd); errkind.KindOf(err) != errkind.NoQuorum {
							t.Errorf("late command: %v", err)
						}
					}
				}
				if c.drained("c") || c.drained("a") {
					t.Error("the late command drained the zone again")
				}
			})
		})
	}
}

// TestHandleForwarded_neverTakesOver guards against forwarded commands that take over a
// key or start too late. One arrives in time at a controller that does not own the key,
// one has no deadline, and one is still waiting in the key's queue when its deadline
// passes.
func TestHandleForwarded_neverTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.mustDispatch("a", zoneCommand(VerbDrain))
		owner := c.nodes["b"]
		withDeadline := func(timeout time.Duration) Command {
			t.Helper()
			cmd := zoneCommand(VerbUndrain)
			var err error
			if cmd.Deadline, err = c.nodes["a"].quorum.RemoteDeadline(c.ctx, "b", c.ctx.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			return cmd
		}
		for name, cmd := range map[string]Command{"not owned": withDeadline(forwardTimeout), "without deadline": zoneCommand(VerbUndrain)} {
			if _, err := owner.dispatcher.HandleForwarded(c.ctx, cmd); errkind.KindOf(err) != errkind.NoQuorum {
				t.Errorf("%s: %v", name, err)
			}
		}
		if !c.nodes["a"].proposer.Owns(zoneCommand("").Key) || !c.drained("a") {
			t.Error("the command took the key over")
		}
		if err := owner.proposer.Reacquire(c.ctx, zoneCommand("").Key); err != nil {
			t.Fatal(err)
		}
		late := withDeadline(200 * time.Millisecond)
		releaseTurn, started := make(chan struct{}), make(chan struct{})
		go func() {
			_, _ = owner.proposer.Update(c.ctx, late.Key, func([]byte) ([]byte, error) { close(started); <-releaseTurn; return nil, nil })
		}()
		<-started
		result := make(chan error)
		go func() { _, err := owner.dispatcher.HandleForwarded(c.ctx, late); result <- err }()
		c.ctx.Wait(300 * time.Millisecond)
		close(releaseTurn)
		if err := <-result; errkind.KindOf(err) != errkind.NoQuorum || !c.drained("b") {
			t.Errorf("started after its deadline: %v", err)
		}
	})
}

// TestProposer_abandonedPrepareIsCancelled guards against commands that wait behind an
// abandoned acquisition: a partitioned controller prepares a key until its callers give
// up, and must answer soon after the partition heals.
func TestProposer_abandonedPrepareIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.mustDispatch("b", zoneCommand(VerbDrain))
		c.setPartitioned("a", true)
		var reads sync.WaitGroup
		for _, timeout := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
			reads.Go(func() {
				ctx, cancel := c.ctx.WithTimeout(timeout)
				defer cancel()
				if _, err := c.nodes["a"].proposer.Read(ctx, zoneCommand("").Key); errkind.KindOf(err) != errkind.NoQuorum {
					t.Errorf("read during the partition: %v", err)
				}
			})
		}
		reads.Wait()
		c.setPartitioned("a", false)
		start := c.ctx.Now()
		if _, err := c.nodes["a"].proposer.Read(c.ctx, zoneCommand("").Key); err != nil {
			t.Error(err)
		}
		if elapsed := c.ctx.Now().Since(start); elapsed > 300*time.Millisecond {
			t.Errorf("answered %v after the partition healed", elapsed)
		}
	})
}

// TestCommand_encodingKeepsDeadline encodes and decodes a command as it is sent between
// controllers.
func TestCommand_encodingKeepsDeadline(t *testing.T) {
	sent := putCommand(3, 4)
	sent.Deadline = quorum.Deadline{Incarnation: -7, End: 1 << 50}
	body, err := transport.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if received, err := transport.Unmarshal[Command](body); err != nil || received.Deadline != sent.Deadline || received.Change.BaseVersion != 3 {
		t.Errorf("%+v: %v", received, err)
	}
}
