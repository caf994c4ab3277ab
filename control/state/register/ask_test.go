package register

import (
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// TestDoubtfulIsNotWaitedFor asks three of whom one never answers in time: with a
// doubt of it the others' answers suffice at once; without one, or where they are
// too few, its whole limit is waited for.
func TestDoubtfulIsNotWaitedFor(t *testing.T) {
	for _, example := range []struct {
		text   string
		doubt  bool
		wanted int
		took   clock.Span
	}{
		{"in doubt", true, 2, 70 * clock.Millisecond},
		{"in doubt, but needed", true, 3, clock.Second},
		{"in no doubt", false, 2, clock.Second},
	} {
		t.Run(example.text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				top := scope.New(scope.Options{Clock: clock.Steady(), Boot: &settings.Boot{}})
				asker := &Joiner{Doubt: func(address ids.Address) bool { return example.doubt && address == "c" }}
				begin, taken := top.Now(), 0
				gather(asker, []ids.Address{"a", "b", "c"}, asker.doubted, func() bool { return taken >= example.wanted }, func(address ids.Address) (int, bool) {
					top.Wait(map[ids.Address]clock.Span{"a": clock.Millisecond, "b": 70 * clock.Millisecond, "c": clock.Second}[address])
					return 1, address != "c"
				}, func(_ ids.Address, told int) { taken += told })
				if took := top.Now().Since(begin); took != example.took || taken != 2 {
					t.Fatalf("%d answers were taken after %v, wanted 2 after %v", taken, took, example.took)
				}
				synctest.Wait()
				top.Wait(2 * clock.Second)
			})
		})
	}
}

// TestBidUnderWayIsWaitedFor has one that stands by find the voters' key promised
// to another who wrote nothing yet: it leaves the other time once, and goes on
// where the bid was given up.
func TestBidUnderWayIsWaitedFor(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		world := newWorld(rapidT, 1)
		world.calm = true
		voters := world.newest()
		for _, subject := range world.machines[:3] {
			subject.acceptor.Promise(PromiseAsk{Fence: voters.Fence(voters.Seats[0]), Key: CohortKey, Epoch: ids.Epoch{Number: 9, Owner: "b"}})
		}
		synctest.Test(t, func(*testing.T) {
			standBy := world.machines[3].joiner
			standBy.Answer = 300 * clock.Millisecond
			top := scope.New(scope.Options{Clock: clock.Steady(), Boot: &settings.Boot{}})
			spans := []clock.Span{}
			for range 2 {
				begin := top.Now()
				_ = standBy.Join(top)
				spans = append(spans, top.Now().Since(begin))
			}
			if spans[0] < standBy.Answer/2 || spans[0] > 2*standBy.Answer || spans[1] != 0 {
				rapidT.Fatalf("a bid was waited for during %v", spans)
			}
		})
	})
}

// TestChangedVotersAreNotBidFor has the voters change between a newcomer's
// question who they are and its learning: it does not bid for their key, which
// would stop whoever is on its way to a seat.
func TestChangedVotersAreNotBidFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 2)
		world.calm = true
		newcomer, rival := world.machines[3], world.machines[4]
		newcomer.joiner.hear(world.scope)
		voters := newcomer.acceptor.Voters()
		own := Seat{Address: rival.address, Incarnation: rival.acceptor.Incarnation(), Learning: true}
		if _, err := world.machines[0].keeper.Change(world.scope, CohortKey, world.machines[0].joiner.seating(voters, 3, own)); err != nil {
			t.Fatal(err)
		}
		promised := world.machines[1].acceptor.Slot(CohortKey).Promised
		if err := newcomer.joiner.step(world.scope, voters); err != nil {
			t.Fatalf("voters that changed are no fault: %v", err)
		}
		if now := world.machines[1].acceptor.Slot(CohortKey).Promised; now != promised || newcomer.acceptor.Voters().Generation != 2 {
			t.Fatalf("the newcomer bid %+v against %+v, voters %+v", now, promised, newcomer.acceptor.Voters())
		}
	})
}

// TestKeysOfOneThatWentAreTakenSoon has the owner of a key go for good while a
// voter lags, with its seat and after it lost it: the first of the voters takes
// the key over a round after it saw the lag; while the owner is there it is left
// to it.
func TestKeysOfOneThatWentAreTakenSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 2)
		world.calm = true
		world.runs(4)
		world.survey()
		seats := world.newest().Seats
		owner, behind := world.find(seats[rapid.IntRange(0, 1).Draw(t, "owner")].Address), world.find(seats[4].Address)
		behind.up = false
		world.write(owner, false)
		world.survey()
		behind.up = true
		owner.up = false
		if rapid.Bool().Draw(t, "replaced") {
			owner.gone = true
			world.runs(3)
		}
		for range 2 {
			world.survey()
		}
		for _, seat := range world.newest().Seats {
			if holder := world.find(seat.Address); holder.up && holder.acceptor.Slot("spec").Accepted.Sequence < world.newestOf("spec").Sequence {
				t.Fatalf("%s still lags", seat.Address)
			}
		}
	})
}

// TestNewcomerDoesNotWaitForTheMissed has a newcomer ask others of whom one never
// answers in time: who the voters are it takes from the first that tells, and one
// that a majority misses it does not wait for.
func TestNewcomerDoesNotWaitForTheMissed(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		world := newWorld(rapidT, 1)
		world.calm = true
		synctest.Test(t, func(*testing.T) {
			newcomer := world.machines[3].joiner
			top := scope.New(scope.Options{Clock: clock.Steady(), Boot: &settings.Boot{}})
			network := missing{Reach: newcomer.Reach, one: "c", turn: &sync.Mutex{}}
			newcomer.Reach, newcomer.Answer = network, 300*clock.Millisecond
			newcomer.Spawn = func(ask func()) {
				go func() {
					network.turn.Lock()
					defer network.turn.Unlock()
					ask()
				}()
			}
			begin := top.Now()
			newcomer.hear(top)
			if took := top.Now().Since(begin); took != 0 || newcomer.Acceptor.Voters().Generation != 1 || !newcomer.gone("c") {
				rapidT.Errorf("after %v the newcomer knows %+v, c gone: %v", took, newcomer.Acceptor.Voters(), newcomer.gone("c"))
			}
			top.Wait(clock.Second)
		})
	})
}

// missing is a network in which one never answers, and all others miss it.
type missing struct {
	Reach
	one ids.Address
	// turn has one question asked at a time, since the world knows one thread; the
	// question without an answer lets the others go on.
	turn *sync.Mutex
}

func (m missing) wait(ctx scope.Scope) {
	m.turn.Unlock()
	defer m.turn.Lock()
	<-ctx.Done()
}

func (m missing) Copy(ctx scope.Scope, address ids.Address, asked CopyAsk) (CopyTold, error) {
	if address == m.one {
		m.wait(ctx)
		return CopyTold{}, ctx.Err()
	}
	return m.Reach.Copy(ctx, address, asked)
}

func (m missing) Held(ctx scope.Scope, address ids.Address) (HeldTold, error) {
	if address == m.one {
		m.wait(ctx)
		return HeldTold{}, ctx.Err()
	}
	told, err := m.Reach.Held(ctx, address)
	told.Away = []ids.Address{m.one}
	return told, err
}
