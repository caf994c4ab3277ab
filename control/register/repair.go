package register

import (
	"errors"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// ErrNotOwner says that this keeper does not own the key.
var ErrNotOwner = errors.New("register: another owns the key")

// Repair sends the value that this keeper wrote last once more to voters that
// lag. It is the very message that they missed, under the same epoch and fence,
// so a voter that promised another owner since refuses it as it would the first.
// Under voters that are no longer those of now the key is taken over anew, which
// writes to all.
func (keeper *Keeper) Repair(inner scope.Scope, key string, lagging []Seat) error {
	return keeper.alone(inner, key, func(inner scope.Scope, state *owned) error {
		if !state.holding {
			return ErrNotOwner
		}
		if state.voters.Mark() != keeper.options.Voters().Mark() {
			return keeper.hold(inner, state, key)
		}
		if state.current.Sequence == 0 {
			return nil
		}
		return keeper.again(inner, state, key, lagging)
	})
}

// again sends the last value to each of some voters, which stand for
// themselves: there is no majority to wait for.
func (keeper *Keeper) again(inner scope.Scope, state *owned, key string, lagging []Seat) error {
	var err error
	for _, seat := range lagging {
		one := keeper.rounds(inner, state, [][]Seat{{seat}}, 0, func(message scope.Scope, seat Seat) (Verdict, int64) {
			told, err := keeper.options.Line.Accept(message, seat.Address, AcceptAsk{Fence: state.voters.Fence(seat), Key: key, Accepted: state.current})
			return verdictOf(told.Verdict, err), told.Promised.Number
		})
		err = errors.Join(err, one)
	}
	return err
}

// Survey compares what the voters hold and has brought up to date what lags.
// Digests alone travel while nothing does. It belongs to one thread.
type Survey struct {
	Joiner *Joiner
	// Copies is how many other disks must hold what one that leaves holds.
	Copies int

	newest map[string]Held
	rounds map[string]int
	tries  map[string]int
	turn   int
}

// taken is how many rounds in a row a key may lag before another than its
// owner takes it over; each voter waits some more for those seated before it.
const taken = 3

// Round asks all voters how they stand, has what lags repaired, and tells how
// much more the state bears. A voter lags that is behind what was the newest a
// round ago: what is just being written is left alone.
func (survey *Survey) Round(inner scope.Scope) Redundancy {
	found := survey.look(inner)
	before := survey.newest
	survey.newest = found.newest
	for _, key := range found.keys {
		lagging := found.behind(key, before[key])
		if len(lagging) == 0 {
			delete(survey.rounds, key)
			delete(survey.tries, key)
			continue
		}
		survey.mend(inner, key, found, lagging)
	}
	return found.redundancy()
}

func (survey *Survey) mend(inner scope.Scope, key string, found view, lagging []Seat) {
	keeper := survey.Joiner.Keeper
	if survey.rounds == nil {
		survey.rounds, survey.tries = map[string]int{}, map[string]int{}
	}
	survey.rounds[key]++
	if keeper.Owns(key) {
		if err := keeper.Repair(inner, key, lagging); !errors.Is(err, ErrNotOwner) {
			return
		}
	}
	patience := taken + 2*found.rank(survey.Joiner.Address)
	if !survey.owned(inner, key, found) {
		patience -= taken - 1
	}
	if survey.Joiner.Acceptor.Slot(key).Promised.Owner == survey.Joiner.Address {
		// An owner that was started again: nobody else repairs its keys.
		patience = 1
	}
	if survey.rounds[key] >= patience<<min(survey.tries[key], 6) {
		survey.tries[key]++
		survey.rounds[key] = 0
		_ = keeper.Settle(inner, key)
	}
}

// owned tells whether the owner of a key is there: the one that a voter which
// answered promised the newest epoch.
func (survey *Survey) owned(inner scope.Scope, key string, found view) bool {
	var newest ids.Epoch
	for _, told := range found.told {
		if promised := told.held(key).Promised; promised.Compare(newest) > 0 {
			newest = promised
		}
	}
	if _, seated := found.voters.seat(newest.Owner); seated {
		_, answered := found.told[newest.Owner]
		return answered
	}
	_, err := survey.Joiner.held(inner, newest.Owner)
	return err == nil
}

// Lags tells whether some key lagged in the last round.
func (survey *Survey) Lags() bool { return len(survey.rounds) > 0 }

// HandOn makes sure that what this disk holds the newest of is held by enough
// others, and tells whether it is; one that leaves asks until it is so.
func (survey *Survey) HandOn(inner scope.Scope) bool {
	if !survey.Joiner.Acceptor.Voting() {
		return true
	}
	found, whole := survey.look(inner), true
	own := found.told[survey.Joiner.Address]
	for _, held := range own.Keys {
		others := found.holders(held.Key) - 1
		if found.newest[held.Key].accepted().newer(held.accepted()) || others >= min(survey.Copies, len(found.voters.Seats)-1) {
			continue
		}
		lagging := found.behind(held.Key, held)
		if err := survey.Joiner.Keeper.Repair(inner, held.Key, lagging); errors.Is(err, ErrNotOwner) {
			_ = survey.Joiner.Keeper.Settle(inner, held.Key)
		}
		// Whether that was enough is looked at anew.
		whole = false
	}
	return whole
}

// Follow takes what voters, asked in turn, hold newer than this disk: one that
// stands by is then close behind when a seat is free. What it takes is no vote
// and remembers no promise; both come with the learning for a seat.
func (survey *Survey) Follow(inner scope.Scope) {
	joiner := survey.Joiner
	peers := joiner.peers(joiner.Acceptor.Voters())
	if joiner.Acceptor.Voting() || len(peers) == 0 {
		return
	}
	survey.turn++
	address := peers[survey.turn%len(peers)]
	short, release := joiner.brief(inner)
	defer release()
	told, err := joiner.Reach.Held(short, address)
	if err != nil {
		return
	}
	for _, held := range told.Keys {
		if slot, whole := joiner.fetch(inner, held.Key, newest{held: held, holder: address}); whole && slot.Accepted.Sequence > 0 {
			slot.Promised = ids.Epoch{}
			_ = joiner.Acceptor.Learn([]Slot{slot})
		}
	}
}
