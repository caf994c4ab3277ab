package register

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ErrNotOwner is returned by Repair if this proposer does not own the key.
var ErrNotOwner = errors.New("register: the key is not owned by this proposer")

// VoterClient sends requests to voters, including the local one.
type VoterClient interface {
	Prepare(ctx context.Context, address ids.Address, req PrepareRequest) (PrepareResponse, error)
	Accept(ctx context.Context, address ids.Address, req AcceptRequest) (AcceptResponse, error)
	Confirm(ctx context.Context, address ids.Address, req ConfirmRequest) (AcceptResponse, error)
	Fetch(ctx context.Context, address ids.Address, req FetchRequest) (FetchResponse, error)
}

// UpdateFunc returns the next value of a key. If it returns an error or a nil
// value, the key keeps its value. It must not block.
type UpdateFunc func(current []byte) ([]byte, error)

// ProposerOptions configures a Proposer. Address, Client, Voters and
// MessageTimeout are required.
type ProposerOptions struct {
	// Clock measures all timeouts; it and Log are required.
	Clock   clock.Clock
	Log     *log.Logger
	Address ids.Address
	Client  VoterClient
	// Voters returns the newest voter set known here.
	Voters func() VoterSet
	// HighestEpoch returns the number of the highest epoch that the local acceptor
	// has promised for a key; a nil func stands for 0.
	HighestEpoch func(key string) int64
	// OnCommit is called with each proposal that a quorum is known to hold.
	OnCommit func(key string, committed Proposal)
	// MessageTimeout bounds one request to a voter. Pending requests continue after
	// a quorum has answered, so that the other voters don't lag.
	MessageTimeout time.Duration
	// BatchTimeout bounds one batch of updates; 0 means no bound.
	BatchTimeout time.Duration
	// MinCopies is the number of disks that must hold an update before it is
	// acknowledged, if that is more than a majority. It should be one more than the
	// number of disks that may be lost at one time.
	MinCopies int
	// Spawn runs a function concurrently; nil starts a goroutine. Tests run it
	// synchronously.
	Spawn func(task func())
}

// Proposer acquires keys, updates them and confirms that it still owns them. It
// is safe for concurrent use.
type Proposer struct {
	options ProposerOptions
	mu      sync.Mutex
	keys    map[string]*keyState
}

// keyState is the proposer's state for one key. At most one writer per key is
// active; it processes all queued updates.
type keyState struct {
	key string
	// writerActive and queue are guarded by Proposer.mu; the other fields belong to
	// the writer.
	writerActive bool
	queue        []*pendingUpdate

	// owned means that a quorum of the voters has promised epoch, and that no write
	// or confirmation has failed since.
	owned        bool
	highestEpoch int64
	epoch        ids.Epoch
	current      Proposal
	voters       VoterSet
}

// NewProposer returns a proposer that owns no key.
func NewProposer(options ProposerOptions) *Proposer {
	if options.Spawn == nil {
		options.Spawn = func(task func()) { go task() }
	}
	if options.HighestEpoch == nil {
		options.HighestEpoch = func(string) int64 { return 0 }
	}
	if options.OnCommit == nil {
		options.OnCommit = func(string, Proposal) {}
	}
	return &Proposer{options: options, keys: map[string]*keyState{}}
}

// Owns reports whether this proposer believes that it owns the key, or has a
// writer active for it.
func (p *Proposer) Owns(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.keys[key]
	return state != nil && (state.writerActive || state.owned)
}

// Reacquire acquires the key under a new epoch, even if it is already owned, and
// thereby writes its newest value to all voters again.
func (p *Proposer) Reacquire(ctx context.Context, key string) error {
	return p.runExclusive(ctx, key, func(ctx context.Context, state *keyState) error {
		state.owned = false
		return p.acquire(ctx, state)
	})
}

// Repair resends the newest proposal of an owned key to lagging voters. The request
// is the one that they missed, with the same epoch and fencing token, so a voter
// that has promised another owner since refuses it. If the voter set has changed
// since, the key is acquired again, which writes to all voters. The error is
// ErrNotOwner if the key is not owned.
func (p *Proposer) Repair(ctx context.Context, key string, lagging []Member) error {
	return p.runExclusive(ctx, key, func(ctx context.Context, state *keyState) error {
		if !state.owned {
			return ErrNotOwner
		}
		if !p.votersCurrent(state) {
			return p.acquire(ctx, state)
		}
		if state.current.Sequence == 0 {
			return nil
		}
		// Each voter is its own set, since no majority is needed.
		var errs []error
		for _, member := range lagging {
			errs = append(errs, p.broadcast(ctx, state, [][]Member{{member}}, 0, p.acceptSender(state, state.current)))
		}
		return errors.Join(errs...)
	})
}

// votersCurrent reports whether the key was acquired under the newest voter set
// known here.
func (p *Proposer) votersCurrent(state *keyState) bool {
	return state.voters.Fingerprint() == p.options.Voters().Fingerprint()
}

