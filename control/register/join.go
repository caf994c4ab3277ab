package register

import (
	"errors"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
)

// Reach is how a joiner asks others for what they hold, and mends them.
type Reach interface {
	Copy(inner scope.Scope, address ids.Address, asked CopyAsk) (CopyTold, error)
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
	// Wanted is how many seats there should be; Fits tells whether a seat here
	// beside the others leaves no zone or region with too many of them.
	Wanted int
	Fits   func(others []ids.Address) bool
}

// ErrNoSeat says that all seats that are wanted are taken by others.
var ErrNoSeat = errors.New("register: no seat is free")

// Join takes the next step towards a seat: find the voters, take the place of
// this machine's older disk, of a voter that is gone, or a further one while
// fewer than wanted are there, learn what the others hold, and only then vote.
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
		return failure.Of(failure.Unsettled, "no voters are known")
	}
	own := Seat{Address: joiner.Address, Incarnation: joiner.Acceptor.Incarnation(), Learning: true}
	index, found := joiner.place(voters)
	if !found {
		return ErrNoSeat
	}
	if index == len(voters.Seats) {
		return joiner.further(inner, voters, own)
	}
	seated := voters.Seats[index]
	if seated.Address == own.Address && seated.Incarnation == own.Incarnation && !seated.Learning {
		return nil
	}
	if seated != own && joiner.reached(inner, voters, index) < needed(len(voters.Seats)) {
		return failure.Of(failure.Unsettled, "too few others to take a seat")
	}
	if seated == own {
		if !joiner.learn(inner, voters, needed(len(voters.Seats))) {
			// A voter that missed the change of voters, and promised a taker
			// since, can't be mended by copies: the key is written again.
			return joiner.Keeper.Settle(inner, CohortKey)
		}
		own.Learning = false
	}
	_, fault := joiner.Keeper.Change(inner, CohortKey, seating(voters, index, own))
	return fault
}

// further adds a seat. A disk that never voted has no votes to remember, so it
// learns before it is seated and votes from then on: a seat that learnt only
// afterwards would leave the others short of a majority meanwhile.
func (joiner *Joiner) further(inner scope.Scope, voters Voters, own Seat) error {
	grown := len(voters.Seats) + 1
	if joiner.reached(inner, voters, len(voters.Seats)) < quorum(grown) {
		return failure.Of(failure.Unsettled, "too few others for a further seat")
	}
	if !joiner.learn(inner, voters, needed(grown)) {
		return failure.Of(failure.Unsettled, "too few others to learn from")
	}
	own.Learning = false
	_, fault := joiner.Keeper.Change(inner, CohortKey, seating(voters, len(voters.Seats), own))
	return fault
}

// LearnVoters takes the voters that another controller knows.
//
// Example:
//
//	joiner.LearnVoters(short, address)
func (joiner *Joiner) LearnVoters(inner scope.Scope, address ids.Address) {
	told, fault := joiner.Reach.Copy(inner, address, CopyAsk{Key: CohortKey})
	if fault != nil {
		return
	}
	for _, slot := range told.Slots {
		slot.Promised = ids.Epoch{}
		_ = joiner.Acceptor.Learn([]Slot{slot})
	}
}

// Mend repairs whichever side of a refused message knows only older voters; of
// one generation two takers may have proposed different ones.
//
// Example:
//
//	joiner.Mend(short, address, told.Generation)
func (joiner *Joiner) Mend(inner scope.Scope, address ids.Address, theirs int64) {
	own := joiner.Acceptor.Voters().Generation
	if theirs >= own {
		joiner.LearnVoters(inner, address)
	}
	if theirs <= own {
		slot := joiner.Acceptor.Slot(CohortKey)
		slot.Promised = ids.Epoch{}
		_ = joiner.Reach.Learn(inner, address, []Slot{slot})
	}
}

// seating replaces one seat, or adds one behind the last; the change is dropped
// where the voters are no longer those that it was made for.
func seating(known Voters, index int, own Seat) Step {
	return func(current []byte) ([]byte, error) {
		voters, fault := courier.Unpack[Voters](current)
		if fault != nil || voters.Mark() != known.Mark() {
			return nil, failure.Of(failure.Unsettled, "the voters changed")
		}
		next := Voters{Generation: voters.Generation + 1}
		next.Seats = append(next.Seats, voters.Seats...)
		if index == len(next.Seats) {
			next.Seats = append(next.Seats, own)
		}
		next.Seats[index] = own
		return courier.Pack(next)
	}
}

// place finds the seat to ask for: this machine's own, or while nobody else is
// learning, that of a voter that has been gone for long, or a further one. The
// seat may lie where too many stand already only if it was so before.
func (joiner *Joiner) place(voters Voters) (int, bool) {
	gone, found, learning := 0, false, false
	var others []ids.Address
	for index, voter := range voters.Seats {
		if voter.Address == joiner.Address {
			return index, true
		}
		others = append(others, voter.Address)
		if joiner.Gone(voter.Address) {
			gone, found = index, true
		} else {
			learning = learning || voter.Learning
		}
	}
	if learning {
		return 0, false
	}
	if !found && len(others) < joiner.Wanted && joiner.Fits(others) {
		return len(others), true
	}
	return gone, found
}

// needed is how many other voters a new seat must learn from, so that every
// majority which its vote could have been part of is met. Where as many disks
// are blank as leave a majority, that is every disk which is not.
func needed(seats int) int { return seats - quorum(seats) + 1 }

// reached counts the other voters that answer now; a seat that is taken while
// too few do would leave the voters short.
func (joiner *Joiner) reached(inner scope.Scope, voters Voters, index int) int {
	found := 0
	for place, voter := range voters.Seats {
		if place == index || voter.Learning {
			continue
		}
		if told, fault := joiner.Reach.Copy(inner, voter.Address, CopyAsk{Key: CohortKey}); fault == nil && told.Voting {
			found++
		}
	}
	return found
}

// learn copies from so many other voters and takes the newest of each key.
func (joiner *Joiner) learn(inner scope.Scope, voters Voters, missing int) bool {
	var slots []Slot
	for _, voter := range voters.Seats {
		if voter.Address == joiner.Address || voter.Learning {
			continue
		}
		told, fault := joiner.Reach.Copy(inner, voter.Address, CopyAsk{})
		if fault != nil || !told.Voting || told.Mark != voters.Mark() || told.Incarnation != voter.Incarnation {
			continue
		}
		slots = append(slots, told.Slots...)
		missing--
	}
	return missing <= 0 && joiner.Acceptor.Learn(slots) == nil
}
