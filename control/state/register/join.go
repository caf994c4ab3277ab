package register

import (
	"errors"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Reach is how a joiner asks others for what they hold, and mends them.
type Reach interface {
	Copy(inner scope.Scope, address ids.Address, asked CopyAsk) (CopyTold, error)
	Held(inner scope.Scope, address ids.Address) (HeldTold, error)
	Learn(inner scope.Scope, address ids.Address, slots []Slot) error
}

// Joiner brings a disk that does not vote to a seat.
//
// Three ways to replace a voter were weighed. *Learn, add, remove* makes the
// voters one more for a while: with the replaced one gone for good, three of
// four are needed then, and a newcomer that dies there leaves two of four, for
// ever. *Joint majorities* (each change needs the old and the new voters until
// the end) have the same need of the newcomer, or of every other old voter.
// *Learning seats* put the newcomer in the place of the one that is gone, which
// counted for nothing either: no moment bears fewer losses than the moment
// before, a newcomer may die at any step, and its seat is taken again. What
// they cost is the vote of one that was only cut off, or comes back with its
// disk, from the seating to the end of the learning: a joiner therefore learns
// *before* it is seated, so that only what came since is learnt in between, and
// goes through all steps in one run. Learning once is not enough: until the seat
// is taken, changes may still be answered by majorities of the one replaced.
type Joiner struct {
	Address  ids.Address
	Acceptor *Acceptor
	Keeper   *Keeper
	Reach    Reach
	// Others gives the controllers worth asking, Gone whether a voter has been
	// away for so long that its seat may be taken.
	Others func() []ids.Address
	Gone   func(address ids.Address) bool
	// Doubt tells whether one does not answer now: it is asked all the same, but
	// not waited for where the others suffice. It may be missing.
	Doubt func(address ids.Address) bool
	// Wanted is how many seats there should be; Fits tells whether a seat here
	// beside the others leaves no zone or region with too many of them.
	Wanted int
	Fits   func(others []ids.Address) bool
	// Answer is how long one question may take; none says as long as the whole.
	Answer clock.Span
	// Spawn runs a question; tests run it in place.
	Spawn func(ask func())

	// away are the voters that a majority of them say is away. A key's writer
	// reads it too, while another run may be under way: it is swapped whole.
	away atomic.Pointer[map[ids.Address]bool]
	// back are those that seemed gone and answered in this run.
	back atomic.Pointer[map[ids.Address]bool]
	// waited is how many times another was found learning under the same mark.
	waited int
	mark   int64
	// bid is the newest promise of the voters' key that nothing was written under.
	bid ids.Epoch
}

// ErrNoSeat says that all seats that are wanted are taken by others.
var ErrNoSeat = errors.New("register: no seat is free")

// steps bounds how many changes of voters one run makes: to be seated, and to
// vote, each once more where another came in between.
const steps = 4

// Join goes the way to a seat: find the voters, learn what they hold, take the
// place of this machine's older disk, of a voter that is gone, or a further one
// while fewer than wanted are there, learn what came since, and only then vote.
func (j *Joiner) Join(ctx scope.Scope) error {
	j.back.Store(nil)
	j.hear(ctx)
	j.wait()
	for range steps {
		voters := j.Acceptor.Voters()
		if voters.Generation == 0 {
			return errkind.Of(errkind.Unsettled, "no voters are known")
		}
		if j.Acceptor.Voting() {
			return nil
		}
		if err := j.step(ctx, voters); err != nil {
			return err
		}
		j.each(j.present(j.peers(voters)), func(address ids.Address) { j.LearnVoters(ctx, address) })
	}
	return nil
}

func (j *Joiner) step(ctx scope.Scope, voters Voters) error {
	own := Seat{Address: j.Address, Incarnation: j.Acceptor.Incarnation(), Learning: true}
	index, found := j.place(voters)
	if !found {
		return ErrNoSeat
	}
	size, seated := len(voters.Seats), Seat{}
	if index < size {
		seated = voters.Seats[index]
		if seated.Address == own.Address && seated.Incarnation == own.Incarnation && !seated.Learning {
			return nil
		}
	} else {
		// A further seat has no votes of before, which a newcomer would have to
		// stand for: it votes from the start. Any majority that holds a change
		// meets every majority of one seat more.
		own.Learning, size = false, size+1
	}
	if seated != own {
		found, back := j.reached(ctx, voters, index)
		if back {
			// Another seat may be free all the same.
			j.note(seated.Address)
			return j.step(ctx, voters)
		}
		if found < max(needed(size), quorum(size)) {
			return errkind.Of(errkind.Unsettled, "too few others to take a seat")
		}
	}
	if !j.learn(ctx, voters, needed(size)) {
		if j.Acceptor.Voters().Mark() != voters.Mark() {
			// They are others by now: whoever changed them may still be at it.
			return nil
		}
		// A voter that missed the change of voters, and promised a taker since,
		// can't be mended by copies: the key is written again.
		if err := j.Keeper.Settle(ctx, CohortKey); err != nil {
			return err
		}
		return errkind.Of(errkind.Unsettled, "too few others to learn from")
	}
	if seated == own {
		own.Learning = false
	}
	_, err := j.Keeper.Change(ctx, CohortKey, j.seating(voters, index, own))
	return err
}

// LearnVoters takes the voters that another controller knows.
func (j *Joiner) LearnVoters(ctx scope.Scope, address ids.Address) {
	short, release := j.brief(ctx)
	defer release()
	told, err := j.Reach.Copy(short, address, CopyAsk{Key: CohortKey})
	if err != nil {
		return
	}
	for _, slot := range told.Slots {
		slot.Promised = ids.Epoch{}
		_ = j.Acceptor.Learn([]Slot{slot})
	}
}

// Mend repairs whichever side of a refused message knows only older voters; of
// one generation two takers may have proposed different ones.
func (j *Joiner) Mend(ctx scope.Scope, address ids.Address, theirs int64) {
	own := j.Acceptor.Voters().Generation
	if theirs >= own {
		j.LearnVoters(ctx, address)
	}
	if theirs <= own {
		slot := j.Acceptor.Slot(CohortKey)
		slot.Promised = ids.Epoch{}
		_ = j.Reach.Learn(ctx, address, []Slot{slot})
	}
}
