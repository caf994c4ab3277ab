package register

import (
	"onyxwell/base/breakdown"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
)

// Reach is how a joiner asks others for what they hold, and mends them.
type Reach interface {
	Copy(inner scope.Scope, address ids.Address) (CopyTold, error)
	Learn(inner scope.Scope, address ids.Address, slots []Slot) error
}

// Joiner brings a disk that does not vote to a seat.
type Joiner struct {
	Address  ids.Address
	Acceptor *Acceptor
	Keeper   *Keeper
	Reach    Reach
	// Others gives the controllers worth asking, Gone whether a voter has been
	// away for so long that its seat may be taken.
	Others func() []ids.Address
	Gone   func(address ids.Address) bool
}

// Join takes the next step towards a seat: find the voters, take the place of
// this machine's older disk or of a voter that is gone, learn what the others
// hold, and only then vote.
//
// Example:
//
//	joiner.Join(short)
func (joiner *Joiner) Join(inner scope.Scope) error {
	for _, address := range joiner.Others() {
		joiner.LearnVoters(inner, address)
	}
	voters := joiner.Acceptor.Voters()
	if voters.Generation == 0 {
		return breakdown.Of(breakdown.Unsettled, "no voters are known")
	}
	own := Seat{Address: joiner.Address, Incarnation: joiner.Acceptor.Incarnation(), Learning: true}
	index, found := joiner.place(voters)
	if !found {
		return breakdown.Of(breakdown.Unsettled, "no seat is free")
	}
	if seated := voters.Seats[index]; seated.Incarnation == own.Incarnation && !seated.Learning {
		return nil
	}
	if voters.Seats[index] != own && !joiner.reached(inner, voters, index) {
		return breakdown.Of(breakdown.Unsettled, "too few others to take a seat")
	}
	if voters.Seats[index] == own {
		if !joiner.learn(inner, voters) {
			// A voter that missed the change of voters, and promised a taker
			// since, can't be mended by copies: the key is written again.
			return joiner.Keeper.Settle(inner, CohortKey)
		}
		own.Learning = false
	}
	_, fault := joiner.Keeper.Change(inner, CohortKey, seating(voters, index, own))
	return fault
}

// LearnVoters takes the voters that another controller knows.
//
// Example:
//
//	joiner.LearnVoters(short, address)
func (joiner *Joiner) LearnVoters(inner scope.Scope, address ids.Address) {
	told, fault := joiner.Reach.Copy(inner, address)
	if fault != nil {
		return
	}
	for _, slot := range told.Slots {
		if slot.Key == CohortKey {
			slot.Promised = ids.Epoch{}
			_ = joiner.Acceptor.Learn([]Slot{slot})
		}
	}
}

// Mend repairs whichever side of a refused message knows only older voters.
//
// Example:
//
//	joiner.Mend(short, address, told.Generation)
func (joiner *Joiner) Mend(inner scope.Scope, address ids.Address, theirs int64) {
	own := joiner.Acceptor.Voters().Generation
	if theirs > own {
		joiner.LearnVoters(inner, address)
	}
	if theirs < own {
		slot := joiner.Acceptor.Slot(CohortKey)
		slot.Promised = ids.Epoch{}
		_ = joiner.Reach.Learn(inner, address, []Slot{slot})
	}
}

// seating replaces one seat; the change is dropped where the voters are no
// longer those that it was made for.
func seating(known Voters, index int, own Seat) Step {
	return func(current []byte) ([]byte, error) {
		voters, fault := courier.Unpack[Voters](current)
		if fault != nil || voters.Mark() != known.Mark() {
			return nil, breakdown.Of(breakdown.Unsettled, "the voters changed")
		}
		next := Voters{Generation: voters.Generation + 1}
		next.Seats = append(next.Seats, voters.Seats...)
		next.Seats[index] = own
		return courier.Pack(next)
	}
}

// place finds the seat to ask for: this machine's own, or one whose voter has
// been gone for long while nobody else is learning.
func (joiner *Joiner) place(voters Voters) (int, bool) {
	gone, found := 0, false
	for index, voter := range voters.Seats {
		if voter.Address == joiner.Address {
			return index, true
		}
		if joiner.Gone(voter.Address) {
			gone, found = index, true
		} else if voter.Learning {
			return 0, false
		}
	}
	return gone, found
}

// needed is how many other voters a new seat must learn from, so that every
// majority which its vote could have been part of is met.
func needed(voters Voters) int { return len(voters.Seats) - (len(voters.Seats)/2 + 1) + 1 }

// reached tells whether enough of the other voters answer now; a seat that is
// taken without them would leave the voters short.
func (joiner *Joiner) reached(inner scope.Scope, voters Voters, index int) bool {
	found := 0
	for place, voter := range voters.Seats {
		if place == index || voter.Learning {
			continue
		}
		if told, fault := joiner.Reach.Copy(inner, voter.Address); fault == nil && told.Voting {
			found++
		}
	}
	return found >= needed(voters)
}

// learn copies from enough other voters and takes the newest of each key.
func (joiner *Joiner) learn(inner scope.Scope, voters Voters) bool {
	missing := needed(voters)
	var slots []Slot
	for _, voter := range voters.Seats {
		if voter.Address == joiner.Address || voter.Learning {
			continue
		}
		told, fault := joiner.Reach.Copy(inner, voter.Address)
		if fault != nil || !told.Voting || told.Mark != voters.Mark() || told.Incarnation != voter.Incarnation {
			continue
		}
		slots = append(slots, told.Slots...)
		missing--
	}
	return missing <= 0 && joiner.Acceptor.Learn(slots) == nil
}
