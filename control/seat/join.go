package seat

import (
	"onyxwell/base/breakdown"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/register"
)

// Run strives for a seat until the scope ends; a disk that votes has nothing
// to do here but to mend its own copies now and then.
//
// Example:
//
//	own.Run(top, keeper, 300*clock.Millisecond)
func (seat *Seat) Run(inner scope.Scope, keeper *register.Keeper, every clock.Span) {
	for inner.Err() == nil {
		if !seat.Voting() {
			seat.Join(inner, keeper)
		}
		if !inner.Wait(every) {
			return
		}
	}
}

// Join takes the next step towards a seat: find the voters, take the place of
// this machine's older disk or of a voter that is gone, learn what the others
// hold, and only then vote.
//
// Example:
//
//	own.Join(top, keeper)
func (seat *Seat) Join(inner scope.Scope, keeper *register.Keeper) {
	short, release := inner.WithLimit(seat.options.Limit)
	defer release()
	for _, address := range seat.controllers() {
		seat.learnVoters(short, address)
	}
	voters := seat.Acceptor.Voters()
	if voters.Generation == 0 {
		return
	}
	own := register.Seat{Address: seat.options.Address, Incarnation: seat.Acceptor.Incarnation(), Learning: true}
	index, found := seat.place(voters)
	if !found {
		return
	}
	if voters.Seats[index] == own {
		if !seat.learn(short, voters) {
			return
		}
		own.Learning = false
	}
	_, fault := keeper.Change(short, register.CohortKey, seating(voters, index, own))
	inner.Log.Info().Str("part", "seat").Bool("learning", own.Learning).Err(fault).Msg("asked for a seat")
}

// seating replaces one seat; the change is dropped where the voters are no
// longer those that it was made for.
func seating(known register.Voters, index int, own register.Seat) register.Step {
	return func(current []byte) ([]byte, error) {
		voters, fault := courier.Unpack[register.Voters](current)
		if fault != nil || voters.Mark() != known.Mark() {
			return nil, breakdown.Of(breakdown.Unsettled, "the voters changed")
		}
		next := register.Voters{Generation: voters.Generation + 1, Previous: voters.Seats}
		next.Seats = append(next.Seats, voters.Seats...)
		next.Seats[index] = own
		return courier.Pack(next)
	}
}

// place finds the seat to ask for: this machine's own, or one whose voter has
// been gone for long while nobody else is learning.
func (seat *Seat) place(voters register.Voters) (int, bool) {
	gone, found := 0, false
	for index, voter := range voters.Seats {
		if voter.Address == seat.options.Address {
			return index, true
		}
		if seat.isGone(voter.Address) {
			gone, found = index, true
		} else if voter.Learning {
			return 0, false
		}
	}
	return gone, found
}

func (seat *Seat) isGone(address ids.Address) bool {
	member, known := seat.options.Table.Find(address)
	return known && !member.Present() && seat.options.Table.Since(address) > seat.options.Patience
}

// learn copies from so many other voters that every majority which this seat's
// vote could have been part of is met, and takes the newest of each key.
func (seat *Seat) learn(inner scope.Scope, voters register.Voters) bool {
	needed := len(voters.Seats) - (len(voters.Seats)/2 + 1) + 1
	var slots []register.Slot
	for _, voter := range voters.Seats {
		if voter.Address == seat.options.Address || voter.Learning {
			continue
		}
		told, fault := courier.Send[register.CopyTold](inner, seat.options.Messenger, voter.Address, "copy", register.CopyAsk{})
		if fault != nil || !told.Voting || told.Generation != voters.Generation || told.Mark != voters.Mark() || told.Incarnation != voter.Incarnation {
			continue
		}
		slots = append(slots, told.Slots...)
		needed--
	}
	return needed <= 0 && seat.Acceptor.Learn(slots) == nil
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
