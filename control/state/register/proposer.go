package register

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// Proposer owns keys: it takes them over, changes them and confirms them.
type Proposer struct {
	options ProposerOptions
	mu      sync.Mutex
	keys    map[string]*keyState
}

// keyState is this keeper's standing with one key. One writer at a time works on
// it, and takes all changes that wait together.
type keyState struct {
	// writerActive and queue are guarded by the keeper's lock, the rest belongs to
	// the writer.
	writerActive bool
	queue        []*pendingUpdate
	owned        bool
	highestEpoch int64
	epoch        ids.Epoch
	current      Proposal
	voters       VoterSet
}

// NewProposer makes a keeper that owns nothing yet.
func NewProposer(options ProposerOptions) *Proposer {
	if options.Spawn == nil {
		options.Spawn = func(send func()) { go send() }
	}
	if options.HighestEpoch == nil {
		options.HighestEpoch = func(string) int64 { return 0 }
	}
	if options.OnCommit == nil {
		options.OnCommit = func(string, Proposal) {}
	}
	return &Proposer{options: options, keys: map[string]*keyState{}}
}

// acquireAttempts is how often a taker bids in one call: once more where the first bid
// was below what some voter had promised.
const acquireAttempts = 2

// acquire makes sure that this keeper owns the key under the voters of now.
func (p *Proposer) acquire(ctx scope.Scope, state *keyState, key string) error {
	voters := p.options.Voters()
	if state.owned && state.voters.Fingerprint() == voters.Fingerprint() {
		return nil
	}
	var err error
	for range acquireAttempts {
		state.owned = false
		state.voters = p.options.Voters()
		state.highestEpoch = max(state.highestEpoch, p.options.HighestEpoch(key)) + 1
		state.epoch = ids.Epoch{Number: state.highestEpoch, Owner: p.options.Address}
		err = p.takeOver(ctx, state, key)
		ctx.Log.Info().Str("part", "register").Str("key", key).Int64("epoch", state.epoch.Number).Err(err).Msg("taken over")
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || state.highestEpoch == state.epoch.Number {
			return err
		}
	}
	return err
}

// takeOver gains the key under the state's epoch and settles its last write.
func (p *Proposer) takeOver(ctx scope.Scope, state *keyState, key string) error {
	newest, err := p.prepare(ctx, state, key)
	if err != nil {
		return err
	}
	state.current = newest
	if newest.Sequence > 0 {
		// The value found may stand on a minority only: it is written again
		// under the new epoch before anything is built on it.
		if err := p.write(ctx, state, key, newest.Value); err != nil {
			return err
		}
	}
	state.owned = true
	return nil
}

// write puts a value on a majority of disks.
func (p *Proposer) write(ctx scope.Scope, state *keyState, key string, value []byte) error {
	next := Proposal{Epoch: state.epoch, Sequence: state.current.Sequence + 1, Value: value}
	sets, copies := [][]Member{state.voters.Members}, p.options.MinCopies
	if key == VotersKey {
		// A seat must be filled also while too few disks are there for orders.
		copies = 0
		voters, err := transport.Unmarshal[VoterSet](value)
		if err != nil {
			return errkind.Errorf(errkind.Internal, "voters: %v", err)
		}
		sets = append(sets, voters.Members)
	}
	err := p.broadcast(ctx, state, sets, copies, func(message scope.Scope, seat Member) (Verdict, int64) {
		told, err := p.options.Client.Accept(message, seat.Address, AcceptRequest{Fence: state.voters.FencingToken(seat), Key: key, Proposal: next})
		return verdictOf(told.Verdict, err), told.Promised.Number
	})
	if err != nil {
		state.owned = false
		return err
	}
	state.current = next
	p.options.OnCommit(key, next)
	return nil
}

// confirm asks a majority whether this keeper is still the owner.
func (p *Proposer) confirm(ctx scope.Scope, state *keyState, key string) error {
	err := p.broadcast(ctx, state, [][]Member{state.voters.Members}, 0, func(message scope.Scope, seat Member) (Verdict, int64) {
		told, err := p.options.Client.Confirm(message, seat.Address, ConfirmRequest{Fence: state.voters.FencingToken(seat), Key: key, Epoch: state.epoch})
		return verdictOf(told.Verdict, err), told.Promised.Number
	})
	if err != nil {
		state.owned = false
	}
	return err
}

func verdictOf(verdict Verdict, err error) Verdict {
	if err != nil {
		return Failed
	}
	return verdict
}
