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
func (p *Proposer) Repair(ctx scope.Scope, key string, lagging []Member) error {
	return p.exclusively(ctx, key, func(ctx scope.Scope, state *keyState) error {
		if !state.owned {
			return ErrNotOwner
		}
		if state.voters.Fingerprint() != p.options.Voters().Fingerprint() {
			return p.acquire(ctx, state, key)
		}
		if state.current.Sequence == 0 {
			return nil
		}
		return p.resend(ctx, state, key, lagging)
	})
}

// resend sends the last value to each of some voters, which stand for
// themselves: there is no majority to wait for.
func (p *Proposer) resend(ctx scope.Scope, state *keyState, key string, lagging []Member) error {
	var err error
	for _, seat := range lagging {
		one := p.broadcast(ctx, state, [][]Member{{seat}}, 0, func(message scope.Scope, seat Member) (Verdict, int64) {
			told, err := p.options.Client.Accept(message, seat.Address, AcceptRequest{Fence: state.voters.FencingToken(seat), Key: key, Proposal: state.current})
			return verdictOf(told.Verdict, err), told.Promised.Number
		})
		err = errors.Join(err, one)
	}
	return err
}

// Repairer compares what the voters hold and has brought up to date what lags.
// Digests alone travel while nothing does. It belongs to one thread.
type Repairer struct {
	Joiner *Joiner
	// MinCopies is how many other disks must hold what one that leaves holds.
	MinCopies int

	newest        map[string]KeyDigest
	laggingRounds map[string]int
	takeovers     map[string]int
	nextPeer      int
}

// takeoverRounds is how many rounds in a row a key may lag before another than its
// owner takes it over; each voter waits some more for those seated before it.
const takeoverRounds = 3

// Round asks all voters how they stand, has what lags repaired, and tells how
// much more the state bears. A voter lags that is behind what was the newest a
// round ago: what is just being written is left alone.
func (r *Repairer) Round(ctx scope.Scope) Redundancy {
	found := r.survey(ctx)
	before := r.newest
	r.newest = found.newest
	for _, key := range found.keys {
		lagging := found.lagging(key, before[key])
		if len(lagging) == 0 {
			delete(r.laggingRounds, key)
			delete(r.takeovers, key)
			continue
		}
		r.repairKey(ctx, key, found, lagging)
	}
	return found.redundancy()
}

func (r *Repairer) repairKey(ctx scope.Scope, key string, found clusterView, lagging []Member) {
	keeper := r.Joiner.Proposer
	if r.laggingRounds == nil {
		r.laggingRounds, r.takeovers = map[string]int{}, map[string]int{}
	}
	r.laggingRounds[key]++
	if keeper.Owns(key) {
		if err := keeper.Repair(ctx, key, lagging); !errors.Is(err, ErrNotOwner) {
			return
		}
	}
	patience := takeoverRounds + 2*found.rank(r.Joiner.Address)
	if !r.ownerReachable(ctx, key, found) {
		patience -= takeoverRounds - 1
	}
	if r.Joiner.Acceptor.Slot(key).Promised.Owner == r.Joiner.Address {
		// An owner that was started again: nobody else repairs its keys.
		patience = 1
	}
	if r.laggingRounds[key] >= patience<<min(r.takeovers[key], 6) {
		r.takeovers[key]++
		r.laggingRounds[key] = 0
		_ = keeper.Reacquire(ctx, key)
	}
}

// ownerReachable tells whether the owner of a key is there: the one that a voter which
// answered promised the newest epoch.
func (r *Repairer) ownerReachable(ctx scope.Scope, key string, found clusterView) bool {
	var newest ids.Epoch
	for _, told := range found.digests {
		if promised := told.key(key).Promised; promised.Compare(newest) > 0 {
			newest = promised
		}
	}
	if _, seated := found.voters.member(newest.Owner); seated {
		_, answered := found.digests[newest.Owner]
		return answered
	}
	_, err := r.Joiner.fetchDigest(ctx, newest.Owner)
	return err == nil
}

// HasLagging tells whether some key lagged in the last round.
func (r *Repairer) HasLagging() bool { return len(r.laggingRounds) > 0 }

// HandOff makes sure that what this disk holds the newest of is held by enough
// others, and tells whether it is; one that leaves asks until it is so.
func (r *Repairer) HandOff(ctx scope.Scope) bool {
	if !r.Joiner.Acceptor.Voting() {
		return true
	}
	found, whole := r.survey(ctx), true
	own := found.digests[r.Joiner.Address]
	for _, held := range own.Keys {
		others := found.copies(held.Key) - 1
		if found.newest[held.Key].proposal().newerThan(held.proposal()) || others >= min(r.MinCopies, len(found.voters.Members)-1) {
			continue
		}
		lagging := found.lagging(held.Key, held)
		if err := r.Joiner.Proposer.Repair(ctx, held.Key, lagging); errors.Is(err, ErrNotOwner) {
			_ = r.Joiner.Proposer.Reacquire(ctx, held.Key)
		}
		// Whether that was enough is looked at anew.
		whole = false
	}
	return whole
}

// CatchUp takes what voters, asked in turn, hold newer than this disk: one that
// stands by is then close behind when a seat is free. What it takes is no vote
// and remembers no promise; both come with the learning for a seat.
func (r *Repairer) CatchUp(ctx scope.Scope) {
	joiner := r.Joiner
	peers := joiner.otherVoters(joiner.Acceptor.Voters())
	if joiner.Acceptor.Voting() || len(peers) == 0 {
		return
	}
	r.nextPeer++
	address := peers[r.nextPeer%len(peers)]
	short, release := joiner.withRequestTimeout(ctx)
	defer release()
	told, err := joiner.Replicas.Held(short, address)
	if err != nil {
		return
	}
	for _, held := range told.Keys {
		if slot, whole := joiner.fetchSlot(ctx, held.Key, newestCopy{digest: held, source: address}); whole && slot.Accepted.Sequence > 0 {
			slot.Promised = ids.Epoch{}
			_ = joiner.Acceptor.Learn([]Slot{slot})
		}
	}
}
