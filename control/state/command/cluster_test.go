package command

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

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

func TestMain(m *testing.M) { proptest.Run(m) }

const (
	forwardTimeout = 375 * time.Millisecond
	commandTimeout = 900 * time.Millisecond
)

// cluster is three voting controllers, with links of 35 ms one way and a configurable
// disk delay. It runs in a synctest bubble, whose time is simulated.
type cluster struct {
	t           *testing.T
	ctx         scope.Scope
	nodes       map[ids.Address]*node
	mu          sync.Mutex
	partitioned map[ids.Address]bool
	diskDelay   time.Duration
	// intercepted holds, by receiver, the lists that collect forwarded commands instead
	// of delivering them.
	intercepted map[ids.Address]*[]Command
	// afterForward, if set, is called after a forwarded command other than a read was
	// executed. The forwarder then gets an error of kind errkind.NoQuorum.
	afterForward func()
}

// node is one controller of a cluster. It is its own network client and disk.
type node struct {
	cluster    *cluster
	address    ids.Address
	acceptor   *register.Acceptor
	proposer   *register.Proposer
	dispatcher *Dispatcher
	quorum     *quorum.Tracker
}

// Save saves nothing, after the cluster's disk delay.
func (n *node) Save([]byte) error { <-n.cluster.ctx.Clock.After(n.cluster.diskDelay); return nil }

func newCluster(t *testing.T, diskDelay time.Duration) *cluster {
	t.Helper()
	c := &cluster{
		t: t, ctx: scope.New(scope.Options{}), nodes: map[ids.Address]*node{},
		partitioned: map[ids.Address]bool{}, intercepted: map[ids.Address]*[]Command{},
	}
	voters := register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	for _, voter := range voters.Members {
		c.addNode(voter.Address, voters)
	}
	// The delay is set only now so that bootstrapping takes no time.
	c.diskDelay = diskDelay
	// Unanswered messages must time out before the bubble ends.
	t.Cleanup(func() { c.ctx.Wait(10 * time.Second) })
	return c
}

func (c *cluster) addNode(address ids.Address, voters register.VoterSet) {
	c.t.Helper()
	n := &node{cluster: c, address: address}
	c.nodes[address] = n
	var err error
	if n.acceptor, err = register.NewAcceptor(address, nil); err != nil {
		c.t.Fatal(err)
	}
	n.acceptor.Attach(n)
	if err := n.acceptor.Bootstrap(voters); err != nil {
		c.t.Fatal(err)
	}
	n.quorum = quorum.New(quorum.Options{
		Clock: c.ctx.Clock, Log: c.ctx.Log, Address: address, Voters: n.acceptor.Voters, MaxAge: forwardTimeout,
		Heartbeat: func(ctx context.Context, to ids.Address) (quorum.HeartbeatResponse, error) {
			return deliver(ctx, n, to, func(other *node) quorum.HeartbeatResponse { return other.quorum.Respond(c.ctx.Now()) })
		},
	})
	n.proposer = register.NewProposer(register.ProposerOptions{
		Clock: c.ctx.Clock, Log: c.ctx.Log,
		Address: address, Client: n, Voters: n.acceptor.Voters, MessageTimeout: 2 * time.Second,
		HighestEpoch: func(key string) int64 { return n.acceptor.Slot(key).Promised.Number },
	})
	n.dispatcher = New(Options{
		Clock: c.ctx.Clock, Log: c.ctx.Log,
		Address: address, Proposer: n.proposer, Acceptor: n.acceptor, Quorum: n.quorum,
		Membership: membership.NewTable(c.ctx.Clock, membership.Member{Address: address}),
		Updates:    gossip.NewStore(nil), ForwardTimeout: forwardTimeout, CommandTimeout: commandTimeout,
		TakeoverBackoff: func() time.Duration { return 0 }, Peers: n,
	})
}

func (c *cluster) connected(from ids.Address, to ids.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[from] == c.partitioned[to]
}

// setPartitioned isolates a controller from the others, or heals the partition.
func (c *cluster) setPartitioned(address ids.Address, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[address] = partitioned
}

