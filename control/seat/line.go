package seat

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/register"
)

// Promise carries the message to a voter.
func (seat *Seat) Promise(inner scope.Scope, address ids.Address, asked register.PromiseAsk) (register.PromiseTold, error) {
	return carry(seat, inner, address, "promise", asked, seat.Acceptor.Promise, func(told register.PromiseTold) (register.Verdict, int64) {
		return told.Verdict, told.Generation
	})
}

// Accept carries the message to a voter.
func (seat *Seat) Accept(inner scope.Scope, address ids.Address, asked register.AcceptAsk) (register.AcceptTold, error) {
	return carry(seat, inner, address, "accept", asked, seat.Acceptor.Accept, verdictOf)
}

// Confirm carries the message to a voter.
func (seat *Seat) Confirm(inner scope.Scope, address ids.Address, asked register.ConfirmAsk) (register.AcceptTold, error) {
	return carry(seat, inner, address, "confirm", asked, seat.Acceptor.Confirm, verdictOf)
}

func verdictOf(told register.AcceptTold) (register.Verdict, int64) {
	return told.Verdict, told.Generation
}

// carry asks the own voter in place and others by message.
func carry[Asked, Told any](seat *Seat, inner scope.Scope, address ids.Address, name string, asked Asked,
	own func(Asked) Told, verdict func(Told) (register.Verdict, int64)) (Told, error) {
	if address == seat.options.Address {
		return own(asked), nil
	}
	begin := inner.Now()
	told, err := courier.Send[Told](inner, seat.options.Messenger, address, name, asked)
	if err == nil {
		seat.options.Contact.Heard(address, begin)
	}
	said, generation := verdict(told)
	seat.mend(inner, address, said, generation, err)
	return told, err
}

// mend repairs whichever side knows only older voters.
func (seat *Seat) mend(inner scope.Scope, address ids.Address, verdict register.Verdict, theirs int64, err error) {
	if err == nil && verdict == register.Misfenced {
		seat.joiner.Mend(inner, address, theirs)
	}
}

// Copy asks a controller for what it holds.
func (seat *Seat) Copy(inner scope.Scope, address ids.Address, asked register.CopyAsk) (register.CopyTold, error) {
	return courier.Send[register.CopyTold](inner, seat.options.Messenger, address, "copy", asked)
}

// Held asks a controller how all keys stand on its disk. Where they stand there
// as here, as in calm they do, only that is told.
func (seat *Seat) Held(inner scope.Scope, address ids.Address) (register.HeldTold, error) {
	own := seat.Acceptor.Held()
	begin := inner.Now()
	told, err := courier.Send[register.HeldTold](inner, seat.options.Messenger, address, "held", register.HeldAsk{Sum: own.Sum()})
	if err == nil {
		seat.options.Contact.Heard(address, begin)
	}
	if err == nil && told.Same {
		told.Keys = own.Keys
	}
	return told, err
}

// tellHeld answers such a question.
func (seat *Seat) tellHeld(asked register.HeldAsk) register.HeldTold {
	told := seat.Acceptor.Held()
	told.Away = seat.away()
	if told.Sum() == asked.Sum {
		told.Same, told.Keys = true, nil
	}
	return told
}

// Learn brings newer copies to a voter.
func (seat *Seat) Learn(inner scope.Scope, address ids.Address, slots []register.Slot) error {
	_, err := courier.Send[LearnTold](inner, seat.options.Messenger, address, "learn", LearnAsk{Slots: slots})
	return err
}

// isGone tells whether a voter's seat is free: it says that it leaves, or was
// removed after a suspicion that it did not refute. One that is known from the
// disk alone may just not have been heard of yet, and is left some time. One that
// no daemon remembers any more has been gone for longer still; that nobody told
// of it is counted from when it was first asked here.
func (seat *Seat) isGone(address ids.Address) bool {
	member, known := seat.options.Table.Find(address)
	if member.State != cohort.Left && seat.answers(address) {
		// Word that it was removed is older than that, or wrong.
		seat.lock.Lock()
		delete(seat.unknown, address)
		seat.lock.Unlock()
		return false
	}
	if known {
		patience := seat.options.Patience
		if member.State == cohort.Left {
			patience = 0
		} else if member.Incarnation > 0 {
			patience /= 2
		}
		return !member.Present() && seat.options.Table.Since(address) >= patience
	}
	now := seat.now()
	seat.lock.Lock()
	defer seat.lock.Unlock()
	since, asked := seat.unknown[address]
	if !asked {
		seat.unknown[address] = now
	}
	return asked && now.Since(since) > 2*seat.options.Patience
}

// controllers gives the inner addresses of all controllers worth asking.
func (seat *Seat) controllers() []ids.Address {
	known := map[ids.Address]bool{seat.options.Address: true}
	var found []ids.Address
	add := func(address ids.Address) {
		if !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	for _, member := range seat.options.Table.Members() {
		if member.Role == seat.options.Table.Self().Role && member.State == cohort.Alive {
			add(member.Address)
		}
	}
	for _, voter := range seat.Acceptor.Voters().Seats {
		if !seat.isGone(voter.Address) {
			add(voter.Address)
		}
	}
	for _, address := range seat.options.Seeds {
		add(address)
	}
	return found
}
