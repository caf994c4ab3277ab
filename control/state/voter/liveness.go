package voter

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
)

// view is what of the voters is seen from here without a question, and since
// when it has been so.
type view struct {
	votersMark int64
	silent     string
	calm       bool
	since      clock.Instant
}

// checkDue tells whether the next look should come at once: what is seen of the
// voters just changed, or is not calm and has not been like this for long.
func (v *Voter) checkDue(now clock.Instant) bool {
	voters := v.Acceptor.Voters()
	v.trackVoters(now, voters)
	seen := view{votersMark: voters.Fingerprint(), calm: voters.Generation > 0}
	for _, voter := range voters.Members {
		if voter.Learner || v.suspected(voter.Address) {
			seen.silent += string(voter.Address) + " "
		}
	}
	voting := v.Voting()
	seen.calm = seen.calm && seen.silent == "" && (voting || !v.joiner.HasVacancy())
	v.mu.Lock()
	defer v.mu.Unlock()
	if voting {
		seen.calm = seen.calm && v.redundancy.CurrentVotes == v.redundancy.Voters && !v.survey.HasLagging()
	}
	seen.since = v.lastView.since
	if seen != v.lastView {
		seen.since = now
		v.lastView = seen
	}
	age := now.Since(seen.since)
	return age < v.options.Timing.SuspectAfter || (!seen.calm && age < v.options.Timing.ActiveFor)
}

// trackVoters notes since when each voter has been one.
func (v *Voter) trackVoters(now clock.Instant, voters register.VoterSet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	watched := map[ids.Address]clock.Instant{}
	for _, voter := range voters.Members {
		since, known := v.voterSince[voter.Address]
		if !known {
			since = now
		}
		watched[voter.Address] = since
	}
	v.voterSince = watched
}

// suspected tells whether a voter has been silent for a while.
func (v *Voter) suspected(address ids.Address) bool {
	return v.silentFor(address, v.options.Timing.SuspectAfter)
}

// responsive tells whether one answered a question that was sent a moment ago.
func (v *Voter) responsive(address ids.Address) bool {
	if v.options.Quorum == nil {
		return false
	}
	asked := v.options.Quorum.LastContact(address)
	return asked > 0 && v.now().Since(asked) < v.options.Timing.SuspectAfter
}

// silentFor tells whether a voter has answered nothing for so long, though a majority
// answers here: one that is cut off or stood still itself misses nobody.
func (v *Voter) silentFor(address ids.Address, span clock.Span) bool {
	now := v.now()
	if v.options.Quorum == nil || address == v.options.Address || !v.options.Quorum.HasQuorum(now) {
		return false
	}
	v.mu.Lock()
	since, voter := v.voterSince[address]
	v.mu.Unlock()
	return voter && now.Since(max(since, v.options.Quorum.LastContact(address))) >= span
}

// recordMissed notes since when voters have not answered the looks.
func (v *Voter) recordMissed(begin clock.Instant, away []ids.Address) {
	missed := map[ids.Address]clock.Instant{}
	for _, address := range away {
		missed[address] = begin
		if since, known := v.missedSince[address]; known {
			missed[address] = since
		}
	}
	v.missedSince = missed
}

// lostVoters gives the voters that did not answer for so long that their seats may be
// taken: not one of the looks, or nothing at all.
func (v *Voter) lostVoters() []ids.Address {
	var found []ids.Address
	v.mu.Lock()
	for address, since := range v.missedSince {
		if v.now().Since(since) >= v.options.Timing.LostAfter {
			found = append(found, address)
		}
	}
	v.mu.Unlock()
	for _, voter := range v.Acceptor.Voters().Members {
		if !slices.Contains(found, voter.Address) && v.silentFor(voter.Address, v.options.Timing.LostAfter) {
			found = append(found, voter.Address)
		}
	}
	slices.Sort(found)
	return found
}