// acquireAttempts limits the attempts of one acquire call. The second one is made
// if some voter had promised a higher epoch than that of the first.
const acquireAttempts = 2

// acquire ensures that the key is owned under the newest voter set.
func (p *Proposer) acquire(ctx context.Context, state *keyState) error {
	if state.owned && p.votersCurrent(state) {
		return nil
	}
	var err error
	for range acquireAttempts {
		state.owned = false
		state.voters = p.options.Voters()
		state.highestEpoch = max(state.highestEpoch, p.options.HighestEpoch(state.key)) + 1
		state.epoch = ids.Epoch{Number: state.highestEpoch, Owner: p.options.Address}
		err = p.takeOver(ctx, state)
		event := p.options.Log.Info().Str("part", "register").Str("key", state.key).Int64("epoch", state.epoch.Number).Err(err)
		if err == nil {
			event.Msg("key acquired")
			return nil
		}
		event.Msg("key not acquired")
		if ctx.Err() != nil || state.highestEpoch == state.epoch.Number {
			return err
		}
	}
	return err
}

// takeOver prepares the key under the state's epoch and commits its newest
// proposal.
func (p *Proposer) takeOver(ctx context.Context, state *keyState) error {
	newest, err := p.prepare(ctx, state)
	if err != nil {
		return err
	}
	state.current = newest
	if newest.Sequence > 0 {
		// Only a minority may hold the proposal, so it is written again under the new
		// epoch before any update is applied to it.
		if err := p.write(ctx, state, newest.Value); err != nil {
			return err
		}
	}
	state.owned = true
	return nil
}

// prepare makes a quorum promise the state's epoch and returns the newest proposal
// that any of its members has accepted. For VotersKey that may be a newer voter
// set; prepare is then repeated under that set with a higher epoch.
func (p *Proposer) prepare(ctx context.Context, state *keyState) (Proposal, error) {
	for {
		newest, err := p.prepareOnce(ctx, state)
		if err != nil || state.key != VotersKey {
			return newest, err
		}
		voters, err := transport.Unmarshal[VoterSet](newest.Value)
		if err != nil || voters.Generation <= state.voters.Generation {
			return newest, nil
		}
		state.voters = voters
		state.highestEpoch++
		state.epoch.Number = state.highestEpoch
	}
}

func (p *Proposer) prepareOnce(ctx context.Context, state *keyState) (Proposal, error) {
	// mu guards newest, which responses that arrive after the quorum still update.
	var mu sync.Mutex
	var newest Proposal
	voters, epoch := state.voters, state.epoch
	err := p.broadcast(ctx, state, [][]Member{voters.Members}, 0, func(ctx context.Context, member Member) (Verdict, int64) {
		resp, err := p.options.Client.Prepare(ctx, member.Address, PrepareRequest{Fence: voters.FencingToken(member), Key: state.key, Epoch: epoch})
		verdict := verdictOf(resp.Verdict, err)
		mu.Lock()
		defer mu.Unlock()
		if verdict == Granted && resp.Slot.Accepted.newerThan(newest) {
			newest = resp.Slot.Accepted
		}
		return verdict, resp.Slot.Promised.Number
	})
	if err != nil {
		return Proposal{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	return newest, nil
}

// write makes a quorum accept a value under the state's epoch. A change of the
// voter set needs a quorum of both the old and the new set.
func (p *Proposer) write(ctx context.Context, state *keyState, value []byte) error {
	next := Proposal{Epoch: state.epoch, Sequence: state.current.Sequence + 1, Value: value}
	sets, minCopies := [][]Member{state.voters.Members}, p.options.MinCopies
	if state.key == VotersKey {
		// It must be possible to replace a voter even while there are too few
		// disks for other updates.
		minCopies = 0
		voters, err := transport.Unmarshal[VoterSet](value)
		if err != nil {
			return errkind.Errorf(errkind.Internal, "decoding the new voter set: %v", err)
		}
		sets = append(sets, voters.Members)
	}
	if err := p.broadcast(ctx, state, sets, minCopies, p.acceptSender(state, next)); err != nil {
		state.owned = false
		return err
	}
	state.current = next
	p.options.OnCommit(state.key, next)
	return nil
}

// confirm returns nil if a quorum confirms that the key is still owned.
func (p *Proposer) confirm(ctx context.Context, state *keyState) error {
	voters, epoch := state.voters, state.epoch
	err := p.broadcast(ctx, state, [][]Member{voters.Members}, 0, func(ctx context.Context, member Member) (Verdict, int64) {
		resp, err := p.options.Client.Confirm(ctx, member.Address, ConfirmRequest{Fence: voters.FencingToken(member), Key: state.key, Epoch: epoch})
		return verdictOf(resp.Verdict, err), resp.Promised.Number
	})
	if err != nil {
		state.owned = false
	}
	return err
}
