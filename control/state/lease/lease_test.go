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

// cluster consists of three voters and three daemons that want the same lease.
type cluster struct {
	clock       *clock.Fake
	ctx         scope.Scope
	lessors     []*Lessor
	holders     []*Holder
	partitioned map[[2]int]bool
	epoch       int64
	// Keys of partitioned and delayed are pairs of a holder and a voter. Requests
	// on a delayed link wait in pending.
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

// TestLease_atMostOneHolder partitions holders from voters, delays and repeats
// messages and restarts voters in a random order. No two daemons may hold the
// lease at once, and epochs must not decrease.
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
				t.Fatalf("holders %v hold the lease at the same time", held)
			}
			for _, index := range held {
				epoch, _ := c.holders[index].Held(c.clock.Now())
				if epoch < lastEpoch {
					t.Fatalf("the lease is held with epoch %d after epoch %d", epoch, lastEpoch)
				}
				lastEpoch = epoch
			}
		}
	})
}

// TestLease_splitVotesResolve guards against daemons that keep splitting the votes,
// so that none ever acquires the lease: each voter first grants it to a different
// daemon. Once these grants are no longer in force, one daemon must acquire it.
func TestLease_splitVotesResolve(t *testing.T) {
	c := newCluster()
	c.clock.Advance(testTTL)
	for index, lessor := range c.lessors {
		if !lessor.Grant(Request{Name: "census", Holder: ids.Address(fmt.Sprint(index)), Incarnation: 1, Sequence: 1, VotersFingerprint: 1}).Granted {
			t.Fatal("a voter did not grant the lease, though it had made no grant before")
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
	t.Fatal("no daemon acquired the lease after the votes were split")
}

func TestLease_newLessorGrantsNothingForOneTTL(t *testing.T) {
	c := newCluster()
	if c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("granted by voters that have just started and may have forgotten earlier grants")
	}
	c.clock.Advance(testTTL)
	if !c.holders[0].TryAcquireOrRenew(c.ctx) {
		t.Fatal("not granted one TTL after the voters started")
	}
	c.clock.Advance(testTTL * 95 / 100)
	if len(c.currentHolders()) != 0 {
		t.Fatal("the lease is still held after 95% of the TTL")
	}
}
