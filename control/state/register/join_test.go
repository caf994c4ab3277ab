package register

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// TestJoin_yieldsToPendingPrepare has a standby find that VotersKey is promised to
// another proposer that has not written yet. The first run must wait for that
// proposer; the second must take the epoch for abandoned and not wait.
func TestJoin_yieldsToPendingPrepare(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		c := newFaultFreeCluster(rapidT, 1)
		voters := c.currentVoters()
		for _, n := range c.nodes[:3] {
			n.acceptor.Prepare(PrepareRequest{Fence: voters.FencingToken(voters.Members[0]), Key: VotersKey, Epoch: ids.Epoch{Number: 9, Owner: "b"}})
		}
		synctest.Test(t, func(*testing.T) {
			standby := c.nodes[3].joiner
			standby.RequestTimeout = 300 * time.Millisecond
			ctx := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
			standby.Clock, standby.Proposer.options.Clock = ctx.Clock, ctx.Clock
			durations := []time.Duration{}
			for range 2 {
				start := ctx.Now()
				_ = standby.Join(ctx)
				durations = append(durations, ctx.Now().Since(start))
			}
			if durations[0] < standby.RequestTimeout/2 || durations[0] > 2*standby.RequestTimeout || durations[1] != 0 {
				rapidT.Fatalf("the two runs waited %v for the pending epoch", durations)
			}
		})
	})
}

// TestJoin_doesNotProposeAfterVotersChanged changes the voter set between a joining
// node's discovery and its learning: the node must not prepare VotersKey, since that
// would preempt the other node that is joining.
func TestJoin_doesNotProposeAfterVotersChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultFreeCluster(t, 2)
		joining, otherNode := c.nodes[3], c.nodes[4]
		joining.joiner.discoverVoters(c.ctx)
		voters := joining.acceptor.Voters()
		learner := Member{Address: otherNode.address, Incarnation: otherNode.acceptor.Incarnation(), Learner: true}
		if _, err := c.nodes[0].proposer.Update(c.ctx, VotersKey, c.nodes[0].joiner.replaceMember(voters, 3, learner)); err != nil {
			t.Fatal(err)
		}
		promised := c.nodes[1].acceptor.Slot(VotersKey).Promised
		if err := joining.joiner.joinStep(c.ctx, voters); err != nil {
			t.Fatalf("joinStep failed after a change of the voter set: %v", err)
		}
		if now := c.nodes[1].acceptor.Slot(VotersKey).Promised; now != promised || joining.acceptor.Voters().Generation != 2 {
			t.Fatalf("the promised epoch is %+v, want %+v unchanged; voters %+v", now, promised, joining.acceptor.Voters())
		}
	})
}

// TestJoin_doesNotAwaitVotersUnreachableByMajority has a joining node discover the
// voters while one of them does not answer: it must take the voter set from the
// first node that answers, and must not wait for a voter that a majority can't
// reach.
func TestJoin_doesNotAwaitVotersUnreachableByMajority(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		c := newFaultFreeCluster(rapidT, 1)
		synctest.Test(t, func(*testing.T) {
			joiner := c.nodes[3].joiner
			ctx := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
			joiner.Clock, joiner.Proposer.options.Clock = ctx.Clock, ctx.Clock
			network := unresponsiveClient{ReplicaClient: joiner.Replicas, unresponsive: "c", turn: &sync.Mutex{}}
			joiner.Replicas, joiner.RequestTimeout = network, 300*time.Millisecond
			joiner.Spawn = func(send func()) {
				go func() {
					network.turn.Lock()
					defer network.turn.Unlock()
					send()
				}()
			}
			start := ctx.Now()
			joiner.discoverVoters(ctx)
			if took := ctx.Now().Since(start); took != 0 || joiner.Acceptor.Voters().Generation != 1 || !joiner.replaceable("c") {
				rapidT.Errorf("after %v the joining node knows %+v, c replaceable: %v", took, joiner.Acceptor.Voters(), joiner.replaceable("c"))
			}
			ctx.Wait(time.Second)
		})
	})
}
