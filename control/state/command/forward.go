package command

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
	"onyxwell/control/state/quorum"
)

// forwardToVoter brings an order to a voter: one without a vote does not know who owns
// a key, and would take it over for each call. While voters give no clear
// answer, the next is asked.
func (d *Dispatcher) forwardToVoter(ctx scope.Scope, order Command) ([]byte, error) {
	order.FromNonVoter = true
	seats := slices.Clone(d.options.Acceptor.Voters().Members)
	random.Shuffle(seats)
	for _, seat := range seats {
		member, known := d.options.Membership.Find(seat.Address)
		if ctx.Err() != nil || (known && member.State != membership.Alive) {
			continue
		}
		outcome, err := d.forwardTo(ctx, seat.Address, order, 2*d.options.ForwardTimeout)
		if kind := errkind.Kind(outcome.Kind); err == nil && kind != errkind.NoQuorum && kind != errkind.Internal {
			return outcome.Value, outcome.err()
		}
	}
	return nil, errkind.Errorf(errkind.NoQuorum, "no voter answered")
}

// forwardTo sends an order on, with its end in the receiver's own clock: no later
// than it is given up here, or would have to be begun by here.
func (d *Dispatcher) forwardTo(ctx scope.Scope, receiver ids.Address, order Command, span clock.Span) (Result, error) {
	if order.Deadline != (quorum.Deadline{}) {
		span = min(span, clock.Instant(order.Deadline.End).Since(ctx.Now()))
	}
	giveUp := ctx.Now().Add(span)
	brief, release := ctx.WithTimeout(span)
	defer release()
	until, err := d.options.Quorum.RemoteDeadline(brief, receiver, giveUp)
	if err != nil {
		return Result{}, err
	}
	order.Deadline, order.Change = until, order.Change.Compress()
	return d.options.Send(brief, receiver, order)
}

// reachableOwner finds who owns a key by what the own voter promised last.
func (d *Dispatcher) reachableOwner(ctx scope.Scope, key string) (ids.Address, bool) {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	if owner == "" || owner == d.options.Address {
		return "", false
	}
	if member, known := d.options.Membership.Find(owner); known && member.State != membership.Alive {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	until, quiet := d.suspectedUntil[owner]
	return owner, !quiet || !ctx.Now().Before(until)
}

// maxUnanswered is how many orders in a row an owner may leave unanswered while it
// answers other questions.
const maxUnanswered = 3

// recordUnanswered notes that an owner left an order unanswered, and tells whether it is
// only busy: it answered some question that was sent meanwhile.
func (d *Dispatcher) recordUnanswered(owner ids.Address, begin clock.Instant, now clock.Instant) (busy bool) {
	answered := d.options.Quorum.LastContact(owner) > begin
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered[owner]++
	if answered && d.unanswered[owner] <= maxUnanswered {
		return true
	}
	delete(d.unanswered, owner)
	d.suspectedUntil[owner] = now.Add(4 * d.options.ForwardTimeout)
	return false
}

// recordAnswer notes that an owner answered an order.
func (d *Dispatcher) recordAnswer(owner ids.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unanswered, owner)
}
