package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const testTTL = 3 * clock.Second

// cluster is three voters and three that want one duty.
type cluster struct {
	clock       *clock.Fake
	ctx         scope.Scope
	lessors     []*Lessor
	holders     []*Holder
	partitioned map[[2]int]bool
	epoch       int64
	// delayed has messages from a holder to a voter come later, from late.
	delayed map[[2]int]bool
	pending []func()
}

func newCluster() *cluster {
	made := &cluster{clock: clock.NewFake(), partitioned: map[[2]int]bool{}, delayed: map[[2]int]bool{}}
	made.ctx = scope.New(scope.Options{Clock: made.clock})
	for index := range 3 {
		made.lessors = append(made.lessors, made.newLessor())
		made.holders = append(made.holders, NewHolder(Options{
			Name: "census", Address: ids.Address(fmt.Sprint(index)), TTL: testTTL,
			RequestGrant: func(_ scope.Scope, asked Request) Outcome {
				granted := 0
				asked.VotersMark = 1
				for voter, granter := range made.lessors {
					if made.delayed[[2]int{index, voter}] {
						made.pending = append(made.pending, func() { made.lessors[voter].Grant(asked) })
						continue
					}
					if !made.partitioned[[2]int{index, voter}] && granter.Grant(asked).Granted {
						granted++
					}
				}
				if granted > 1 {
					return MajorityGranted
				}
				return MinorityGranted
			},
			NextEpoch: func(scope.Scope, string) (int64, error) { made.epoch++; return made.epoch, nil },
		}))
	}
	return made
}

func (c *cluster) newLessor() *Lessor {
	return NewLessor(c.clock, testTTL, func() (bool, int64) { return true, 1 })
}

func (c *cluster) holding() []int {
	var found []int
	for index, holder := range c.holders {
		if _, held := holder.Held(c.clock.Now()); held {
			found = append(found, index)
		}
	}
	return found
}

// TestLease_atMostOneHolder cuts askers off from voters and starts voters anew, at
// any time: never do two hold the duty at once, and epochs only rise.
func TestLease_atMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster()
		newest := int64(0)
		comes := func() {
			if len(world.pending) > 0 {
				world.pending[rapid.IntRange(0, len(world.pending)-1).Draw(t, "late")]()
			}
		}
		for range rapid.IntRange(10, 120).Draw(t, "length") {
			index, voter := rapid.IntRange(0, 2).Draw(t, "asker"), rapid.IntRange(0, 2).Draw(t, "voter")
			events := []func(){
				func() { world.holders[index].TryAcquireOrRenew(world.ctx) },
				func() { world.holders[index].TryAcquireOrRenew(world.ctx) },
				func() { world.clock.Advance(clock.Span(rapid.IntRange(1, 1500).Draw(t, "ms")) * clock.Millisecond) },
				func() { world.partitioned[[2]int{index, voter}] = rapid.Bool().Draw(t, "cut") },
				func() { world.lessors[voter] = world.newLessor() },
				func() { world.holders[index].Release(world.ctx) },
				func() { world.delayed[[2]int{index, voter}] = rapid.Bool().Draw(t, "slow") },
				comes, comes,
			}
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			held := world.holding()
			if len(held) > 1 {
				t.Fatalf("%v hold the duty at once", held)
			}
			for _, index := range held {
				epoch, _ := world.holders[index].Held(world.clock.Now())
				if epoch < newest {
					t.Fatalf("epoch %d after %d", epoch, newest)
				}
				newest = epoch
			}
		}
	})
}

// TestLease_splitVotesResolve has each asker grant itself first: what a minority
// granted must be given back, or nobody ever gains the duty.
func TestLease_splitVotesResolve(t *testing.T) {
	world := newCluster()
	world.clock.Advance(testTTL)
	for index, granter := range world.lessors {
		if !granter.Grant(Request{Name: "census", Holder: ids.Address(fmt.Sprint(index)), Incarnation: 1, Sequence: 1, VotersMark: 1}).Granted {
			t.Fatal("a voter did not grant itself")
		}
	}
	for range 12 {
		for _, holder := range world.holders {
			holder.TryAcquireOrRenew(world.ctx)
		}
		if len(world.holding()) == 1 {
			return
		}
		world.clock.Advance(testTTL / 3)
	}
	t.Fatal("nobody holds the duty")
}

func TestLease_newLessorGrantsNothingForOneTTL(t *testing.T) {
	world := newCluster()
	if world.holders[0].TryAcquireOrRenew(world.ctx) {
		t.Fatal("a voter that may have granted before granted again")
	}
	world.clock.Advance(testTTL)
	if !world.holders[0].TryAcquireOrRenew(world.ctx) {
		t.Fatal("not granted after a whole span")
	}
	world.clock.Advance(testTTL * 95 / 100)
	if len(world.holding()) != 0 {
		t.Fatal("the holder did not stop before the end")
	}
}

// TestHolder_standDownLeavesLeaseToOthers has a holder give the duty up for a span:
// another gains it at once, and the one that rests does not ask before its time.
func TestHolder_standDownLeavesLeaseToOthers(t *testing.T) {
	world := newCluster()
	world.clock.Advance(testTTL)
	if !world.holders[0].TryAcquireOrRenew(world.ctx) {
		t.Fatal("nobody holds")
	}
	world.holders[0].StandDown(world.ctx, testTTL)
	if world.holders[0].TryAcquireOrRenew(world.ctx) {
		t.Fatal("one that rests strives")
	}
	if !world.holders[1].TryAcquireOrRenew(world.ctx) {
		t.Fatal("the duty is not free")
	}
	world.holders[1].Release(world.ctx)
	world.clock.Advance(testTTL)
	if !world.holders[0].TryAcquireOrRenew(world.ctx) {
		t.Fatal("a rest has no end")
	}
}

// TestHolder_releasesOnlyWhatWasGranted counts the releases of a holder
// that asks in vain: what no voter granted need not be given back.
func TestHolder_releasesOnlyWhatWasGranted(t *testing.T) {
	top := scope.New(scope.Options{Clock: clock.NewFake()})
	for answer, want := range map[Outcome]int{NoneGranted: 0, MinorityGranted: 1} {
		released := 0
		holder := NewHolder(Options{Name: "plan", Address: "a", TTL: testTTL, RequestGrant: func(_ scope.Scope, asked Request) Outcome {
			if asked.Release {
				released++
			}
			return answer
		}})
		if holder.TryAcquireOrRenew(top) || released != want {
			t.Errorf("answer %d: released %d times", answer, released)
		}
	}
}
