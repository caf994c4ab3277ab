package command

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// discardDisk takes every record.
type discardDisk struct{}

func (discardDisk) Save([]byte) error { return nil }

// lossyCluster is three voters with a desk each, and a line between them that loses
// messages and answers as it is told.
type lossyCluster struct {
	t           testingT
	ctx         scope.Scope
	voters      register.VoterSet
	acceptors   map[ids.Address]*register.Acceptor
	dispatchers map[ids.Address]*Dispatcher
	dropMessage func() bool
	// inTransit may do something else while a message is on its way.
	inTransit func()
	messages  int
}

type testingT interface {
	Fatalf(format string, values ...any)
}

var errLost = errors.New("the message was lost")

func deliverLossy[Told any](house *lossyCluster, address ids.Address, act func(*register.Acceptor) Told) (Told, error) {
	var nothing Told
	house.messages++
	house.inTransit()
	if house.dropMessage() {
		return nothing, errLost
	}
	told := act(house.acceptors[address])
	if house.dropMessage() {
		return nothing, errLost
	}
	return told, nil
}

func (l *lossyCluster) Promise(_ scope.Scope, address ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return deliverLossy(l, address, func(voter *register.Acceptor) register.PrepareResponse { return voter.Prepare(asked) })
}

func (l *lossyCluster) Accept(_ scope.Scope, address ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return deliverLossy(l, address, func(voter *register.Acceptor) register.AcceptResponse { return voter.Accept(asked) })
}

func (l *lossyCluster) Confirm(_ scope.Scope, address ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return deliverLossy(l, address, func(voter *register.Acceptor) register.AcceptResponse { return voter.Confirm(asked) })
}

var names = []ids.Address{"a", "b", "c"}

func newLossyCluster(t testingT) *lossyCluster {
	made := &lossyCluster{
		t: t, ctx: scope.New(scope.Options{Clock: clock.NewFake()}), dropMessage: func() bool { return false }, inTransit: func() {},
		acceptors: map[ids.Address]*register.Acceptor{}, dispatchers: map[ids.Address]*Dispatcher{},
	}
	made.voters = register.VoterSet{Generation: 1}
	for _, name := range names {
		made.voters.Members = append(made.voters.Members, register.Member{Address: name})
	}
	for _, name := range names {
		voter, err := register.NewAcceptor(name, nil)
		if err != nil {
			t.Fatalf("%v", err)
		}
		voter.Attach(discardDisk{})
		if err := voter.Bootstrap(made.voters); err != nil {
			t.Fatalf("%v", err)
		}
		made.acceptors[name] = voter
		keeper := register.NewProposer(register.ProposerOptions{
			Address: name, Client: made, Voters: voter.Voters, MessageTimeout: clock.Second,
			HighestEpoch: func(key string) int64 { return voter.Slot(key).Promised.Number },
			Spawn:        func(send func()) { send() },
		})
		table := membership.NewTable(made.ctx.Clock, membership.Member{Address: name})
		for _, other := range names {
			if other != name {
				// Owners are never asked: whoever gets an order takes the key over.
				table.Merge([]membership.Member{{Address: other, State: membership.Removed, Incarnation: 1}})
			}
		}
		made.dispatchers[name] = New(Options{
			// The registers' messages get lost; contact is always had.
			Quorum: quorum.New(quorum.Options{Address: name, Voters: voter.Voters, MaxAge: clock.Second, Heartbeat: func(scope.Scope, ids.Address) (quorum.HeartbeatResponse, error) {
				return quorum.HeartbeatResponse{Incarnation: 1}, nil
			}}),

			Address: name, Proposer: keeper, Acceptor: voter, Membership: table, Updates: gossip.NewStore(nil),
			ForwardTimeout: 4, CommandTimeout: clock.Second, TakeoverBackoff: func() clock.Span { return 0 },
		})
	}
	return made
}

// initialConfig is the configuration that all changes here build on.
const initialConfig = `{"config_version":1,"routes":[],"services":[{"name":"s"}]}`

func patchChange(match ids.Serial, serial ids.Serial, mark string) store.Change {
	return store.Change{BaseVersion: match, Body: fmt.Appendf(nil, `{"config_version":%d,"changes":{"mark":%q}}`, serial, mark)}
}

// longHistory is a spec after many changes, none of them sealed.
var longHistory = sync.OnceValue(func() (made struct {
	value []byte
	taken []store.Change
}) {
	made.taken = []store.Change{{Full: true, Body: []byte(initialConfig)}}
	for serial := range ids.Serial(800) {
		made.taken = append(made.taken, patchChange(serial+1, serial+2, ""))
	}
	for _, change := range made.taken {
		made.value, _ = change.Apply(made.value)
	}
	return made
})

// seedHistory gives the voters the grown spec, as one that a majority holds.
func (l *lossyCluster) seedHistory() []store.Change {
	for _, seat := range l.voters.Members {
		l.acceptors[seat.Address].Accept(register.AcceptRequest{
			Fence: l.voters.FencingToken(seat), Key: config.Key,
			Proposal: register.Proposal{Epoch: ids.Epoch{Number: 1, Owner: "a"}, Sequence: 1, Value: longHistory().value},
		})
	}
	return longHistory().taken
}

func (l *lossyCluster) dispatchChange(name ids.Address, change store.Change) errkind.Kind {
	_, err := l.dispatchers[name].Dispatch(l.ctx, Command{Key: config.Key, Verb: VerbChange, Change: change})
	return errkind.KindOf(err)
}

// dispatchUntilDecided sends an order again while there is no clear answer: one who was the
// owner of a key finds out at its first confirmation that it isn't any more.
func (l *lossyCluster) dispatchUntilDecided(name ids.Address, change store.Change) errkind.Kind {
	kind := errkind.NoQuorum
	for try := 0; try < 3 && kind == errkind.NoQuorum; try++ {
		kind = l.dispatchChange(name, change)
	}
	return kind
}

// countChunks counts the pages that a voter holds.
func (l *lossyCluster) countChunks(name ids.Address) int {
	count := 0
	for _, slot := range l.acceptors[name].Fetch(register.FetchRequest{}).Slots {
		if strings.HasPrefix(slot.Key, store.ChunkKeyPrefix) && len(slot.Accepted.Value) > 0 {
			count++
		}
	}
	return count
}
