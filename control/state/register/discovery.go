package register

import (
	"context"
	"maps"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// replaceable reports whether a voter may be replaced: because this machine itself
// found it lost, or because a majority of the voters can't reach it. A voter that
// answered during this run may not be replaced.
func (j *Joiner) replaceable(address ids.Address) bool {
	if returned := j.returned.Load(); returned != nil && (*returned)[address] {
		return false
	}
	unreachable := j.unreachableByMajority.Load()
	return (unreachable != nil && (*unreachable)[address]) || j.Replaceable(address)
}

// markReturned records that a voter that seemed lost has answered during this run.
func (j *Joiner) markReturned(address ids.Address) {
	returned := map[ids.Address]bool{address: true}
	if before := j.returned.Load(); before != nil {
		maps.Copy(returned, *before)
	}
	j.returned.Store(&returned)
}

// maxDiscoveryRounds limits how often one run repeats the discovery because the
// voter set changed or is being changed.
const maxDiscoveryRounds = 3

// discoverVoters learns the newest voter set, and which voters a majority can't
// reach, since a joining controller has not observed them for long enough itself.
// If a majority votes under the set known here, that set is the newest: a majority
// of it would hold any newer one. Otherwise all peers are asked.
func (j *Joiner) discoverVoters(ctx context.Context) {
	j.unreachableByMajority.Store(nil)
	for range maxDiscoveryRounds {
		voters := j.Acceptor.Voters()
		confirmed, contended := j.pollVoters(ctx, voters)
		if contended && j.RequestTimeout > 0 && clock.Wait(ctx, j.Clock, j.RequestTimeout/2+random.Duration(j.RequestTimeout)) {
			continue
		}
		if confirmed {
			return
		}
		if j.Acceptor.Voters().Fingerprint() == voters.Fingerprint() {
			j.askPeersForVoters(ctx, voters)
		}
		if j.Acceptor.Voters().Fingerprint() == voters.Fingerprint() {
			return
		}
	}
}

// askPeersForVoters asks all peers for their voter set. If none is known here, the
// first one received suffices: its voters know any newer one.
func (j *Joiner) askPeersForVoters(ctx context.Context, voters VoterSet) {
	optional := func(address ids.Address) bool { return voters.Generation == 0 || j.suspected(address) }
	known := func() bool { return j.Acceptor.Voters().Generation > 0 }
	gatherUntil(j, j.withoutReplaceable(j.Peers()), optional, known, j.voterSetRequest(ctx), ignoreResponse)
}

// LearnVoters fetches the voter set that another controller knows and learns it.
func (j *Joiner) LearnVoters(ctx context.Context, address ids.Address) {
	ctx, cancel := j.withRequestTimeout(ctx)
	defer cancel()
	resp, err := j.Replicas.Fetch(ctx, address, FetchRequest{Key: VotersKey})
	if err != nil {
		return
	}
	for _, slot := range resp.Slots {
		slot.Promised = ids.Epoch{}
		_ = j.Acceptor.Learn([]Slot{slot})
	}
}

// voterSetRequest adapts LearnVoters to the request argument of gather.
func (j *Joiner) voterSetRequest(ctx context.Context) func(address ids.Address) (struct{}, bool) {
	return func(address ids.Address) (struct{}, bool) {
		j.LearnVoters(ctx, address)
		return struct{}{}, true
	}
}

// ignoreResponse is the handle argument of gather for voterSetRequest, which has
// no response to handle.
func ignoreResponse(ids.Address, struct{}) {}

// learnNewerVoters learns the voter set of a replica if its digest names a set
// other than the given one, of the same or a newer generation.
func (j *Joiner) learnNewerVoters(ctx context.Context, address ids.Address, voters VoterSet, digest DigestResponse) {
	if digest.Generation >= voters.Generation && digest.Fingerprint != voters.Fingerprint() {
		j.LearnVoters(ctx, address)
	}
}

// pollVoters asks the voters which others they can't reach. confirmed reports
// whether a majority votes under this set. contended reports whether another
// proposer seems to be changing it: two proposers that preempt each other make no
// progress. A pending epoch that the previous poll saw too is taken for abandoned.
func (j *Joiner) pollVoters(ctx context.Context, voters VoterSet) (confirmed bool, contended bool) {
	majority := quorum(len(voters.Members))
	unreachableCounts, votes, pending := map[ids.Address]int{}, 0, ids.Epoch{}
	optional := func(address ids.Address) bool { return j.suspected(address) || unreachableCounts[address] >= majority }
	always := func() bool { return true }
	gatherUntil(j, j.withoutReplaceable(j.otherVoters(voters)), optional, always, func(address ids.Address) (DigestResponse, bool) {
		digest, err := j.fetchDigest(ctx, address)
		if err != nil {
			return digest, false
		}
		j.learnNewerVoters(ctx, address, voters, digest)
		return digest, digest.Voting
	}, func(_ ids.Address, digest DigestResponse) {
		if digest.Fingerprint == voters.Fingerprint() {
			votes++
		}
		if slot := digest.key(VotersKey); slot.Promised != slot.Epoch && slot.Promised.Compare(pending) > 0 {
			pending = slot.Promised
		}
		for _, unreachable := range digest.Unreachable {
			unreachableCounts[unreachable]++
		}
	})
	unreachable := map[ids.Address]bool{}
	for address, count := range unreachableCounts {
		unreachable[address] = count >= majority
	}
	j.unreachableByMajority.Store(&unreachable)
	contended = pending.Number > 0 && pending.Owner != j.Address && pending != j.pendingEpoch
	j.pendingEpoch = pending
	return voters.Generation > 0 && votes >= majority, contended
}

// ReconcileVoters exchanges voter sets with a peer that fenced off a request, so
// that the side with the older one learns the newer; generation is the peer's. If
// the generations are equal, two proposers may have proposed different sets, so
// each side sends its own.
func (j *Joiner) ReconcileVoters(ctx context.Context, address ids.Address, generation int64) {
	own := j.Acceptor.Voters().Generation
	if generation >= own {
		j.LearnVoters(ctx, address)
	}
	if generation <= own {
		slot := j.Acceptor.Slot(VotersKey)
		slot.Promised = ids.Epoch{}
		_ = j.Replicas.Learn(ctx, address, []Slot{slot})
	}
}
