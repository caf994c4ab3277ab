package desk

import (
	"slices"

	"onyxwell/base/chance"
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/contact"
)

// forward brings an order to a voter: one without a vote does not know who owns
// a key, and would take it over for each call. While voters give no clear
// answer, the next is asked.
func (desk *Desk) forward(inner scope.Scope, order Order) ([]byte, error) {
	order.Forwarded = true
	seats := slices.Clone(desk.options.Acceptor.Voters().Seats)
	chance.Shuffle(seats)
	for _, seat := range seats {
		member, known := desk.options.Table.Find(seat.Address)
		if inner.Err() != nil || (known && member.State != cohort.Alive) {
			continue
		}
		outcome, err := desk.pass(inner, seat.Address, order, 2*desk.options.Pass)
		if kind := failure.Kind(outcome.Kind); err == nil && kind != failure.Unsettled && kind != failure.Internal {
			return outcome.Value, outcome.err()
		}
	}
	return nil, failure.Of(failure.Unsettled, "no voter answered")
}

// pass sends an order on, with its end in the receiver's own clock: no later
// than it is given up here, or would have to be begun by here.
func (desk *Desk) pass(inner scope.Scope, receiver ids.Address, order Order, span clock.Span) (Outcome, error) {
	if order.Until != (contact.Stamp{}) {
		span = min(span, clock.Instant(order.Until.End).Since(inner.Now()))
	}
	giveUp := inner.Now().Add(span)
	brief, release := inner.WithLimit(span)
	defer release()
	until, err := desk.options.Contact.Stamp(brief, receiver, giveUp)
	if err != nil {
		return Outcome{}, err
	}
	order.Until, order.Change = until, order.Change.Packing()
	return desk.options.Send(brief, receiver, order)
}

// owner finds who owns a key by what the own voter promised last.
func (desk *Desk) owner(inner scope.Scope, key string) (ids.Address, bool) {
	owner := desk.options.Acceptor.Slot(key).Promised.Owner
	if owner == "" || owner == desk.options.Address {
		return "", false
	}
	if member, known := desk.options.Table.Find(owner); known && member.State != cohort.Alive {
		return "", false
	}
	desk.lock.Lock()
	defer desk.lock.Unlock()
	until, quiet := desk.silent[owner]
	return owner, !quiet || !inner.Now().Before(until)
}

// mostBusy is how many orders in a row an owner may leave unanswered while it
// answers other questions.
const mostBusy = 3

// suspect notes that an owner left an order unanswered, and tells whether it is
// only busy: it answered some question that was sent meanwhile.
func (desk *Desk) suspect(owner ids.Address, begin clock.Instant, now clock.Instant) (busy bool) {
	answered := desk.options.Contact.Answered(owner) > begin
	desk.lock.Lock()
	defer desk.lock.Unlock()
	desk.busy[owner]++
	if answered && desk.busy[owner] <= mostBusy {
		return true
	}
	delete(desk.busy, owner)
	desk.silent[owner] = now.Add(4 * desk.options.Pass)
	return false
}

// answered notes that an owner answered an order.
func (desk *Desk) answered(owner ids.Address) {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	delete(desk.busy, owner)
}