// deliver delivers a message and its response. If a partition loses either, the
// sender waits until its context ends.
func deliver[Response any](ctx context.Context, from *node, to ids.Address, serve func(*node) Response) (Response, error) {
	const linkDelay = 35 * time.Millisecond
	var resp Response
	if from.address == to {
		return serve(from), nil
	}
	if from.cluster.connected(from.address, to) && clock.Wait(ctx, from.cluster.ctx.Clock, linkDelay) {
		resp = serve(from.cluster.nodes[to])
		if from.cluster.connected(from.address, to) && clock.Wait(ctx, from.cluster.ctx.Clock, linkDelay) {
			return resp, nil
		}
	}
	<-ctx.Done()
	return resp, ctx.Err()
}

func (n *node) Prepare(ctx context.Context, to ids.Address, req register.PrepareRequest) (register.PrepareResponse, error) {
	return deliver(ctx, n, to, func(other *node) register.PrepareResponse { return other.acceptor.Prepare(req) })
}

func (n *node) Accept(ctx context.Context, to ids.Address, req register.AcceptRequest) (register.AcceptResponse, error) {
	return deliver(ctx, n, to, func(other *node) register.AcceptResponse { return other.acceptor.Accept(req) })
}

func (n *node) Confirm(ctx context.Context, to ids.Address, req register.ConfirmRequest) (register.AcceptResponse, error) {
	return deliver(ctx, n, to, func(other *node) register.AcceptResponse { return other.acceptor.Confirm(req) })
}

func (n *node) Fetch(ctx context.Context, to ids.Address, req register.FetchRequest) (register.FetchResponse, error) {
	return deliver(ctx, n, to, func(other *node) register.FetchResponse { return other.acceptor.Fetch(req) })
}

// Forward delivers a command, unless commands to the receiver are intercepted.
func (n *node) Forward(ctx context.Context, to ids.Address, cmd Command) (Result, error) {
	n.cluster.mu.Lock()
	intercepted := n.cluster.intercepted[to]
	if intercepted != nil {
		*intercepted = append(*intercepted, cmd)
	}
	n.cluster.mu.Unlock()
	if intercepted != nil {
		<-ctx.Done()
		return Result{}, ctx.Err()
	}
	result, err := deliver(ctx, n, to, func(other *node) Result { return resultOf(other.dispatcher.HandleForwarded(ctx, cmd)) })
	n.cluster.mu.Lock()
	afterForward := n.cluster.afterForward
	n.cluster.mu.Unlock()
	if afterForward == nil || cmd.Verb == VerbRead || err != nil {
		return result, err
	}
	afterForward()
	return resultOf(nil, errkind.Errorf(errkind.NoQuorum, "too many voters refused")), nil
}

// intercept appends the commands that are forwarded to a controller from now on to
// collected, instead of delivering them. With nil they are delivered again.
func (c *cluster) intercept(to ids.Address, collected *[]Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intercepted[to] = collected
}

// dispatch dispatches a command on a controller and measures how long it takes.
func (c *cluster) dispatch(at ids.Address, cmd Command) (kind errkind.Kind, value []byte, elapsed time.Duration) {
	start := c.ctx.Now()
	value, err := c.nodes[at].dispatcher.Dispatch(c.ctx, cmd)
	return errkind.KindOf(err), value, c.ctx.Now().Since(start)
}

// mustDispatch dispatches a command, which must succeed, and returns the value.
func (c *cluster) mustDispatch(at ids.Address, cmd Command) []byte {
	c.t.Helper()
	kind, value, _ := c.dispatch(at, cmd)
	if kind != errkind.None {
		c.t.Fatalf("%s %s at %s: %v", cmd.Verb, cmd.Key, at, kind)
	}
	return value
}

// drained reports whether the zone is drained, as read through a controller.
func (c *cluster) drained(at ids.Address) bool {
	c.t.Helper()
	state, err := evacuation.Decode(c.mustDispatch(at, zoneCommand(VerbRead)))
	if err != nil {
		c.t.Fatal(err)
	}
	return state.Drained
}

// zoneCommand returns a command on the zone that all tests use.
func zoneCommand(verb string) Command { return Command{Key: evacuation.Key("hall"), Verb: verb} }

// putCommand returns a change that replaces the whole configuration on a base version.
func putCommand(base ids.Version, version int) Command {
	body := fmt.Sprintf(`{"config_version":%d,"routes":[],"services":[{"name":"s"}]}`, version)
	return Command{Key: config.Key, Verb: VerbChange, Change: store.Change{Full: true, BaseVersion: base, Body: []byte(body)}}
}
