package register

import (
	"context"
	"errors"

	"onyxwell/base/ids"
)

// Repairer runs the anti-entropy between voters: it compares their digests and
// brings lagging voters up to date. While none lags, only digests are exchanged.
// It must be used from one goroutine at a time.
type Repairer struct {
	Joiner *Joiner
	// MinCopies is the number of other disks that must hold a leaving voter's
	// proposals before it may stop.
	MinCopies int

	// lastNewest is the newest digest of each key in the last round.
	lastNewest map[string]KeyDigest
	// laggingRounds counts the successive rounds in which a key lagged, from 0 again
	// after a takeover; takeovers counts how often the key was acquired here for
	// repair while it lagged.
	laggingRounds map[string]int
	takeovers     map[string]int
	nextPeer      int
}

// takeoverRounds is the number of successive rounds that a key may lag before a
// voter other than its owner acquires it; if the owner does not answer, one round
// is enough. A voter waits two more rounds for each answering voter that precedes
// it in the voter set, and doubles its wait after each takeover, up to
// 1<<maxTakeoverBackoff times the initial one.
const (
	takeoverRounds     = 3
	maxTakeoverBackoff = 6
)

// Round surveys the voters, repairs lagging keys, and returns the redundancy found
// by the survey. A voter lags if its proposal of a key is older than the newest one
// of the previous round, so updates that are still being written are left alone.
func (r *Repairer) Round(ctx context.Context) Redundancy {
	view := r.survey(ctx)
	before := r.lastNewest
	r.lastNewest = view.newest
	for _, key := range view.keys {
		lagging := view.lagging(key, before[key])
		if len(lagging) == 0 {
			delete(r.laggingRounds, key)
			delete(r.takeovers, key)
			continue
		}
		r.repairKey(ctx, key, view, lagging)
	}
	return view.redundancy()
}

// repairKey repairs a key that is owned here, and acquires one that its owner does
// not repair.
func (r *Repairer) repairKey(ctx context.Context, key string, view clusterView, lagging []Member) {
	proposer := r.Joiner.Proposer
	if r.laggingRounds == nil {
		r.laggingRounds, r.takeovers = map[string]int{}, map[string]int{}
	}
	r.laggingRounds[key]++
	if proposer.Owns(key) {
		if err := proposer.Repair(ctx, key, lagging); !errors.Is(err, ErrNotOwner) {
			return
		}
	}
	requiredRounds := takeoverRounds + 2*view.rank(r.Joiner.Address)
	if !r.ownerReachable(ctx, key, view) {
		requiredRounds -= takeoverRounds - 1
	}
	if r.Joiner.Acceptor.Slot(key).Promised.Owner == r.Joiner.Address {
		// This machine owned the key before it restarted, so no other repairs it.
		requiredRounds = 1
	}
	if r.laggingRounds[key] >= requiredRounds<<min(r.takeovers[key], maxTakeoverBackoff) {
		r.takeovers[key]++
		r.laggingRounds[key] = 0
		_ = proposer.Reacquire(ctx, key)
	}
}

// ownerReachable reports whether the owner of a key answers. The owner is the
// controller to which the voters have promised the highest epoch.
func (r *Repairer) ownerReachable(ctx context.Context, key string, view clusterView) bool {
	var highest ids.Epoch
	for _, digest := range view.digests {
		if promised := digest.key(key).Promised; promised.Compare(highest) > 0 {
			highest = promised
		}
	}
	if _, ok := view.voters.member(highest.Owner); ok {
		_, answered := view.digests[highest.Owner]
		return answered
	}
	_, err := r.Joiner.fetchDigest(ctx, highest.Owner)
	return err == nil
}

// HasLagging reports whether some key lagged in the last round.
func (r *Repairer) HasLagging() bool { return len(r.laggingRounds) > 0 }

// HandOff reports whether MinCopies other disks, or all if there are fewer, hold
// each newest proposal that this disk holds. Where they do not, it has the proposal
// copied and returns false; the next call checks the result. A leaving voter calls
// it until it returns true.
func (r *Repairer) HandOff(ctx context.Context) bool {
	if !r.Joiner.Acceptor.Voting() {
		return true
	}
	view, complete := r.survey(ctx), true
	own := view.digests[r.Joiner.Address]
	for _, digest := range own.Keys {
		others := view.copies(digest.Key) - 1
		if view.newest[digest.Key].proposal().newerThan(digest.proposal()) || others >= min(r.MinCopies, len(view.voters.Members)-1) {
			continue
		}
		lagging := view.lagging(digest.Key, digest)
		if err := r.Joiner.Proposer.Repair(ctx, digest.Key, lagging); errors.Is(err, ErrNotOwner) {
			_ = r.Joiner.Proposer.Reacquire(ctx, digest.Key)
		}
		// The survey of the next call shows whether this was sufficient.
		complete = false
	}
	return complete
}

// CatchUp learns newer proposals from one voter per call, in rotation, so that a
// standby has little left to learn when a place becomes free. It learns no promise
// and casts no vote; both follow when the standby joins.
func (r *Repairer) CatchUp(ctx context.Context) {
	j := r.Joiner
	others := j.otherVoters(j.Acceptor.Voters())
	if j.Acceptor.Voting() || len(others) == 0 {
		return
	}
	r.nextPeer++
	address := others[r.nextPeer%len(others)]
	limited, cancel := j.withRequestTimeout(ctx)
	defer cancel()
	resp, err := j.Replicas.FetchDigest(limited, address)
	if err != nil {
		return
	}
	for _, digest := range resp.Keys {
		if slot, ok := j.fetchSlot(ctx, digest.Key, newestCopy{digest: digest, source: address}); ok && slot.Accepted.Sequence > 0 {
			slot.Promised = ids.Epoch{}
			_ = j.Acceptor.Learn([]Slot{slot})
		}
	}
}
