// Package command takes the operator's orders: the owner of a key acts on them,
// everybody else passes them on, and takes the key over when its owner is
// silent.
//
// An order is begun only in contact with a majority of the voters, and ends
// when contact is lost. One that was passed on never comes back as a ghost,
// after its passer gave it up and others went on:
//   - whoever is passed an order acts on it only if it owns the key, and takes
//     no key over for it;
//   - it is not begun after its end, looked at under the key's turn. So it is
//     begun before the passer gives up, if ever. From then on, whatever is done
//     by the same owner waits for its turn to end, and whatever is done by
//     another was preceded by a takeover, whose higher epoch the voters hold
//     against what the earlier owner still sends.
package command

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Options are what a desk is made from.
type Options struct {
	Address    ids.Address
	Proposer   *register.Proposer
	Acceptor   *register.Acceptor
	Membership *membership.Table
	Updates    *gossip.Store
	Transport  *transport.Client
	// Quorum tells whether a majority of the voters hears this controller; by
	// default one is made.
	Quorum *quorum.Tracker
	// ForwardTimeout is how long an owner may take before it counts as silent.
	ForwardTimeout clock.Span
	// CommandTimeout is how long an order may take in all.
	CommandTimeout clock.Span
	// Send sends an order on; by default the messenger does.
	Send func(inner scope.Scope, address ids.Address, order Command) (Result, error)
	// TakeoverBackoff is how long a taker waits first; by default a random part of Pass.
	TakeoverBackoff func() clock.Span
}

// Dispatcher acts on orders or passes them on.
type Dispatcher struct {
	options Options
	mu      sync.Mutex
	// suspectedUntil says until when an owner counts as such, busy how many orders in a
	// row it left unanswered.
	suspectedUntil map[ids.Address]clock.Instant
	unanswered     map[ids.Address]int
	chunks         chunkProgress
}

// New makes a desk.
func New(options Options) *Dispatcher {
	if options.TakeoverBackoff == nil {
		options.TakeoverBackoff = func() clock.Span { return random.Duration(options.ForwardTimeout / 4) }
	}
	if options.Send == nil {
		options.Send = func(ctx scope.Scope, address ids.Address, order Command) (Result, error) {
			return transport.Send[Result](ctx, options.Transport, address, "order", order)
		}
	}
	if options.Quorum == nil {
		options.Quorum = quorum.New(quorum.Options{
			Address: options.Address, Voters: options.Acceptor.Voters, Transport: options.Transport, MaxAge: options.ForwardTimeout,
		})
	}
	return &Dispatcher{options: options, suspectedUntil: map[ids.Address]clock.Instant{}, unanswered: map[ids.Address]int{}}
}

// Serve adds the desk's message to a table of calls.
func (d *Dispatcher) Serve(calls *httpcall.Mux) {
	transport.Handle(calls, "order", func(ctx scope.Scope, order Command) (Result, error) {
		return resultOf(d.HandleForwarded(ctx, order)), nil
	})
}

// HandleForwarded takes an order that another controller passed on: one to the owner of
// its key is acted on only if the key is owned here.
func (d *Dispatcher) HandleForwarded(ctx scope.Scope, order Command) ([]byte, error) {
	short, release := ctx.WithTimeout(d.options.CommandTimeout)
	defer release()
	if order.Deadline == (quorum.Deadline{}) {
		return nil, errkind.Errorf(errkind.NoQuorum, "an order that was passed on without an end")
	}
	if err := d.checkDeadline(short, order); err != nil {
		return nil, err
	}
	if order.FromNonVoter {
		order.FromNonVoter = false
		return d.Dispatch(short, order)
	}
	guarded, end, err := d.options.Quorum.WithQuorum(short)
	if err != nil {
		return nil, err
	}
	defer end()
	return d.execute(guarded, order, d.options.Proposer.UpdateIfOwned)
}

