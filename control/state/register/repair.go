package register

import (
	"context"
	"errors"

	"onyxwell/base/ids"
)

// Repairer is the anti-entropy between voters: it compares their digests and has
// lagging ones brought up to date. While none lags only digests travel. It
// belongs to one goroutine.
type Repairer struct {
	Joiner *Joiner
	// MinCopies is how many other disks must hold what a leaving voter holds.
	MinCopies int

	// lastNewest is that of the last round, per key.
	lastNewest map[string]KeyDigest
	// laggingRounds counts the successive rounds in which a key lagged,
	// takeovers the times that it was acquired here to repair it.
	laggingRounds map[string]int
	takeovers     map[string]int
	nextPeer      int
}

// takeoverRounds is how many successive rounds a key may lag before another voter
// than its owner acquires it. Each voter waits two more for every one that
// precedes it in the voter set, and twice as long after each takeover, up to
// 1<<maxTakeoverBackoff times.
const (
	takeoverRounds     = 3
	maxTakeoverBackoff = 6
)

// Round surveys the voters, repairs what lags, and returns the redundancy that it
// found. A voter lags if it is behind the newest proposal of the round before:
// updates that are just being written are left alone.
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

// repairKey repairs an owned key, and acquires one that its owner doesn't repair.
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
		// This machine owned the key before a restart: nobody else repairs it.
		requiredRounds = 1
	}
	if r.laggingRounds[key] >= requiredRounds<<min(r.takeovers[key], maxTakeoverBackoff) {
		r.takeovers[key]++
		r.laggingRounds[key] = 0
		_ = proposer.Reacquire(ctx, key)
	}
}

// ownerReachable reports whether the owner of a key answers: the one that the
// voters promised the highest epoch.
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

// HandOff has the newest proposals that this disk holds copied to MinCopies
// others, or to all there are, and reports whether they were already. A voter
// that leaves calls it until they are.
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
		// The next survey tells whether that was enough.
		complete = false
	}
	return complete
}

// CatchUp takes over newer proposals from the voters, one voter a call in turn: a
// standby then has little left to learn when a place is free. It takes over no
// promise and casts no vote; both come with learning as a member.
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
