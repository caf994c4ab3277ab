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

// forward brings an order to a voter: one without a vote does not know who owns
// a key, and would take it over for each call. While voters give no clear
// answer, the next is asked.
func (d *Desk) forward(ctx scope.Scope, order Order) ([]byte, error) {
	order.Forwarded = true
	seats := slices.Clone(d.options.Acceptor.Voters().Members)
	random.Shuffle(seats)
	for _, seat := range seats {
		member, known := d.options.Table.Find(seat.Address)
		if ctx.Err() != nil || (known && member.State != membership.Alive) {
			continue
		}
		outcome, err := d.pass(ctx, seat.Address, order, 2*d.options.Pass)
		if kind := errkind.Kind(outcome.Kind); err == nil && kind != errkind.Unsettled && kind != errkind.Internal {
			return outcome.Value, outcome.err()
		}
	}
	return nil, errkind.Of(errkind.Unsettled, "no voter answered")
}

// pass sends an order on, with its end in the receiver's own clock: no later
// than it is given up here, or would have to be begun by here.
func (d *Desk) pass(ctx scope.Scope, receiver ids.Address, order Order, span clock.Span) (Outcome, error) {
	if order.Until != (quorum.Deadline{}) {
		span = min(span, clock.Instant(order.Until.End).Since(ctx.Now()))
	}
	giveUp := ctx.Now().Add(span)
	brief, release := ctx.WithLimit(span)
	defer release()
	until, err := d.options.Contact.RemoteDeadline(brief, receiver, giveUp)
	if err != nil {
		return Outcome{}, err
	}
	order.Until, order.Change = until, order.Change.Packing()
	return d.options.Send(brief, receiver, order)
}

// owner finds who owns a key by what the own voter promised last.
func (d *Desk) owner(ctx scope.Scope, key string) (ids.Address, bool) {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	if owner == "" || owner == d.options.Address {
		return "", false
	}
	if member, known := d.options.Table.Find(owner); known && member.State != membership.Alive {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	until, quiet := d.silent[owner]
	return owner, !quiet || !ctx.Now().Before(until)
}

// mostBusy is how many orders in a row an owner may leave unanswered while it
// answers other questions.
const mostBusy = 3

// suspect notes that an owner left an order unanswered, and tells whether it is
// only busy: it answered some question that was sent meanwhile.
func (d *Desk) suspect(owner ids.Address, begin clock.Instant, now clock.Instant) (busy bool) {
	answered := d.options.Contact.LastContact(owner) > begin
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy[owner]++
	if answered && d.busy[owner] <= mostBusy {
		return true
	}
	delete(d.busy, owner)
	d.silent[owner] = now.Add(4 * d.options.Pass)
	return false
}

// answered notes that an owner answered an order.
func (d *Desk) answered(owner ids.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, owner)
}
