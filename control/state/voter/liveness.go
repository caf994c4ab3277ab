package voter

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
)

// view is what is known of the voters without a request, and since when.
type view struct {
	votersFingerprint int64
	// suspects are the learners and the suspected voters.
	suspects string
	// stable says that nothing is left to be done.
	stable bool
	since  clock.Instant
}

// checkDue reports whether to survey, or try to join, at the next tick: the view
// of the voters has just changed, or it is not stable and has not been like that
// for long.
func (v *Voter) checkDue(now clock.Instant) bool {
	voters := v.Acceptor.Voters()
	v.trackVoters(now, voters)
	current := view{votersFingerprint: voters.Fingerprint(), stable: voters.Generation > 0}
	for _, voter := range voters.Members {
		if voter.Learner || v.suspected(voter.Address) {
			current.suspects += string(voter.Address) + " "
		}
	}
	voting := v.Voting()
	current.stable = current.stable && current.suspects == "" && (voting || !v.joiner.HasVacancy())
	v.mu.Lock()
	defer v.mu.Unlock()
	if voting {
		current.stable = current.stable && v.redundancy.CurrentVotes == v.redundancy.Voters && !v.repairer.HasLagging()
	}
	current.since = v.lastView.since
	if current != v.lastView {
		current.since = now
		v.lastView = current
	}
	age := now.Since(current.since)
	return age < v.options.Timing.SuspectAfter || (!current.stable && age < v.options.Timing.ActiveFor)
}

// trackVoters records since when each voter has been one.
func (v *Voter) trackVoters(now clock.Instant, voters register.VoterSet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	tracked := map[ids.Address]clock.Instant{}
	for _, voter := range voters.Members {
		since, ok := v.voterSince[voter.Address]
		if !ok {
			since = now
		}
		tracked[voter.Address] = since
	}
	v.voterSince = tracked
}

// suspected reports whether a voter has been silent for a while.
func (v *Voter) suspected(address ids.Address) bool {
	return v.silentFor(address, v.options.Timing.SuspectAfter)
}

// responsive reports whether a controller answered a request that was sent a
// moment ago.
func (v *Voter) responsive(address ids.Address) bool {
	if v.options.Quorum == nil {
		return false
	}
	contact := v.options.Quorum.LastContact(address)
	return contact > 0 && v.clock.Now().Since(contact) < v.options.Timing.SuspectAfter
}

// silentFor reports whether a voter has answered nothing for the span though a
// majority answers here: a controller that is partitioned or stalled itself takes
// nobody for silent.
func (v *Voter) silentFor(address ids.Address, span clock.Span) bool {
	now := v.clock.Now()
	if v.options.Quorum == nil || address == v.options.Address || !v.options.Quorum.HasQuorum(now) {
		return false
	}
	v.mu.Lock()
	since, ok := v.voterSince[address]
	v.mu.Unlock()
	return ok && now.Since(max(since, v.options.Quorum.LastContact(address))) >= span
}

// recordMissed records since when voters have not answered the surveys. The caller
// holds v.mu.
func (v *Voter) recordMissed(surveyed clock.Instant, unreachable []ids.Address) {
	missed := map[ids.Address]clock.Instant{}
	for _, address := range unreachable {
		missed[address] = surveyed
		if since, ok := v.missedSince[address]; ok {
			missed[address] = since
		}
	}
	v.missedSince = missed
}

// lostVoters returns the voters that for LostAfter have not answered a survey, or
// nothing at all: their places may be taken, once a majority of the voters agrees.
func (v *Voter) lostVoters() []ids.Address {
	var lost []ids.Address
	v.mu.Lock()
	for address, since := range v.missedSince {
		if v.clock.Now().Since(since) >= v.options.Timing.LostAfter {
			lost = append(lost, address)
		}
	}
	v.mu.Unlock()
	for _, voter := range v.Acceptor.Voters().Members {
		if !slices.Contains(lost, voter.Address) && v.silentFor(voter.Address, v.options.Timing.LostAfter) {
			lost = append(lost, voter.Address)
		}
	}
	slices.Sort(lost)
	return lost
}
