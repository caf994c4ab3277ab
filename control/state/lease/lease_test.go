package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
)

func TestMain(m *testing.M) { proptest.Run(m) }

const testTTL = 3 * time.Second

// cluster is three voters and three daemons that want one lease.
type cluster struct {
	clock       *clock.Fake
	ctx         scope.Scope
	lessors     []*Lessor
	holders     []*Holder
	partitioned map[[2]int]bool
	epoch       int64
	// Requests from a holder to a voter for which delayed is set wait in pending.
	delayed map[[2]int]bool
	pending []func()
}

func newCluster() *cluster {
	c := &cluster{clock: clock.NewFake(), partitioned: map[[2]int]bool{}, delayed: map[[2]int]bool{}}
	c.ctx = scope.New(scope.Options{Clock: c.clock})
	for index := range 3 {
		c.lessors = append(c.lessors, c.newLessor())
		c.holders = append(c.holders, NewHolder(Options{
			Clock: c.clock, Log: c.ctx.Log, Name: "census", Address: ids.Address(fmt.Sprint(index)), TTL: testTTL,
			RequestGrant: func(_ context.Context, req Request) Outcome {
				granted := 0
				req.VotersFingerprint = 1
				for voter, lessor := range c.lessors {
					link := [2]int{index, voter}
					if c.delayed[link] {
						c.pending = append(c.pending, func() { c.lessors[voter].Grant(req) })
						continue
					}
					if !c.partitioned[link] && lessor.Grant(req).Granted {
						granted++
					}
				}
				if granted > 1 {
					return MajorityGranted
				}
				return MinorityGranted
			},
			NextEpoch: countEpochs(&c.epoch),
		}))
	}
	return c
}

func (c *cluster) newLessor() *Lessor {
	return NewLessor(c.clock, testTTL, func() (bool, int64) { return true, 1 })
}

// currentHolders returns the indices of the holders that hold the lease now.
func (c *cluster) currentHolders() []int {
	var indices []int
	for index, holder := range c.holders {
		if _, held := holder.Held(c.clock.Now()); held {
			indices = append(indices, index)
		}
	}
	return indices
}

// TestLease_atMostOneHolder partitions holders from voters, delays messages and
// restarts voters at any time: no two hold the lease at once, and epochs only rise.
func TestLease_atMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		lastEpoch := int64(0)
		deliverLate := func() {
			if len(c.pending) > 0 {
				c.pending[rapid.IntRange(0, len(c.pending)-1).Draw(t, "late")]()
			}
		}
		for range rapid.IntRange(10, 120).Draw(t, "length") {
			index, voter := rapid.IntRange(0, 2).Draw(t, "holder"), rapid.IntRange(0, 2).Draw(t, "voter")
			events := []func(){
				func() { c.holders[index].TryAcquireOrRenew(c.ctx) },
				func() { c.holders[index].TryAcquireOrRenew(c.ctx) },
				func() { c.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
				func() { c.partitioned[[2]int{index, voter}] = rapid.Bool().Draw(t, "partitioned") },
				func() { c.lessors[voter] = c.newLessor() },
				func() { c.holders[index].Release(c.ctx) },
				func() { c.delayed[[2]int{index, voter}] = rapid.Bool().Draw(t, "delayed") },
				deliverLate, deliverLate,
			}
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			held := c.currentHolders()
			if len(held) > 1 {
				t.Fatalf("%v hold the lease at once", held)
			}
			for _, index := range held {
				epoch, _ := c.holders[index].Held(c.clock.Now())
				if epoch < lastEpoch {
					t.Fatalf("epoch %d after %d", epoch, lastEpoch)
				}
				lastEpoch = epoch
			}
		}
	})
}

// TestLease_splitVotesResolve has each daemon's own voter grant it the lease first:
// what a minority granted must be released, or nobody ever acquires the lease.
func TestLease_splitVotesResolve(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	for index, lessor := range c.lessors {
		if !lessor.Grant(Request{Name: "census", Holder: ids.Address(fmt.Sprint(index)), Incarnation: 1, Sequence: 1, VotersFingerprint: 1}).Granted {
			t.Fatal("a voter did not grant its own daemon")
		}
	}
	for range 12 {
		for _, holder := range c.holders {
			holder.TryAcquireOrRenew(c.ctx)
		}
		if len(c.currentHolders()) == 1 {
			return
		}
		c.clock.Advance(testTTL / 3)
	}
	t.Fatal("nobody holds the lease")
}

func TestLease_newLessorGrantsNothingForOneTTL(t *testing.T) {
	c := newCluster()
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("a voter that may have made grants before it started made one")
	}
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted after a whole TTL")
	}
	c.clock.Advance(testTTL * 95 / 100)
	if len(c.currentHolders()) != 0 {
		t.Fatal("the holder did not stop before the TTL ended")
	}
}
