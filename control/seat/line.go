package seat

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/register"
)

// Promise carries the message to a voter.
func (seat *Seat) Promise(inner scope.Scope, address ids.Address, asked register.PromiseAsk) (register.PromiseTold, error) {
	if address == seat.options.Address {
		return seat.Acceptor.Promise(asked), nil
	}
	told, fault := courier.Send[register.PromiseTold](inner, seat.options.Messenger, address, "promise", asked)
	seat.mend(inner, address, told.Verdict, told.Generation, fault)
	return told, fault
}

// Accept carries the message to a voter.
func (seat *Seat) Accept(inner scope.Scope, address ids.Address, asked register.AcceptAsk) (register.AcceptTold, error) {
	if address == seat.options.Address {
		return seat.Acceptor.Accept(asked), nil
	}
	told, fault := courier.Send[register.AcceptTold](inner, seat.options.Messenger, address, "accept", asked)
	seat.mend(inner, address, told.Verdict, told.Generation, fault)
	return told, fault
}

// Confirm carries the message to a voter.
func (seat *Seat) Confirm(inner scope.Scope, address ids.Address, asked register.ConfirmAsk) (register.AcceptTold, error) {
	if address == seat.options.Address {
		return seat.Acceptor.Confirm(asked), nil
	}
	told, fault := courier.Send[register.AcceptTold](inner, seat.options.Messenger, address, "confirm", asked)
	seat.mend(inner, address, told.Verdict, told.Generation, fault)
	return told, fault
}

// mend repairs whichever side knows only older voters.
func (seat *Seat) mend(inner scope.Scope, address ids.Address, verdict register.Verdict, theirs int64, fault error) {
	if fault != nil || verdict != register.Misfenced {
		return
	}
	own := seat.Acceptor.Voters().Generation
	if theirs > own {
		seat.learnVoters(inner, address)
	}
	if theirs < own {
		slot := seat.Acceptor.Slot(register.CohortKey)
		slot.Promised = ids.Epoch{}
		_, _ = courier.Send[LearnTold](inner, seat.options.Messenger, address, "learn", LearnAsk{Slots: []register.Slot{slot}})
	}
}

// learnVoters takes the voters that another controller knows.
func (seat *Seat) learnVoters(inner scope.Scope, address ids.Address) {
	told, fault := courier.Send[register.CopyTold](inner, seat.options.Messenger, address, "copy", register.CopyAsk{})
	if fault != nil {
		return
	}
	for _, slot := range told.Slots {
		if slot.Key == register.CohortKey {
			slot.Promised = ids.Epoch{}
			_ = seat.Acceptor.Learn([]register.Slot{slot})
		}
	}
}
