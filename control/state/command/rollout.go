package command

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/control/transport"
)

// OrderRollout stores an operator's rollout order and returns once a majority holds it.
// After an error of kind errkind.NoQuorum the order may or may not have been stored. There
// is no verb for rollout orders, since other builds would not know it; so the order is not
// routed to the key's owner. Instead this controller takes over the key or, if it has no
// vote, has a voter do so.
func (d *Dispatcher) OrderRollout(ctx context.Context, order rollout.Order) error {
	if !d.options.Acceptor.Voting() {
		return d.forwardRolloutOrder(ctx, order)
	}
	_, err := d.Update(ctx, rollout.Key(order.Service), rollout.Begin(order))
	return err
}

// forwardRolloutOrder sends an order to one voter after another until one stores it or
// refuses it with errkind.RolloutConflict.
func (d *Dispatcher) forwardRolloutOrder(ctx context.Context, order rollout.Order) error {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	err := errkind.Errorf(errkind.NoQuorum, "no voter is known")
	req := rollout.OrderRequest(order)
	for _, member := range d.options.Acceptor.Voters().Members {
		attemptCtx, cancel := d.options.Clock.WithTimeout(ctx, d.options.ForwardTimeout)
		var result Result
		result, err = transport.Send[Result](attemptCtx, d.options.Transport, member.Address, rollout.OrderMessage, req)
		cancel()
		if err == nil {
			err = result.err()
		}
		if kind := errkind.KindOf(err); kind == errkind.None || kind == errkind.RolloutConflict {
			return err
		}
	}
	return errkind.Errorf(errkind.NoQuorum, "no voter stored the rollout order: %w", err)
}

// handleRolloutOrder stores a rollout order that a controller without a vote forwarded.
func (d *Dispatcher) handleRolloutOrder(ctx context.Context, req rollout.OrderRequest) (Result, error) {
	if !d.options.Acceptor.Voting() {
		return resultOf(nil, errkind.Errorf(errkind.NoQuorum, "this controller does not vote")), nil
	}
	return resultOf(nil, d.OrderRollout(ctx, rollout.Order(req))), nil
}

// ReadRollout returns the record of a service's rollout, as confirmed by a majority, or
// the zero Record if there is none. The caller names the service, so a key without a value
// is not acquired: each would stay on the disks for good.
func (d *Dispatcher) ReadRollout(ctx context.Context, service ids.Service) (rollout.Record, error) {
	if ok, err := d.hasValue(ctx, rollout.Key(service)); err != nil || !ok {
		return rollout.Record{}, err
	}
	value, err := d.Dispatch(ctx, Command{Key: rollout.Key(service), Verb: VerbRead})
	if err != nil {
		return rollout.Record{}, err
	}
	return rollout.Decode(service, value)
}

// hasValue reports whether a key may have a value. It asks the other voters only if this
// controller's disk has none.
func (d *Dispatcher) hasValue(ctx context.Context, key string) (bool, error) {
	if d.options.Acceptor.Slot(key).Accepted.Sequence > 0 {
		return true, nil
	}
	ctx, release, err := d.withQuorum(ctx)
	if err != nil {
		return false, err
	}
	defer release()
	return d.options.Proposer.HasValue(ctx, key)
}
