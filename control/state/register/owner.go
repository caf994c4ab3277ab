package register

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// Keeper owns keys: it takes them over, changes them and confirms them.
type Keeper struct {
	options Options
	mu      sync.Mutex
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
func (k *Keeper) hold(ctx scope.Scope, state *owned, key string) error {
	voters := k.options.Voters()
	if state.holding && state.voters.Mark() == voters.Mark() {
		return nil
	}
	var err error
	for range attempts {
		state.holding = false
		state.voters = k.options.Voters()
		state.highest = max(state.highest, k.options.Seen(key)) + 1
		state.epoch = ids.Epoch{Number: state.highest, Owner: k.options.Address}
		err = k.takeOver(ctx, state, key)
		ctx.Log.Info().Str("part", "register").Str("key", key).Int64("epoch", state.epoch.Number).Err(err).Msg("taken over")
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || state.highest == state.epoch.Number {
			return err
		}
	}
	return err
}

// takeOver gains the key under the state's epoch and settles its last write.
func (k *Keeper) takeOver(ctx scope.Scope, state *owned, key string) error {
	newest, err := k.take(ctx, state, key)
	if err != nil {
		return err
	}
	state.current = newest
	if newest.Sequence > 0 {
		// The value found may stand on a minority only: it is written again
		// under the new epoch before anything is built on it.
		if err := k.write(ctx, state, key, newest.Value); err != nil {
			return err
		}
	}
	state.holding = true
	return nil
}

// write puts a value on a majority of disks.
func (k *Keeper) write(ctx scope.Scope, state *owned, key string, value []byte) error {
	next := Accepted{Epoch: state.epoch, Sequence: state.current.Sequence + 1, Value: value}
	sets, copies := [][]Seat{state.voters.Seats}, k.options.Copies
	if key == CohortKey {
		// A seat must be filled also while too few disks are there for orders.
		copies = 0
		voters, err := transport.Unpack[Voters](value)
		if err != nil {
			return errkind.Of(errkind.Internal, "voters: %v", err)
		}
		sets = append(sets, voters.Seats)
	}
	err := k.rounds(ctx, state, sets, copies, func(message scope.Scope, seat Seat) (Verdict, int64) {
		told, err := k.options.Line.Accept(message, seat.Address, AcceptAsk{Fence: state.voters.Fence(seat), Key: key, Accepted: next})
		return verdictOf(told.Verdict, err), told.Promised.Number
	})
	if err != nil {
		state.holding = false
		return err
	}
	state.current = next
	k.options.Chosen(key, next)
	return nil
}

// confirm asks a majority whether this keeper is still the owner.
func (k *Keeper) confirm(ctx scope.Scope, state *owned, key string) error {
	err := k.rounds(ctx, state, [][]Seat{state.voters.Seats}, 0, func(message scope.Scope, seat Seat) (Verdict, int64) {
		told, err := k.options.Line.Confirm(message, seat.Address, ConfirmAsk{Fence: state.voters.Fence(seat), Key: key, Epoch: state.epoch})
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
