package register

import (
	"context"
	"maps"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// replaceable reports whether a voter may be replaced: by what this machine
// observed itself, or because a majority of the voters miss it.
func (j *Joiner) replaceable(address ids.Address) bool {
	if returned := j.returned.Load(); returned != nil && (*returned)[address] {
		return false
	}
	unreachable := j.unreachableByMajority.Load()
	return (unreachable != nil && (*unreachable)[address]) || j.Replaceable(address)
}

// markReturned notes that a voter which seemed lost answered in this run.
func (j *Joiner) markReturned(address ids.Address) {
	returned := map[ids.Address]bool{address: true}
	if before := j.returned.Load(); before != nil {
		maps.Copy(returned, *before)
	}
	j.returned.Store(&returned)
}

// maxDiscoveryRounds bounds how often one run follows a voter set that changes.
const maxDiscoveryRounds = 3

// discoverVoters learns the newest voter set, and which voters the others miss:
// a newcomer hasn't observed them for long enough itself. If a majority votes
// under the set known here it is the newest, for a majority of it would hold any
// newer one. Otherwise all peers are asked.
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

// askPeersForVoters asks all peers for their voter set. If none is known here the
// first response suffices: its voters know a newer set if there is one.
func (j *Joiner) askPeersForVoters(ctx context.Context, voters VoterSet) {
	optional := func(address ids.Address) bool { return voters.Generation == 0 || j.suspected(address) }
	known := func() bool { return j.Acceptor.Voters().Generation > 0 }
	gatherUntil(j, j.withoutReplaceable(j.Peers()), optional, known, j.voterSetRequest(ctx), ignoreResponse)
}

// LearnVoters takes over the voter set that another controller knows.
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

// voterSetRequest returns LearnVoters as a request for gather.
func (j *Joiner) voterSetRequest(ctx context.Context) func(address ids.Address) (struct{}, bool) {
	return func(address ids.Address) (struct{}, bool) {
		j.LearnVoters(ctx, address)
		return struct{}{}, true
	}
}

func ignoreResponse(ids.Address, struct{}) {}

// learnNewerVoters takes over the voter set of a replica whose digest names
// another one than this, and not an older one.
func (j *Joiner) learnNewerVoters(ctx context.Context, address ids.Address, voters VoterSet, digest DigestResponse) {
	if digest.Generation >= voters.Generation && digest.Fingerprint != voters.Fingerprint() {
		j.LearnVoters(ctx, address)
	}
}

// pollVoters asks the voters whom they miss. It reports whether a majority votes
// under this set, and whether another proposer is changing it just now: two that
// outbid each other both get nowhere. A pending epoch that was seen before is
// taken for given up.
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

// ReconcileVoters brings whichever side of a fenced request knows an older voter
// set up to date; generation is that of the other side. Under one generation two
// proposers may have proposed different sets, so both are exchanged.
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
