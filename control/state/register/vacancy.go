package register

import (
	"slices"

	"onyxwell/base/ids"
)

// maxStalledLearnerRuns is the number of runs that a standby waits for another
// machine's learner to become a voter before it replaces it.
const maxStalledLearnerRuns = 8

// maxPlacementDeferralRuns is the number of runs for which a standby whose zone or
// region has enough voters leaves a lost voter's place to other standbys.
const maxPlacementDeferralRuns = 2

// countStalledRun increments stalledRuns, which starts at 0 for each voter set.
func (j *Joiner) countStalledRun() {
	if fingerprint := j.Acceptor.Voters().Fingerprint(); fingerprint != j.stalledFingerprint {
		j.stalledFingerprint, j.stalledRuns = fingerprint, 0
	}
	j.stalledRuns++
}

// findVacancy returns the index of the place for this machine in the voter set:
// that of its own address if there is one; otherwise, while no other member is a
// learner, that of a lost voter or, if the set is to grow, the index after the
// last. A learner that makes no progress is replaced: its vote is missing anyway,
// and two concurrent replacements would otherwise wait for each other forever.
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
		// Standbys in zones and regions with fewer voters take precedence.
		return lost, j.PlacementAllowed(slices.Delete(others, lost, lost+1)) || j.stalledRuns > maxPlacementDeferralRuns
	}
	return len(others), len(others) < j.TargetVoters && j.PlacementAllowed(others)
}

// HasVacancy reports whether, by the state known here, the voter set has a place
// for this machine. It sends no request.
func (j *Joiner) HasVacancy() bool {
	_, ok := j.findVacancy(j.Acceptor.Voters())
	return ok
}

// learnQuorum is the number of other voters that a new voter must learn from, so
// that they include a member of every majority to which the place's earlier vote
// could have belonged. If the disks that are not blank are a bare majority, that
// is all of them.
func learnQuorum(voters int) int { return voters - quorum(voters) + 1 }
