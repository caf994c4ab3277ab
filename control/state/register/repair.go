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
func (k *Keeper) Repair(ctx scope.Scope, key string, lagging []Seat) error {
	return k.alone(ctx, key, func(ctx scope.Scope, state *owned) error {
		if !state.holding {
			return ErrNotOwner
		}
		if state.voters.Mark() != k.options.Voters().Mark() {
			return k.hold(ctx, state, key)
		}
		if state.current.Sequence == 0 {
			return nil
		}
		return k.again(ctx, state, key, lagging)
	})
}

// again sends the last value to each of some voters, which stand for
// themselves: there is no majority to wait for.
func (k *Keeper) again(ctx scope.Scope, state *owned, key string, lagging []Seat) error {
	var err error
	for _, seat := range lagging {
		one := k.rounds(ctx, state, [][]Seat{{seat}}, 0, func(message scope.Scope, seat Seat) (Verdict, int64) {
			told, err := k.options.Line.Accept(message, seat.Address, AcceptAsk{Fence: state.voters.Fence(seat), Key: key, Accepted: state.current})
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
func (s *Survey) Round(ctx scope.Scope) Redundancy {
	found := s.look(ctx)
	before := s.newest
	s.newest = found.newest
	for _, key := range found.keys {
		lagging := found.behind(key, before[key])
		if len(lagging) == 0 {
			delete(s.rounds, key)
			delete(s.tries, key)
			continue
		}
		s.mend(ctx, key, found, lagging)
	}
	return found.redundancy()
}

func (s *Survey) mend(ctx scope.Scope, key string, found view, lagging []Seat) {
	keeper := s.Joiner.Keeper
	if s.rounds == nil {
		s.rounds, s.tries = map[string]int{}, map[string]int{}
	}
	s.rounds[key]++
	if keeper.Owns(key) {
		if err := keeper.Repair(ctx, key, lagging); !errors.Is(err, ErrNotOwner) {
			return
		}
	}
	patience := taken + 2*found.rank(s.Joiner.Address)
	if !s.owned(ctx, key, found) {
		patience -= taken - 1
	}
	if s.Joiner.Acceptor.Slot(key).Promised.Owner == s.Joiner.Address {
		// An owner that was started again: nobody else repairs its keys.
		patience = 1
	}
	if s.rounds[key] >= patience<<min(s.tries[key], 6) {
		s.tries[key]++
		s.rounds[key] = 0
		_ = keeper.Settle(ctx, key)
	}
}

// owned tells whether the owner of a key is there: the one that a voter which
// answered promised the newest epoch.
func (s *Survey) owned(ctx scope.Scope, key string, found view) bool {
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
	_, err := s.Joiner.held(ctx, newest.Owner)
	return err == nil
}

// Lags tells whether some key lagged in the last round.
func (s *Survey) Lags() bool { return len(s.rounds) > 0 }

// HandOn makes sure that what this disk holds the newest of is held by enough
// others, and tells whether it is; one that leaves asks until it is so.
func (s *Survey) HandOn(ctx scope.Scope) bool {
	if !s.Joiner.Acceptor.Voting() {
		return true
	}
	found, whole := s.look(ctx), true
	own := found.told[s.Joiner.Address]
	for _, held := range own.Keys {
		others := found.holders(held.Key) - 1
		if found.newest[held.Key].accepted().newer(held.accepted()) || others >= min(s.Copies, len(found.voters.Seats)-1) {
			continue
		}
		lagging := found.behind(held.Key, held)
		if err := s.Joiner.Keeper.Repair(ctx, held.Key, lagging); errors.Is(err, ErrNotOwner) {
			_ = s.Joiner.Keeper.Settle(ctx, held.Key)
		}
		// Whether that was enough is looked at anew.
		whole = false
	}
	return whole
}

// Follow takes what voters, asked in turn, hold newer than this disk: one that
// stands by is then close behind when a seat is free. What it takes is no vote
// and remembers no promise; both come with the learning for a seat.
func (s *Survey) Follow(ctx scope.Scope) {
	joiner := s.Joiner
	peers := joiner.peers(joiner.Acceptor.Voters())
	if joiner.Acceptor.Voting() || len(peers) == 0 {
		return
	}
	s.turn++
	address := peers[s.turn%len(peers)]
	short, release := joiner.brief(ctx)
	defer release()
	told, err := joiner.Reach.Held(short, address)
	if err != nil {
		return
	}
	for _, held := range told.Keys {
		if slot, whole := joiner.fetch(ctx, held.Key, newest{held: held, holder: address}); whole && slot.Accepted.Sequence > 0 {
			slot.Promised = ids.Epoch{}
			_ = joiner.Acceptor.Learn([]Slot{slot})
		}
	}
}