// checkDeadline tells whether an order may still be begun.
func (d *Dispatcher) checkDeadline(ctx scope.Scope, order Command) error {
	if ctx.Err() != nil {
		return errkind.Errorf(errkind.NoQuorum, "the caller is gone, or out of time")
	}
	if order.Deadline != (quorum.Deadline{}) && !d.options.Quorum.WithinDeadline(order.Deadline, ctx.Now()) {
		return errkind.Errorf(errkind.NoQuorum, "the order came too late")
	}
	return nil
}

// Dispatch brings an order to the owner of its key and gives the register's value.
func (d *Dispatcher) Dispatch(ctx scope.Scope, order Command) ([]byte, error) {
	limited, release := ctx.WithTimeout(d.options.CommandTimeout)
	defer release()
	short, end, err := d.options.Quorum.WithQuorum(limited)
	if err != nil {
		return nil, err
	}
	defer end()
	return d.dispatchOnce(short, order)
}

// routeWithRetries brings an order to the owner of its key as often as others take it
// over meanwhile.
func (d *Dispatcher) routeWithRetries(short scope.Scope, order Command) ([]byte, error) {
	for tries := 1; ; tries++ {
		value, err := d.route(short, order, tries)
		settled := errkind.KindOf(err) != errkind.NoQuorum
		if settled || short.Err() != nil || tries == maxAttempts || !d.preempted(order.Key) {
			return value, err
		}
	}
}

// maxAttempts is how often an order is brought to the owner of its key while
// others take the key over.
const maxAttempts = 8

// preempted tells whether the own voter promised the key to another last.
func (d *Dispatcher) preempted(key string) bool {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	return owner != "" && owner != d.options.Address
}

// route acts on an order where its key is owned here or has no owner that
// answers, and passes it to the owner otherwise.
//
// Takers hold each other up, and all of them the key's orders. So an owner that
// is only busy is left alone, a taker waits a random while first, longer with
// each try, and whoever finds then that another took the key goes to that one.
func (d *Dispatcher) route(short scope.Scope, order Command, tries int) ([]byte, error) {
	if d.options.Proposer.Owns(order.Key) {
		return d.execute(short, order, d.options.Proposer.Update)
	}
	if !d.options.Acceptor.Voting() {
		return d.forwardToVoter(short, order)
	}
	if owner, found := d.reachableOwner(short, order.Key); found {
		begin := short.Now()
		outcome, err := d.forwardTo(short, owner, order, d.options.ForwardTimeout)
		kind := errkind.Kind(outcome.Kind)
		if err == nil && kind != errkind.NoQuorum && kind != errkind.Internal {
			d.recordAnswer(owner)
			return outcome.Value, outcome.err()
		}
		if err != nil && short.Err() == nil && d.recordUnanswered(owner, begin, short.Now()) {
			return nil, errkind.Errorf(errkind.NoQuorum, "the owner of %s is busy", order.Key)
		}
	}
	before := d.options.Acceptor.Slot(order.Key).Promised
	if !short.Wait(clock.Span(min(tries, maxBackoffFactor)) * d.options.TakeoverBackoff()) {
		return nil, errkind.Errorf(errkind.NoQuorum, "out of time")
	}
	if d.preempted(order.Key) && d.options.Acceptor.Slot(order.Key).Promised != before {
		return nil, errkind.Errorf(errkind.NoQuorum, "another took %s meanwhile", order.Key)
	}
	return d.execute(short, order, d.options.Proposer.Update)
}

// maxBackoffFactor is by how much a taker's pause grows at most.
const maxBackoffFactor = 3

// execute carries an order out here, taking the key over where needed.
func (d *Dispatcher) execute(ctx scope.Scope, order Command, change func(scope.Scope, string, register.UpdateFunc) ([]byte, error)) ([]byte, error) {
	verb := stepsByVerb[order.Verb]
	if verb == nil {
		return nil, errkind.Errorf(errkind.UnknownCall, "verb %q", order.Verb)
	}
	// That the order may still be begun is looked at under the key's turn.
	carry := func(step register.UpdateFunc) ([]byte, error) {
		return change(ctx, order.Key, func(current []byte) ([]byte, error) {
			if err := d.checkDeadline(ctx, order); err != nil {
				return nil, err
			}
			return step(current)
		})
	}
	return d.commit(ctx, order, carry, verb(order))
}
