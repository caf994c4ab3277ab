package command

import (
	"fmt"
	"sync"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const (
	forwardTimeout = 375 * clock.Millisecond
	commandTimeout = 900 * clock.Millisecond
)

// cluster is three controllers on links of 35 ms and slow disks; it runs in a
// bubble of synctest, whose time is not real.
type cluster struct {
	t           *testing.T
	ctx         scope.Scope
	nodes       map[ids.Address]*node
	mu          sync.Mutex
	partitioned map[ids.Address]bool
	diskDelay   clock.Span
	// intercepted has orders to a controller kept by the network.
	intercepted map[ids.Address]*[]Command
	// afterForward is done once an order that was passed on has been acted on; its
	// answer is that it is unsettled then.
	afterForward func()
}

type node struct {
	cluster    *cluster
	address    ids.Address
	acceptor   *register.Acceptor
	proposer   *register.Proposer
	dispatcher *Dispatcher
	quorum     *quorum.Tracker
}

// Save takes as long as the world's disks do.
func (n *node) Save([]byte) error { <-n.cluster.ctx.Clock.After(n.cluster.diskDelay); return nil }

func newCluster(t *testing.T, disk clock.Span) *cluster {
	made := &cluster{t: t, ctx: scope.New(scope.Options{}), nodes: map[ids.Address]*node{}, partitioned: map[ids.Address]bool{}, intercepted: map[ids.Address]*[]Command{}}
	voters := register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	for _, seat := range voters.Members {
		made.addNode(seat.Address, voters)
	}
	made.diskDelay = disk
	// Messages that nobody answers run out before the bubble ends.
	t.Cleanup(func() { made.ctx.Wait(10 * clock.Second) })
	return made
}

func (c *cluster) addNode(address ids.Address, voters register.VoterSet) {
	made := &node{cluster: c, address: address}
	c.nodes[address] = made
	var err error
	if made.acceptor, err = register.NewAcceptor(address, nil); err != nil {
		c.t.Fatal(err)
	}
	made.acceptor.Attach(made)
	if err := made.acceptor.Bootstrap(voters); err != nil {
		c.t.Fatal(err)
	}
	made.quorum = quorum.New(quorum.Options{Address: address, Voters: made.acceptor.Voters, MaxAge: forwardTimeout, Heartbeat: func(ctx scope.Scope, to ids.Address) (quorum.HeartbeatResponse, error) {
		return deliver(made, ctx, to, func(other *node) quorum.HeartbeatResponse { return other.quorum.Respond(ctx.Now()) })
	}})
	made.proposer = register.NewProposer(register.ProposerOptions{
		Address: address, Client: made, Voters: made.acceptor.Voters, MessageTimeout: 2 * clock.Second,
		HighestEpoch: func(key string) int64 { return made.acceptor.Slot(key).Promised.Number },
	})
	made.dispatcher = New(Options{
		Address: address, Proposer: made.proposer, Acceptor: made.acceptor, Quorum: made.quorum,
		Membership: membership.NewTable(c.ctx.Clock, membership.Member{Address: address}),
		Updates:    gossip.NewStore(nil), ForwardTimeout: forwardTimeout, CommandTimeout: commandTimeout, TakeoverBackoff: func() clock.Span { return 0 }, Send: made.send,
	})
}

func (c *cluster) connected(from ids.Address, to ids.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[from] == c.partitioned[to]
}

// setPartitioned cuts a controller off from the others, or joins it again.
func (c *cluster) setPartitioned(address ids.Address, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[address] = off
}

// deliver brings a message there and its answer back; over a cut link neither
// comes, nor any word of it.
func deliver[Told any](from *node, ctx scope.Scope, to ids.Address, serve func(*node) Told) (Told, error) {
	const link = 35 * clock.Millisecond
	var told Told
	if from.address == to {
		return serve(from), nil
	}
	if from.cluster.connected(from.address, to) && ctx.Wait(link) {
		told = serve(from.cluster.nodes[to])
		if from.cluster.connected(from.address, to) && ctx.Wait(link) {
			return told, nil
		}
	}
	<-ctx.Done()
	return told, ctx.Err()
}

func (n *node) Promise(ctx scope.Scope, to ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.PrepareResponse { return other.acceptor.Prepare(asked) })
}

func (n *node) Accept(ctx scope.Scope, to ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.AcceptResponse { return other.acceptor.Accept(asked) })
}

func (n *node) Confirm(ctx scope.Scope, to ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.AcceptResponse { return other.acceptor.Confirm(asked) })
}

// send passes an order on, unless the network keeps those to the receiver.
func (n *node) send(ctx scope.Scope, to ids.Address, order Command) (Result, error) {
	n.cluster.mu.Lock()
	kept := n.cluster.intercepted[to]
	if kept != nil {
		*kept = append(*kept, order)
	}
	n.cluster.mu.Unlock()
	if kept != nil {
		<-ctx.Done()
		return Result{}, ctx.Err()
	}
	outcome, err := deliver(n, ctx, to, func(other *node) Result { return resultOf(other.dispatcher.HandleForwarded(ctx, order)) })
	n.cluster.mu.Lock()
	meddle := n.cluster.afterForward
	n.cluster.mu.Unlock()
	if meddle == nil || order.Verb == VerbRead || err != nil {
		return outcome, err
	}
	meddle()
	return resultOf(nil, errkind.Errorf(errkind.NoQuorum, "too many voters refused")), nil
}

// intercept has the network keep the orders to a controller from now on; it gives
// what was kept.
func (c *cluster) intercept(to ids.Address, kept *[]Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intercepted[to] = kept
}

// dispatch gives an order to a controller.
func (c *cluster) dispatch(to ids.Address, order Command) (errkind.Kind, []byte, clock.Span) {
	begin := c.ctx.Now()
	value, err := c.nodes[to].dispatcher.Dispatch(c.ctx, order)
	return errkind.KindOf(err), value, c.ctx.Now().Since(begin)
}

// mustDispatch gives an order that has to be acknowledged.
func (c *cluster) mustDispatch(to ids.Address, order Command) []byte {
	c.t.Helper()
	kind, value, _ := c.dispatch(to, order)
	if kind != errkind.None {
		c.t.Fatalf("%s %s at %s: %v", order.Verb, order.Key, to, kind)
	}
	return value
}

// drained tells whether the zone is being emptied.
func (c *cluster) drained(at ids.Address) bool {
	c.t.Helper()
	kept, err := evacuation.Decode(c.mustDispatch(at, zoneCommand(VerbRead)))
	if err != nil {
		c.t.Fatal(err)
	}
	return kept.Drained
}

func zoneCommand(verb string) Command { return Command{Key: evacuation.Key("hall"), Verb: verb} }

func putCommand(match ids.Serial, serial int) Command {
	body := fmt.Sprintf(`{"config_version":%d,"routes":[],"services":[{"name":"s"}]}`, serial)
	return Command{Key: config.Key, Verb: VerbChange, Change: store.Change{Full: true, BaseVersion: match, Body: []byte(body)}}
}
