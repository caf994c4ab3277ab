package register

import (
	"slices"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// seating replaces one seat, or adds one behind the last; the change is dropped
// where the voters are no longer those that it was made for, or the one to be
// replaced is back: this is asked last of all, right before the change is sent.
func (j *Joiner) seating(known Voters, index int, own Seat) Step {
	return func(current []byte) ([]byte, error) {
		voters, err := transport.Unpack[Voters](current)
		if err != nil || voters.Mark() != known.Mark() {
			return nil, errkind.Of(errkind.Unsettled, "the voters changed")
		}
		if index < len(voters.Seats) {
			seated := voters.Seats[index]
			if seated.Address != j.Address && !seated.Learning && !j.gone(seated.Address) {
				return nil, errkind.Of(errkind.Unsettled, "%s is back", seated.Address)
			}
		}
		next := Voters{Generation: voters.Generation + 1}
		next.Seats = append(next.Seats, voters.Seats...)
		if index == len(next.Seats) {
			next.Seats = append(next.Seats, own)
		}
		next.Seats[index] = own
		return transport.Pack(next)
	}
}

// patience is how many runs one that stands by leaves another's learning alone.
const patience = 8

// courtesy is how many runs one that stands where enough have a seat leaves one
// that is free to others.
const courtesy = 2

// wait notes one more run that finds a seat of another learning.
func (j *Joiner) wait() {
	voters := j.Acceptor.Voters()
	if mark := voters.Mark(); mark != j.mark {
		j.mark, j.waited = mark, 0
	}
	j.waited++
}

// place finds the seat to ask for: this machine's own, or while nobody else is
// learning, that of a voter that has been gone for long, or a further one. The
// seat may lie where too many stand already only if it was so before. A
// newcomer that is there but gets nowhere loses its seat, which counts for
// nothing: two replacements don't wait for each other for ever.
func (j *Joiner) place(voters Voters) (int, bool) {
	gone, found, stuck, learning := 0, false, 0, false
	var others []ids.Address
	for index, voter := range voters.Seats {
		if voter.Address == j.Address {
			return index, true
		}
		others = append(others, voter.Address)
		if j.gone(voter.Address) {
			gone, found = index, true
		} else if voter.Learning {
			stuck, learning = index, true
		}
	}
	if learning {
		return stuck, j.waited > patience
	}
	if found {
		// One that stands where fewer have a seat goes first.
		return gone, j.Fits(slices.Delete(others, gone, gone+1)) || j.waited > courtesy
	}
	return len(others), len(others) < j.Wanted && j.Fits(others)
}

// Hopeful tells, without a message, whether there seems to be a seat to ask for.
func (j *Joiner) Hopeful() bool {
	_, found := j.place(j.Acceptor.Voters())
	return found
}

// needed is how many other voters a new seat must learn from, so that every
// majority which its vote could have been part of is met. Where as many disks
// are blank as leave a majority, that is every disk which is not.
func needed(seats int) int { return seats - quorum(seats) + 1 }

// peers gives the voters besides this machine.
func (j *Joiner) peers(voters Voters) []ids.Address {
	var found []ids.Address
	for _, seat := range voters.Seats {
		if seat.Address != j.Address {
			found = append(found, seat.Address)
		}
	}
	return found
}

// brief gives one question its limit.
func (j *Joiner) brief(ctx scope.Scope) (scope.Scope, func()) {
	if j.Answer == 0 {
		return ctx, func() {}
	}
	short, release := ctx.WithLimit(j.Answer)
	return short, func() { release() }
}

// reached counts the other voters that answer now; a seat that is taken while
// too few do would leave the voters short. It tells too whether the one whose
// seat is to be taken answers itself and still votes: it is not gone then,
// whatever others say. One in doubt has left several questions of this machine
// without an answer by then, and is not waited for once more.
func (j *Joiner) reached(ctx scope.Scope, voters Voters, index int) (int, bool) {
	found, back := 0, false
	taken := func(address ids.Address) bool {
		return index < len(voters.Seats) && voters.Seats[index].Address == address
	}
	gather(j, j.peers(voters), j.doubted, always, func(address ids.Address) (HeldTold, bool) {
		told, err := j.held(ctx, address)
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
func (j *Joiner) held(ctx scope.Scope, address ids.Address) (HeldTold, error) {
	short, release := j.brief(ctx)
	defer release()
	return j.Reach.Held(short, address)
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
func (j *Joiner) learn(ctx scope.Scope, voters Voters, missing int) bool {
	found := map[string]newest{}
	var keys []string
	// Those that seem gone are asked too: they may be there all the same, and so
	// many are needed.
	gather(j, j.peers(voters), j.doubted, func() bool { return missing <= 0 }, func(address ids.Address) (HeldTold, bool) {
		voter, _ := voters.seat(address)
		if voter.Learning {
			return HeldTold{}, false
		}
		told, err := j.held(ctx, address)
		j.follow(ctx, address, voters, told, err)
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
		slot, whole := j.fetch(ctx, key, found[key])
		if !whole {
			return false
		}
		slots = append(slots, slot)
	}
	return j.Acceptor.Learn(slots) == nil
}

// fetch makes the slot to learn, with its value where this disk lacks it.
func (j *Joiner) fetch(ctx scope.Scope, key string, seen newest) (Slot, bool) {
	slot := Slot{Key: key, Promised: seen.promised}
	if !seen.held.accepted().newer(j.Acceptor.Slot(key).Accepted) {
		return slot, true
	}
	short, release := j.brief(ctx)
	defer release()
	told, err := j.Reach.Copy(short, seen.holder, CopyAsk{Key: key})
	if err != nil || len(told.Slots) != 1 || seen.held.accepted().newer(told.Slots[0].Accepted) {
		return slot, false
	}
	slot.Accepted = told.Slots[0].Accepted
	return slot, true
}
