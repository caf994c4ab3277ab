package register

import (
	"slices"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
)

// seating replaces one seat, or adds one behind the last; the change is dropped
// where the voters are no longer those that it was made for, or the one to be
// replaced is back: this is asked last of all, right before the change is sent.
func (joiner *Joiner) seating(known Voters, index int, own Seat) Step {
	return func(current []byte) ([]byte, error) {
		voters, err := courier.Unpack[Voters](current)
		if err != nil || voters.Mark() != known.Mark() {
			return nil, failure.Of(failure.Unsettled, "the voters changed")
		}
		if index < len(voters.Seats) {
			seated := voters.Seats[index]
			if seated.Address != joiner.Address && !seated.Learning && !joiner.gone(seated.Address) {
				return nil, failure.Of(failure.Unsettled, "%s is back", seated.Address)
			}
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

// patience is how many runs one that stands by leaves another's learning alone.
const patience = 8

// courtesy is how many runs one that stands where enough have a seat leaves one
// that is free to others.
const courtesy = 2

// wait notes one more run that finds a seat of another learning.
func (joiner *Joiner) wait() {
	voters := joiner.Acceptor.Voters()
	if mark := voters.Mark(); mark != joiner.mark {
		joiner.mark, joiner.waited = mark, 0
	}
	joiner.waited++
}

// place finds the seat to ask for: this machine's own, or while nobody else is
// learning, that of a voter that has been gone for long, or a further one. The
// seat may lie where too many stand already only if it was so before. A
// newcomer that is there but gets nowhere loses its seat, which counts for
// nothing: two replacements don't wait for each other for ever.
func (joiner *Joiner) place(voters Voters) (int, bool) {
	gone, found, stuck, learning := 0, false, 0, false
	var others []ids.Address
	for index, voter := range voters.Seats {
		if voter.Address == joiner.Address {
			return index, true
		}
		others = append(others, voter.Address)
		if joiner.gone(voter.Address) {
			gone, found = index, true
		} else if voter.Learning {
			stuck, learning = index, true
		}
	}
	if learning {
		return stuck, joiner.waited > patience
	}
	if found {
		// One that stands where fewer have a seat goes first.
		return gone, joiner.Fits(slices.Delete(others, gone, gone+1)) || joiner.waited > courtesy
	}
	return len(others), len(others) < joiner.Wanted && joiner.Fits(others)
}

// Hopeful tells, without a message, whether there seems to be a seat to ask for.
func (joiner *Joiner) Hopeful() bool {
	_, found := joiner.place(joiner.Acceptor.Voters())
	return found
}

// needed is how many other voters a new seat must learn from, so that every
// majority which its vote could have been part of is met. Where as many disks
// are blank as leave a majority, that is every disk which is not.
func needed(seats int) int { return seats - quorum(seats) + 1 }

// peers gives the voters besides this machine.
func (joiner *Joiner) peers(voters Voters) []ids.Address {
	var found []ids.Address
	for _, seat := range voters.Seats {
		if seat.Address != joiner.Address {
			found = append(found, seat.Address)
		}
	}
	return found
}

// brief gives one question its limit.
func (joiner *Joiner) brief(inner scope.Scope) (scope.Scope, func()) {
	if joiner.Answer == 0 {
		return inner, func() {}
	}
	short, release := inner.WithLimit(joiner.Answer)
	return short, func() { release() }
}

// reached counts the other voters that answer now; a seat that is taken while
// too few do would leave the voters short. It tells too whether the one whose
// seat is to be taken answers itself and still votes: it is not gone then,
// whatever others say. One in doubt has left several questions of this machine
// without an answer by then, and is not waited for once more.
func (joiner *Joiner) reached(inner scope.Scope, voters Voters, index int) (int, bool) {
	found, back := 0, false
	taken := func(address ids.Address) bool {
		return index < len(voters.Seats) && voters.Seats[index].Address == address
	}
	gather(joiner, joiner.peers(voters), joiner.doubted, always, func(address ids.Address) (HeldTold, bool) {
		told, err := joiner.held(inner, address)
		return told, err == nil
	}, func(address ids.Address, told HeldTold) {
		seat, _ := voters.seat(address)
		if !told.Voting || seat.Learning {
			return
		}
		if taken(address) {
			back = told.Incarnation == seat.Incarnation && !told.Leaving
		} else {
			found++
		}
	})
	return found, back
}

// held asks one how it stands, for as long as one question may take.
func (joiner *Joiner) held(inner scope.Scope, address ids.Address) (HeldTold, error) {
	short, release := joiner.brief(inner)
	defer release()
	return joiner.Reach.Held(short, address)
}

// newest is the newest of one key that others told of.
type newest struct {
	held     Held
	promised ids.Epoch
	holder   ids.Address
}

// learn takes the newest of each key from so many other voters, all of whom
// fence off older voters than these; values travel only where this disk lacks
// them.
func (joiner *Joiner) learn(inner scope.Scope, voters Voters, missing int) bool {
	found := map[string]newest{}
	var keys []string
	// Those that seem gone are asked too: they may be there all the same, and so
	// many are needed.
	gather(joiner, joiner.peers(voters), joiner.doubted, func() bool { return missing <= 0 }, func(address ids.Address) (HeldTold, bool) {
		voter, _ := voters.seat(address)
		if voter.Learning {
			return HeldTold{}, false
		}
		told, err := joiner.held(inner, address)
		joiner.follow(inner, address, voters, told, err)
		return told, err == nil && told.Voting && told.Mark == voters.Mark() && told.Incarnation == voter.Incarnation
	}, func(address ids.Address, told HeldTold) {
		missing--
		for _, held := range told.Keys {
			known, seen := found[held.Key]
			if !seen {
				keys = append(keys, held.Key)
			}
			if !seen || held.accepted().newer(known.held.accepted()) {
				known.held, known.holder = held, address
			}
			if held.Promised.Compare(known.promised) > 0 {
				known.promised = held.Promised
			}
			found[held.Key] = known
		}
	})
	if missing > 0 {
		return false
	}
	var slots []Slot
	for _, key := range keys {
		slot, whole := joiner.fetch(inner, key, found[key])
		if !whole {
			return false
		}
		slots = append(slots, slot)
	}
	return joiner.Acceptor.Learn(slots) == nil
}

// fetch makes the slot to learn, with its value where this disk lacks it.
func (joiner *Joiner) fetch(inner scope.Scope, key string, seen newest) (Slot, bool) {
	slot := Slot{Key: key, Promised: seen.promised}
	if !seen.held.accepted().newer(joiner.Acceptor.Slot(key).Accepted) {
		return slot, true
	}
	short, release := joiner.brief(inner)
	defer release()
	told, err := joiner.Reach.Copy(short, seen.holder, CopyAsk{Key: key})
	if err != nil || len(told.Slots) != 1 || seen.held.accepted().newer(told.Slots[0].Accepted) {
		return slot, false
	}
	slot.Accepted = told.Slots[0].Accepted
	return slot, true
}
