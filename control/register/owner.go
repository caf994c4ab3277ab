package register

import (
	"sync"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
)

// Keeper owns keys: it takes them over, changes them and confirms them.
type Keeper struct {
	options Options
	lock    sync.Mutex
	keys    map[string]*owned
}

// owned is this keeper's standing with one key. One writer at a time works on
// it, and takes all changes that wait together.
type owned struct {
	// writing and queue are guarded by the keeper's lock, the rest belongs to
	// the writer.
	writing bool
	queue   []*waiting
	holding bool
	highest int64
	epoch   ids.Epoch
	current Accepted
	voters  Voters
}

// NewKeeper makes a keeper that owns nothing yet.
func NewKeeper(options Options) *Keeper {
	if options.Spawn == nil {
		options.Spawn = func(send func()) { go send() }
	}
	if options.Seen == nil {
		options.Seen = func(string) int64 { return 0 }
	}
	if options.Chosen == nil {
		options.Chosen = func(string, Accepted) {}
	}
	return &Keeper{options: options, keys: map[string]*owned{}}
}

// attempts is how often a taker bids in one call: once more where the first bid
// was below what some voter had promised.
const attempts = 2

// hold makes sure that this keeper owns the key under the voters of now.
func (keeper *Keeper) hold(inner scope.Scope, state *owned, key string) error {
	voters := keeper.options.Voters()
	if state.holding && state.voters.Mark() == voters.Mark() {
		return nil
	}
	var err error
	for range attempts {
		state.holding = false
		state.voters = keeper.options.Voters()
		state.highest = max(state.highest, keeper.options.Seen(key)) + 1
		state.epoch = ids.Epoch{Number: state.highest, Owner: keeper.options.Address}
		err = keeper.takeOver(inner, state, key)
		inner.Log.Info().Str("part", "register").Str("key", key).Int64("epoch", state.epoch.Number).Err(err).Msg("taken over")
		if err == nil {
			return nil
		}
		if inner.Err() != nil || state.highest == state.epoch.Number {
			return err
		}
	}
	return err
}

// takeOver gains the key under the state's epoch and settles its last write.
func (keeper *Keeper) takeOver(inner scope.Scope, state *owned, key string) error {
	newest, err := keeper.take(inner, state, key)
	if err != nil {
		return err
	}
	state.current = newest
	if newest.Sequence > 0 {
		// The value found may stand on a minority only: it is written again
		// under the new epoch before anything is built on it.
		if err := keeper.write(inner, state, key, newest.Value); err != nil {
			return err
		}
	}
	state.holding = true
	return nil
}

// write puts a value on a majority of disks.
func (keeper *Keeper) write(inner scope.Scope, state *owned, key string, value []byte) error {
	next := Accepted{Epoch: state.epoch, Sequence: state.current.Sequence + 1, Value: value}
	sets, copies := [][]Seat{state.voters.Seats}, keeper.options.Copies
	if key == CohortKey {
		// A seat must be filled also while too few disks are there for orders.
		copies = 0
		voters, err := courier.Unpack[Voters](value)
		if err != nil {
			return failure.Of(failure.Internal, "voters: %v", err)
		}
		sets = append(sets, voters.Seats)
	}
	err := keeper.rounds(inner, state, sets, copies, func(message scope.Scope, seat Seat) (Verdict, int64) {
		told, err := keeper.options.Line.Accept(message, seat.Address, AcceptAsk{Fence: state.voters.Fence(seat), Key: key, Accepted: next})
		return verdictOf(told.Verdict, err), told.Promised.Number
	})
	if err != nil {
		state.holding = false
		return err
	}
	state.current = next
	keeper.options.Chosen(key, next)
	return nil
}

// confirm asks a majority whether this keeper is still the owner.
func (keeper *Keeper) confirm(inner scope.Scope, state *owned, key string) error {
	err := keeper.rounds(inner, state, [][]Seat{state.voters.Seats}, 0, func(message scope.Scope, seat Seat) (Verdict, int64) {
		told, err := keeper.options.Line.Confirm(message, seat.Address, ConfirmAsk{Fence: state.voters.Fence(seat), Key: key, Epoch: state.epoch})
		return verdictOf(told.Verdict, err), told.Promised.Number
	})
	if err != nil {
		state.holding = false
	}
	return err
}

func verdictOf(verdict Verdict, err error) Verdict {
	if err != nil {
		return Broken
	}
	return verdict
}
