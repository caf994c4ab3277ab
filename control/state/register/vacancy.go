package register

import (
	"slices"

	"onyxwell/base/ids"
)

// maxStalledLearnerRuns is how many runs a standby waits for another's learner.
const maxStalledLearnerRuns = 8

// maxPlacementDeferralRuns is how many runs a standby leaves a free place to others
// if its zone or region has voters enough.
const maxPlacementDeferralRuns = 2

// countStalledRun counts the runs under one voter set.
func (j *Joiner) countStalledRun() {
	if fingerprint := j.Acceptor.Voters().Fingerprint(); fingerprint != j.stalledFingerprint {
		j.stalledFingerprint, j.stalledRuns = fingerprint, 0
	}
	j.stalledRuns++
}

// findVacancy returns the index of the member to replace, or the one behind the
// last: this machine's own; or, while no other is a learner, that of a lost voter
// or a further one. A learner that makes no progress is replaced, for its vote is
// missing anyway: two replacements don't wait for each other for ever.
func (j *Joiner) findVacancy(voters VoterSet) (int, bool) {
	lost, learner := -1, -1
	var others []ids.Address
	for index, member := range voters.Members {
		if member.Address == j.Address {
			return index, true
		}
		others = append(others, member.Address)
		if j.replaceable(member.Address) {
			lost = index
		} else if member.Learner {
			learner = index
		}
	}
	if learner >= 0 {
		return learner, j.stalledRuns > maxStalledLearnerRuns
	}
	if lost >= 0 {
		// Standbys where fewer voters are go first.
		return lost, j.PlacementAllowed(slices.Delete(others, lost, lost+1)) || j.stalledRuns > maxPlacementDeferralRuns
	}
	return len(others), len(others) < j.TargetVoters && j.PlacementAllowed(others)
}

// HasVacancy reports, without a request, whether there seems to be a place in the
// voter set for this machine.
func (j *Joiner) HasVacancy() bool {
	_, ok := j.findVacancy(j.Acceptor.Voters())
	return ok
}

// learnQuorum is how many other voters a new one must learn from, so that every
// majority which its vote could have been part of is met. If as many disks are
// blank as leave a majority, that is every disk which is not.
func learnQuorum(voters int) int { return voters - quorum(voters) + 1 }
