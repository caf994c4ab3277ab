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

// TestGather_doesNotAwaitSuspected asks three of whom one never answers in time: with a
// doubt of it the others' answers suffice at once; without one, or where they are
// too few, its whole limit is waited for.
func TestGather_doesNotAwaitSuspected(t *testing.T) {
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
				top := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
				asker := &Joiner{Suspected: func(address ids.Address) bool { return example.doubt && address == "c" }}
				begin, taken := top.Now(), 0
				gatherUntil(asker, []ids.Address{"a", "b", "c"}, asker.suspected, func() bool { return taken >= example.wanted }, func(address ids.Address) (int, bool) {
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

// TestJoin_yieldsToPendingPrepare has one that stands by find the voters' key promised
// to another who wrote nothing yet: it leaves the other time once, and goes on
// where the bid was given up.
func TestJoin_yieldsToPendingPrepare(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		world := newCluster(rapidT, 1)
		world.faultFree = true
		voters := world.currentVoters()
		for _, subject := range world.nodes[:3] {
			subject.acceptor.Prepare(PrepareRequest{Fence: voters.FencingToken(voters.Members[0]), Key: VotersKey, Epoch: ids.Epoch{Number: 9, Owner: "b"}})
		}
		synctest.Test(t, func(*testing.T) {
			standBy := world.nodes[3].joiner
			standBy.RequestTimeout = 300 * clock.Millisecond
			top := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
			spans := []clock.Span{}
			for range 2 {
				begin := top.Now()
				_ = standBy.Join(top)
				spans = append(spans, top.Now().Since(begin))
			}
			if spans[0] < standBy.RequestTimeout/2 || spans[0] > 2*standBy.RequestTimeout || spans[1] != 0 {
				rapidT.Fatalf("a bid was waited for during %v", spans)
			}
		})
	})
}

// TestJoin_doesNotProposeAfterVotersChanged has the voters change between a newcomer's
// question who they are and its learning: it does not bid for their key, which
// would stop whoever is on its way to a seat.
func TestJoin_doesNotProposeAfterVotersChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		newcomer, rival := world.nodes[3], world.nodes[4]
		newcomer.joiner.discoverVoters(world.scope)
		voters := newcomer.acceptor.Voters()
		own := Member{Address: rival.address, Incarnation: rival.acceptor.Incarnation(), Learner: true}
		if _, err := world.nodes[0].proposer.Update(world.scope, VotersKey, world.nodes[0].joiner.replaceMember(voters, 3, own)); err != nil {
			t.Fatal(err)
		}
		promised := world.nodes[1].acceptor.Slot(VotersKey).Promised
		if err := newcomer.joiner.joinStep(world.scope, voters); err != nil {
			t.Fatalf("voters that changed are no fault: %v", err)
		}
		if now := world.nodes[1].acceptor.Slot(VotersKey).Promised; now != promised || newcomer.acceptor.Voters().Generation != 2 {
			t.Fatalf("the newcomer bid %+v against %+v, voters %+v", now, promised, newcomer.acceptor.Voters())
		}
	})
}

// TestRepairer_takesOverKeysOfLostOwner has the owner of a key go for good while a
// voter lags, with its seat and after it lost it: the first of the voters takes
// the key over a round after it saw the lag; while the owner is there it is left
// to it.
func TestRepairer_takesOverKeysOfLostOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(t, 2)
		world.faultFree = true
		world.joinAll(4)
		world.repairAll()
		seats := world.currentVoters().Members
		owner, behind := world.find(seats[rapid.IntRange(0, 1).Draw(t, "owner")].Address), world.find(seats[4].Address)
		behind.up = false
		world.update(owner, false)
		world.repairAll()
		behind.up = true
		owner.up = false
		if rapid.Bool().Draw(t, "replaced") {
			owner.replaceable = true
			world.joinAll(3)
		}
		for range 2 {
			world.repairAll()
		}
		for _, seat := range world.currentVoters().Members {
			if holder := world.find(seat.Address); holder.up && holder.acceptor.Slot("spec").Accepted.Sequence < world.newestProposal("spec").Sequence {
				t.Fatalf("%s still lags", seat.Address)
			}
		}
	})
}

// TestJoin_doesNotAwaitVotersMissedByMajority has a newcomer ask others of whom one never
// answers in time: who the voters are it takes from the first that tells, and one
// that a majority misses it does not wait for.
func TestJoin_doesNotAwaitVotersMissedByMajority(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		world := newCluster(rapidT, 1)
		world.faultFree = true
		synctest.Test(t, func(*testing.T) {
			newcomer := world.nodes[3].joiner
			top := scope.New(scope.Options{Clock: clock.NewMonotonic(), Settings: &settings.Settings{}})
			network := unresponsiveClient{ReplicaClient: newcomer.Replicas, unresponsive: "c", token: &sync.Mutex{}}
			newcomer.Replicas, newcomer.RequestTimeout = network, 300*clock.Millisecond
			newcomer.Spawn = func(ask func()) {
				go func() {
					network.token.Lock()
					defer network.token.Unlock()
					ask()
				}()
			}
			begin := top.Now()
			newcomer.discoverVoters(top)
			if took := top.Now().Since(begin); took != 0 || newcomer.Acceptor.Voters().Generation != 1 || !newcomer.replaceable("c") {
				rapidT.Errorf("after %v the newcomer knows %+v, c gone: %v", took, newcomer.Acceptor.Voters(), newcomer.replaceable("c"))
			}
			top.Wait(clock.Second)
		})
	})
}

// unresponsiveClient is a network in which one never answers, and all others miss it.
type unresponsiveClient struct {
	ReplicaClient
	unresponsive ids.Address
	// token has one question asked at a time, since the world knows one thread; the
	// question without an answer lets the others go on.
	token *sync.Mutex
}

func (u unresponsiveClient) waitForTimeout(ctx scope.Scope) {
	u.token.Unlock()
	defer u.token.Lock()
	<-ctx.Done()
}

func (u unresponsiveClient) Copy(ctx scope.Scope, address ids.Address, asked FetchRequest) (FetchResponse, error) {
	if address == u.unresponsive {
		u.waitForTimeout(ctx)
		return FetchResponse{}, ctx.Err()
	}
	return u.ReplicaClient.Copy(ctx, address, asked)
}

func (u unresponsiveClient) Held(ctx scope.Scope, address ids.Address) (DigestResponse, error) {
	if address == u.unresponsive {
		u.waitForTimeout(ctx)
		return DigestResponse{}, ctx.Err()
	}
	told, err := u.ReplicaClient.Held(ctx, address)
	told.Unreachable = []ids.Address{u.unresponsive}
	return told, err
}
