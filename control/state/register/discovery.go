package register

import (
	"maps"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
)

// replaceable tells whether a voter's seat is free: by what this machine saw itself, or
// since a majority of the voters miss it.
func (j *Joiner) replaceable(address ids.Address) bool {
	if back := j.returned.Load(); back != nil && (*back)[address] {
		return false
	}
	away := j.missedByMajority.Load()
	return (away != nil && (*away)[address]) || j.Replaceable(address)
}

// markReturned notes that one which seemed gone answered in this run.
func (j *Joiner) markReturned(address ids.Address) {
	grown := map[ids.Address]bool{address: true}
	if back := j.returned.Load(); back != nil {
		maps.Copy(grown, *back)
	}
	j.returned.Store(&grown)
}

// discoverVoters learns who the voters are and whom of their number they miss: a newcomer
// knows nobody for long enough to miss them itself. A majority that votes under
// the voters known here is word enough that these are the newest: a majority of
// them would hold any newer ones. All others are asked where there is none.
func (j *Joiner) discoverVoters(ctx scope.Scope) {
	j.missedByMajority.Store(nil)
	for range maxDiscoveryRounds {
		voters := j.Acceptor.Voters()
		heard, contended := j.pollVoters(ctx, voters)
		if contended && j.RequestTimeout > 0 && ctx.Wait(j.RequestTimeout/2+random.Duration(j.RequestTimeout)) {
			continue
		}
		if heard {
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

// askPeersForVoters asks all other controllers for the voters. Who knows none is content
// with the first that it hears of: these know newer ones if there are any.
func (j *Joiner) askPeersForVoters(ctx scope.Scope, voters VoterSet) {
	doubt := func(address ids.Address) bool { return voters.Generation == 0 || j.suspected(address) }
	known := func() bool { return j.Acceptor.Voters().Generation > 0 }
	gather(j, j.withoutReplaceable(j.Peers()), doubt, known, func(address ids.Address) (struct{}, bool) {
		j.LearnVoters(ctx, address)
		return struct{}{}, true
	}, func(ids.Address, struct{}) {})
}

// maxDiscoveryRounds bounds how often one run follows voters that change.
const maxDiscoveryRounds = 3

// pollVoters asks the voters whom they miss, and tells whether a majority of
// them votes under these, and whether another is changing them just now: two that
// bid against each other both get nowhere. A bid that was seen before is one that
// was given up. Newer voters that one of them knows are learnt.
func (j *Joiner) pollVoters(ctx scope.Scope, voters VoterSet) (majority bool, contended bool) {
	reports, heard, bid := map[ids.Address]int{}, 0, ids.Epoch{}
	missed := func(address ids.Address) bool {
		return j.suspected(address) || reports[address] >= quorum(len(voters.Members))
	}
	gather(j, j.withoutReplaceable(j.otherVoters(voters)), missed, always, func(address ids.Address) (DigestResponse, bool) {
		told, err := j.fetchDigest(ctx, address)
		j.learnNewerVoters(ctx, address, voters, told, err)
		return told, err == nil && told.Voting
	}, func(_ ids.Address, told DigestResponse) {
		if told.Fingerprint == voters.Fingerprint() {
			heard++
		}
		if cohort := told.key(VotersKey); cohort.Promised != cohort.Epoch && cohort.Promised.Compare(bid) > 0 {
			bid = cohort.Promised
		}
		for _, missed := range told.Unreachable {
			reports[missed]++
		}
	})
	away := map[ids.Address]bool{}
	for address, count := range reports {
		away[address] = count >= quorum(len(voters.Members))
	}
	j.missedByMajority.Store(&away)
	contended = bid.Number > 0 && bid.Owner != j.Address && bid != j.pendingEpoch
	j.pendingEpoch = bid
	return voters.Generation > 0 && heard >= quorum(len(voters.Members)), contended
}

// learnNewerVoters learns the voters from one that knows others than these, and none older.
func (j *Joiner) learnNewerVoters(ctx scope.Scope, address ids.Address, voters VoterSet, told DigestResponse, err error) {
	if err == nil && told.Generation >= voters.Generation && told.Fingerprint != voters.Fingerprint() {
		j.LearnVoters(ctx, address)
	}
}
