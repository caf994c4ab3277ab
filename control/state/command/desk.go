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
	Address   ids.Address
	Keeper    *register.Proposer
	Acceptor  *register.Acceptor
	Table     *membership.Table
	News      *gossip.News
	Messenger *transport.Courier
	// Contact tells whether a majority of the voters hears this controller; by
	// default one is made.
	Contact *quorum.Tracker
	// Pass is how long an owner may take before it counts as silent.
	Pass clock.Span
	// Limit is how long an order may take in all.
	Limit clock.Span
	// Send sends an order on; by default the messenger does.
	Send func(inner scope.Scope, address ids.Address, order Order) (Outcome, error)
	// Pause is how long a taker waits first; by default a random part of Pass.
	Pause func() clock.Span
}

// Desk acts on orders or passes them on.
type Desk struct {
	options Options
	mu      sync.Mutex
	// silent says until when an owner counts as such, busy how many orders in a
	// row it left unanswered.
	silent map[ids.Address]clock.Instant
	busy   map[ids.Address]int
	pages  pages
}

// New makes a desk.
func New(options Options) *Desk {
	if options.Pause == nil {
		options.Pause = func() clock.Span { return random.Part(options.Pass / 4) }
	}
	if options.Send == nil {
		options.Send = func(ctx scope.Scope, address ids.Address, order Order) (Outcome, error) {
			return transport.Send[Outcome](ctx, options.Messenger, address, "order", order)
		}
	}
	if options.Contact == nil {
		options.Contact = quorum.New(quorum.Options{
			Address: options.Address, Voters: options.Acceptor.Voters, Transport: options.Messenger, MaxAge: options.Pass,
		})
	}
	return &Desk{options: options, silent: map[ids.Address]clock.Instant{}, busy: map[ids.Address]int{}}
}

// Serve adds the desk's message to a table of calls.
func (d *Desk) Serve(calls *httpcall.Table) {
	transport.Handle(calls, "order", func(ctx scope.Scope, order Order) (Outcome, error) {
		return outcomeOf(d.Passed(ctx, order)), nil
	})
}

// Passed takes an order that another controller passed on: one to the owner of
// its key is acted on only if the key is owned here.
func (d *Desk) Passed(ctx scope.Scope, order Order) ([]byte, error) {
	short, release := ctx.WithLimit(d.options.Limit)
	defer release()
	if order.Until == (quorum.Deadline{}) {
		return nil, errkind.Of(errkind.Unsettled, "an order that was passed on without an end")
	}
	if err := d.open(short, order); err != nil {
		return nil, err
	}
	if order.Forwarded {
		order.Forwarded = false
		return d.Do(short, order)
	}
	guarded, end, err := d.options.Contact.WithQuorum(short)
	if err != nil {
		return nil, err
	}
	defer end()
	return d.act(guarded, order, d.options.Keeper.UpdateIfOwned)
}

// open tells whether an order may still be begun.
func (d *Desk) open(ctx scope.Scope, order Order) error {
	if ctx.Err() != nil {
		return errkind.Of(errkind.Unsettled, "the caller is gone, or out of time")
	}
	if order.Until != (quorum.Deadline{}) && !d.options.Contact.WithinDeadline(order.Until, ctx.Now()) {
		return errkind.Of(errkind.Unsettled, "the order came too late")
	}
	return nil
}

// Do brings an order to the owner of its key and gives the register's value.
func (d *Desk) Do(ctx scope.Scope, order Order) ([]byte, error) {
	limited, release := ctx.WithLimit(d.options.Limit)
	defer release()
	short, end, err := d.options.Contact.WithQuorum(limited)
	if err != nil {
		return nil, err
	}
	defer end()
	return d.once(short, order)
}

// strive brings an order to the owner of its key as often as others take it
// over meanwhile.
func (d *Desk) strive(short scope.Scope, order Order) ([]byte, error) {
	for tries := 1; ; tries++ {
		value, err := d.bring(short, order, tries)
		settled := errkind.KindOf(err) != errkind.Unsettled
		if settled || short.Err() != nil || tries == mostTries || !d.outbid(order.Key) {
			return value, err
		}
	}
}

// mostTries is how often an order is brought to the owner of its key while
// others take the key over.
const mostTries = 8

// outbid tells whether the own voter promised the key to another last.
func (d *Desk) outbid(key string) bool {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	return owner != "" && owner != d.options.Address
}

// bring acts on an order where its key is owned here or has no owner that
// answers, and passes it to the owner otherwise.
//
// Takers hold each other up, and all of them the key's orders. So an owner that
// is only busy is left alone, a taker waits a random while first, longer with
// each try, and whoever finds then that another took the key goes to that one.
func (d *Desk) bring(short scope.Scope, order Order, tries int) ([]byte, error) {
	if d.options.Keeper.Owns(order.Key) {
		return d.act(short, order, d.options.Keeper.Update)
	}
	if !d.options.Acceptor.Voting() {
		return d.forward(short, order)
	}
	if owner, found := d.owner(short, order.Key); found {
		begin := short.Now()
		outcome, err := d.pass(short, owner, order, d.options.Pass)
		kind := errkind.Kind(outcome.Kind)
		if err == nil && kind != errkind.Unsettled && kind != errkind.Internal {
			d.answered(owner)
			return outcome.Value, outcome.err()
		}
		if err != nil && short.Err() == nil && d.suspect(owner, begin, short.Now()) {
			return nil, errkind.Of(errkind.Unsettled, "the owner of %s is busy", order.Key)
		}
	}
	before := d.options.Acceptor.Slot(order.Key).Promised
	if !short.Wait(clock.Span(min(tries, mostPauses)) * d.options.Pause()) {
		return nil, errkind.Of(errkind.Unsettled, "out of time")
	}
	if d.outbid(order.Key) && d.options.Acceptor.Slot(order.Key).Promised != before {
		return nil, errkind.Of(errkind.Unsettled, "another took %s meanwhile", order.Key)
	}
	return d.act(short, order, d.options.Keeper.Update)
}

// mostPauses is by how much a taker's pause grows at most.
const mostPauses = 3

// act carries an order out here, taking the key over where needed.
func (d *Desk) act(ctx scope.Scope, order Order, change func(scope.Scope, string, register.UpdateFunc) ([]byte, error)) ([]byte, error) {
	verb := verbs[order.Verb]
	if verb == nil {
		return nil, errkind.Of(errkind.UnknownCall, "verb %q", order.Verb)
	}
	// That the order may still be begun is looked at under the key's turn.
	carry := func(step register.UpdateFunc) ([]byte, error) {
		return change(ctx, order.Key, func(current []byte) ([]byte, error) {
			if err := d.open(ctx, order); err != nil {
				return nil, err
			}
			return step(current)
		})
	}
	return d.settle(ctx, order, carry, verb(order))
}
