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
	pass  = 375 * clock.Millisecond
	limit = 900 * clock.Millisecond
)

// world is three controllers on links of 35 ms and slow disks; it runs in a
// bubble of synctest, whose time is not real.
type world struct {
	t     *testing.T
	top   scope.Scope
	nodes map[ids.Address]*node
	mu    sync.Mutex
	cut   map[ids.Address]bool
	disk  clock.Span
	// held has orders to a controller kept by the network.
	held map[ids.Address]*[]Order
	// unsettled is done once an order that was passed on has been acted on; its
	// answer is that it is unsettled then.
	unsettled func()
}

type node struct {
	world   *world
	address ids.Address
	voter   *register.Acceptor
	keeper  *register.Proposer
	desk    *Desk
	contact *quorum.Tracker
}

// Save takes as long as the world's disks do.
func (n *node) Save([]byte) error { <-n.world.top.Clock.After(n.world.disk); return nil }

func newWorld(t *testing.T, disk clock.Span) *world {
	made := &world{t: t, top: scope.New(scope.Options{}), nodes: map[ids.Address]*node{}, cut: map[ids.Address]bool{}, held: map[ids.Address]*[]Order{}}
	voters := register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	for _, seat := range voters.Members {
		made.start(seat.Address, voters)
	}
	made.disk = disk
	// Messages that nobody answers run out before the bubble ends.
	t.Cleanup(func() { made.top.Wait(10 * clock.Second) })
	return made
}

func (w *world) start(address ids.Address, voters register.VoterSet) {
	made := &node{world: w, address: address}
	w.nodes[address] = made
	var err error
	if made.voter, err = register.NewAcceptor(address, nil); err != nil {
		w.t.Fatal(err)
	}
	made.voter.Attach(made)
	if err := made.voter.Bootstrap(voters); err != nil {
		w.t.Fatal(err)
	}
	made.contact = quorum.New(quorum.Options{Address: address, Voters: made.voter.Voters, MaxAge: pass, Heartbeat: func(ctx scope.Scope, to ids.Address) (quorum.HeartbeatResponse, error) {
		return deliver(made, ctx, to, func(other *node) quorum.HeartbeatResponse { return other.contact.Respond(ctx.Now()) })
	}})
	made.keeper = register.NewProposer(register.ProposerOptions{
		Address: address, Client: made, Voters: made.voter.Voters, MessageTimeout: 2 * clock.Second,
		HighestEpoch: func(key string) int64 { return made.voter.Slot(key).Promised.Number },
	})
	made.desk = New(Options{
		Address: address, Keeper: made.keeper, Acceptor: made.voter, Contact: made.contact,
		Table: membership.NewTable(w.top.Clock, membership.Member{Address: address}),
		News:  gossip.NewNews(nil), Pass: pass, Limit: limit, Pause: func() clock.Span { return 0 }, Send: made.send,
	})
}

func (w *world) reach(from ids.Address, to ids.Address) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[from] == w.cut[to]
}

// cutOff cuts a controller off from the others, or joins it again.
func (w *world) cutOff(address ids.Address, off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[address] = off
}

// deliver brings a message there and its answer back; over a cut link neither
// comes, nor any word of it.
func deliver[Told any](from *node, ctx scope.Scope, to ids.Address, serve func(*node) Told) (Told, error) {
	const link = 35 * clock.Millisecond
	var told Told
	if from.address == to {
		return serve(from), nil
	}
	if from.world.reach(from.address, to) && ctx.Wait(link) {
		told = serve(from.world.nodes[to])
		if from.world.reach(from.address, to) && ctx.Wait(link) {
			return told, nil
		}
	}
	<-ctx.Done()
	return told, ctx.Err()
}

func (n *node) Promise(ctx scope.Scope, to ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.PrepareResponse { return other.voter.Prepare(asked) })
}

func (n *node) Accept(ctx scope.Scope, to ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.AcceptResponse { return other.voter.Accept(asked) })
}

func (n *node) Confirm(ctx scope.Scope, to ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return deliver(n, ctx, to, func(other *node) register.AcceptResponse { return other.voter.Confirm(asked) })
}

// send passes an order on, unless the network keeps those to the receiver.
func (n *node) send(ctx scope.Scope, to ids.Address, order Order) (Outcome, error) {
	n.world.mu.Lock()
	kept := n.world.held[to]
	if kept != nil {
		*kept = append(*kept, order)
	}
	n.world.mu.Unlock()
	if kept != nil {
		<-ctx.Done()
		return Outcome{}, ctx.Err()
	}
	outcome, err := deliver(n, ctx, to, func(other *node) Outcome { return outcomeOf(other.desk.Passed(ctx, order)) })
	n.world.mu.Lock()
	meddle := n.world.unsettled
	n.world.mu.Unlock()
	if meddle == nil || order.Verb == VerbRead || err != nil {
		return outcome, err
	}
	meddle()
	return outcomeOf(nil, errkind.Of(errkind.Unsettled, "too many voters refused")), nil
}

// hold has the network keep the orders to a controller from now on; it gives
// what was kept.
func (w *world) hold(to ids.Address, kept *[]Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[to] = kept
}

// ask gives an order to a controller.
func (w *world) ask(to ids.Address, order Order) (errkind.Kind, []byte, clock.Span) {
	begin := w.top.Now()
	value, err := w.nodes[to].desk.Do(w.top, order)
	return errkind.KindOf(err), value, w.top.Now().Since(begin)
}

// must gives an order that has to be acknowledged.
func (w *world) must(to ids.Address, order Order) []byte {
	w.t.Helper()
	kind, value, _ := w.ask(to, order)
	if kind != errkind.None {
		w.t.Fatalf("%s %s at %s: %v", order.Verb, order.Key, to, kind)
	}
	return value
}

// empty tells whether the zone is being emptied.
func (w *world) empty(at ids.Address) bool {
	w.t.Helper()
	kept, err := evacuation.Read(w.must(at, zone(VerbRead)))
	if err != nil {
		w.t.Fatal(err)
	}
	return kept.Empty
}

func zone(verb string) Order { return Order{Key: evacuation.Key("hall"), Verb: verb} }

func put(match ids.Serial, serial int) Order {
	body := fmt.Sprintf(`{"config_version":%d,"routes":[],"services":[{"name":"s"}]}`, serial)
	return Order{Key: config.Key, Verb: VerbChange, Change: store.Change{Whole: true, Match: match, Body: []byte(body)}}
}
