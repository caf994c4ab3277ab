package command

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

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

// discardDisk is a disk that saves nothing.
type discardDisk struct{}

func (discardDisk) Save([]byte) error { return nil }

// lossyCluster is three voters with a dispatcher each. Messages are delivered
// synchronously, except those for which dropMessage returns true.
type lossyCluster struct {
	t           testingT
	ctx         scope.Scope
	voters      register.VoterSet
	acceptors   map[ids.Address]*register.Acceptor
	dispatchers map[ids.Address]*Dispatcher
	dropMessage func() bool
	// inTransit is called for each request, before it is delivered or lost.
	inTransit func()
	// messages counts the requests that were sent.
	messages int
}

// testingT is the common interface of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, values ...any)
}

var errLost = errors.New("the message was lost")

// deliverLossy delivers a request and its response, unless either is lost.
func deliverLossy[Response any](c *lossyCluster, to ids.Address, serve func(*register.Acceptor) Response) (Response, error) {
	var none Response
	c.messages++
	c.inTransit()
	if c.dropMessage() {
		return none, errLost
	}
	resp := serve(c.acceptors[to])
	if c.dropMessage() {
		return none, errLost
	}
	return resp, nil
}

func (l *lossyCluster) Prepare(_ context.Context, address ids.Address, req register.PrepareRequest) (register.PrepareResponse, error) {
	return deliverLossy(l, address, func(acceptor *register.Acceptor) register.PrepareResponse { return acceptor.Prepare(req) })
}

func (l *lossyCluster) Accept(_ context.Context, address ids.Address, req register.AcceptRequest) (register.AcceptResponse, error) {
	return deliverLossy(l, address, func(acceptor *register.Acceptor) register.AcceptResponse { return acceptor.Accept(req) })
}

func (l *lossyCluster) Confirm(_ context.Context, address ids.Address, req register.ConfirmRequest) (register.AcceptResponse, error) {
	return deliverLossy(l, address, func(acceptor *register.Acceptor) register.AcceptResponse { return acceptor.Confirm(req) })
}

func (l *lossyCluster) Fetch(_ context.Context, address ids.Address, req register.FetchRequest) (register.FetchResponse, error) {
	return deliverLossy(l, address, func(acceptor *register.Acceptor) register.FetchResponse { return acceptor.Fetch(req) })
}

var controllerNames = []ids.Address{"a", "b", "c"}

func newLossyCluster(t testingT) *lossyCluster {
	t.Helper()
	c := &lossyCluster{
		t: t, ctx: scope.New(scope.Options{Clock: clock.NewFake()}), dropMessage: func() bool { return false }, inTransit: func() {},
		acceptors: map[ids.Address]*register.Acceptor{}, dispatchers: map[ids.Address]*Dispatcher{},
	}
	c.voters = register.VoterSet{Generation: 1}
	for _, name := range controllerNames {
		c.voters.Members = append(c.voters.Members, register.Member{Address: name})
	}
	for _, name := range controllerNames {
		acceptor, err := register.NewAcceptor(name, nil)
		if err != nil {
			t.Fatalf("%v", err)
		}
		acceptor.Attach(discardDisk{})
		if err := acceptor.Bootstrap(c.voters); err != nil {
			t.Fatalf("%v", err)
		}
		c.acceptors[name] = acceptor
		proposer := register.NewProposer(register.ProposerOptions{
			Clock: c.ctx.Clock, Log: c.ctx.Log,
			Address: name, Client: c, Voters: acceptor.Voters, MessageTimeout: time.Second,
			HighestEpoch: func(key string) int64 { return acceptor.Slot(key).Promised.Number },
			Spawn:        func(send func()) { send() },
		})
		table := membership.NewTable(c.ctx.Clock, membership.Member{Address: name})
		for _, other := range controllerNames {
			if other != name {
				// With all others removed, a controller never forwards a command but
				// takes over the key.
				table.Merge([]membership.Member{{Address: other, State: membership.Removed, Incarnation: 1}})
			}
		}
		c.dispatchers[name] = New(Options{
			Clock: c.ctx.Clock, Log: c.ctx.Log,
			// Only the register's messages are lost, never heartbeats.
			Quorum: quorum.New(quorum.Options{
				Clock: c.ctx.Clock, Log: c.ctx.Log, Address: name, Voters: acceptor.Voters, MaxAge: time.Second,
				Heartbeat: func(context.Context, ids.Address) (quorum.HeartbeatResponse, error) {
					return quorum.HeartbeatResponse{Incarnation: 1}, nil
				},
			}),
			Address: name, Proposer: proposer, Acceptor: acceptor, Membership: table, Updates: gossip.NewStore(nil),
			ForwardTimeout: 4, CommandTimeout: time.Second, TakeoverBackoff: func() time.Duration { return 0 },
		})
	}
	return c
}

// initialConfig is the first configuration, to which all changes are applied.
const initialConfig = `{"config_version":1,"routes":[],"services":[{"name":"s"}]}`

// patchChange returns a change that sets a version and a mark.
func patchChange(base ids.Version, version ids.Version, mark string) store.Change {
	return store.Change{BaseVersion: base, Body: fmt.Appendf(nil, `{"config_version":%d,"changes":{"mark":%q}}`, version, mark)}
}

// longHistory returns a configuration record with many changes, none of them sealed,
// and these changes.
var longHistory = sync.OnceValue(func() (history struct {
	value   []byte
	changes []store.Change
}) {
	history.changes = []store.Change{{Full: true, Body: []byte(initialConfig)}}
	for version := range ids.Version(800) {
		history.changes = append(history.changes, patchChange(version+1, version+2, ""))
	}
	for _, change := range history.changes {
		history.value, _ = change.Apply(history.value)
	}
	return history
})

// seedHistory has all voters accept longHistory, and returns its changes.
func (l *lossyCluster) seedHistory() []store.Change {
	for _, voter := range l.voters.Members {
		l.acceptors[voter.Address].Accept(register.AcceptRequest{
			Fence: l.voters.FencingToken(voter), Key: config.Key,
			Proposal: register.Proposal{Epoch: ids.Epoch{Number: 1, Owner: "a"}, Sequence: 1, Value: longHistory().value},
		})
	}
	return longHistory().changes
}

// dispatchChange dispatches a configuration change on a controller.
func (l *lossyCluster) dispatchChange(name ids.Address, change store.Change) errkind.Kind {
	_, err := l.dispatchers[name].Dispatch(l.ctx, Command{Key: config.Key, Verb: VerbChange, Change: change})
	return errkind.KindOf(err)
}

// dispatchUntilDecided dispatches a change up to three times, until its outcome is
// known. A former owner of the key learns of the takeover only when its first
// confirmation fails.
func (l *lossyCluster) dispatchUntilDecided(name ids.Address, change store.Change) errkind.Kind {
	kind := errkind.NoQuorum
	for attempt := 0; attempt < 3 && kind == errkind.NoQuorum; attempt++ {
		kind = l.dispatchChange(name, change)
	}
	return kind
}

// countChunks returns the number of chunks that a voter holds.
func (l *lossyCluster) countChunks(name ids.Address) int {
	count := 0
	for _, slot := range l.acceptors[name].Fetch(register.FetchRequest{}).Slots {
		if strings.HasPrefix(slot.Key, store.ChunkKeyPrefix) && len(slot.Accepted.Value) > 0 {
			count++
		}
	}
	return count
}
