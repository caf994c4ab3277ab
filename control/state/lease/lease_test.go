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

const span = 3 * clock.Second

// world is three voters and three that want one duty.
type world struct {
	clock    *clock.Fake
	scope    scope.Scope
	granters []*Granter
	holders  []*Holder
	cut      map[[2]int]bool
	epoch    int64
	// slow has messages from a holder to a voter come later, from late.
	slow map[[2]int]bool
	late []func()
}

func newWorld() *world {
	made := &world{clock: clock.NewFake(), cut: map[[2]int]bool{}, slow: map[[2]int]bool{}}
	made.scope = scope.New(scope.Options{Clock: made.clock})
	for index := range 3 {
		made.granters = append(made.granters, made.granter())
		made.holders = append(made.holders, NewHolder(Options{
			Duty: "census", Address: ids.Address(fmt.Sprint(index)), Span: span,
			Ask: func(_ scope.Scope, asked Ask) Grants {
				granted := 0
				asked.Voters = 1
				for voter, granter := range made.granters {
					if made.slow[[2]int{index, voter}] {
						made.late = append(made.late, func() { made.granters[voter].Grant(asked) })
						continue
					}
					if !made.cut[[2]int{index, voter}] && granter.Grant(asked).Granted {
						granted++
					}
				}
				if granted > 1 {
					return Majority
				}
				return Fewer
			},
			Epoch: func(scope.Scope, string) (int64, error) { made.epoch++; return made.epoch, nil },
		}))
	}
	return made
}

func (w *world) granter() *Granter {
	return NewGranter(w.clock, span, func() (bool, int64) { return true, 1 })
}

func (w *world) held() []int {
	var found []int
	for index, holder := range w.holders {
		if _, held := holder.Held(w.clock.Now()); held {
			found = append(found, index)
		}
	}
	return found
}

// TestOneHolderAtATime cuts askers off from voters and starts voters anew, at
// any time: never do two hold the duty at once, and epochs only rise.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld()
		newest := int64(0)
		comes := func() {
			if len(world.late) > 0 {
				world.late[rapid.IntRange(0, len(world.late)-1).Draw(t, "late")]()
			}
		}
		for range rapid.IntRange(10, 120).Draw(t, "length") {
			index, voter := rapid.IntRange(0, 2).Draw(t, "asker"), rapid.IntRange(0, 2).Draw(t, "voter")
			events := []func(){
				func() { world.holders[index].Strive(world.scope) },
				func() { world.holders[index].Strive(world.scope) },
				func() { world.clock.Move(clock.Span(rapid.IntRange(1, 1500).Draw(t, "ms")) * clock.Millisecond) },
				func() { world.cut[[2]int{index, voter}] = rapid.Bool().Draw(t, "cut") },
				func() { world.granters[voter] = world.granter() },
				func() { world.holders[index].Release(world.scope) },
				func() { world.slow[[2]int{index, voter}] = rapid.Bool().Draw(t, "slow") },
				comes, comes,
			}
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			held := world.held()
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

// TestSplitVotesSettle has each asker grant itself first: what a minority
// granted must be given back, or nobody ever gains the duty.
func TestSplitVotesSettle(t *testing.T) {
	world := newWorld()
	world.clock.Move(span)
	for index, granter := range world.granters {
		if !granter.Grant(Ask{Duty: "census", Holder: ids.Address(fmt.Sprint(index)), Life: 1, Number: 1, Voters: 1}).Granted {
			t.Fatal("a voter did not grant itself")
		}
	}
	for range 12 {
		for _, holder := range world.holders {
			holder.Strive(world.scope)
		}
		if len(world.held()) == 1 {
			return
		}
		world.clock.Move(span / 3)
	}
	t.Fatal("nobody holds the duty")
}

func TestNewVoterGrantsNothingAtFirst(t *testing.T) {
	world := newWorld()
	if world.holders[0].Strive(world.scope) {
		t.Fatal("a voter that may have granted before granted again")
	}
	world.clock.Move(span)
	if !world.holders[0].Strive(world.scope) {
		t.Fatal("not granted after a whole span")
	}
	world.clock.Move(span * 95 / 100)
	if len(world.held()) != 0 {
		t.Fatal("the holder did not stop before the end")
	}
}

// TestRestingHolderLeavesTheDutyToOthers has a holder give the duty up for a span:
// another gains it at once, and the one that rests does not ask before its time.
func TestRestingHolderLeavesTheDutyToOthers(t *testing.T) {
	world := newWorld()
	world.clock.Move(span)
	if !world.holders[0].Strive(world.scope) {
		t.Fatal("nobody holds")
	}
	world.holders[0].Rest(world.scope, span)
	if world.holders[0].Strive(world.scope) {
		t.Fatal("one that rests strives")
	}
	if !world.holders[1].Strive(world.scope) {
		t.Fatal("the duty is not free")
	}
	world.holders[1].Release(world.scope)
	world.clock.Move(span)
	if !world.holders[0].Strive(world.scope) {
		t.Fatal("a rest has no end")
	}
}

// TestOneThatWasGrantedNothingGivesNothingBack counts the releases of a holder
// that asks in vain: what no voter granted need not be given back.
func TestOneThatWasGrantedNothingGivesNothingBack(t *testing.T) {
	top := scope.New(scope.Options{Clock: clock.NewFake()})
	for answer, want := range map[Grants]int{Nobody: 0, Fewer: 1} {
		released := 0
		holder := NewHolder(Options{Duty: "plan", Address: "a", Span: span, Ask: func(_ scope.Scope, asked Ask) Grants {
			if asked.Release {
				released++
			}
			return answer
		}})
		if holder.Strive(top) || released != want {
			t.Errorf("answer %d: released %d times", answer, released)
		}
	}
}
