package voter

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
)

// sight is what of the voters is seen from here without a question, and since
// when it has been so.
type sight struct {
	mark   int64
	silent string
	calm   bool
	since  clock.Instant
}

// stirred tells whether the next look should come at once: what is seen of the
// voters just changed, or is not calm and has not been like this for long.
func (s *Seat) stirred(now clock.Instant) bool {
	voters := s.Acceptor.Voters()
	s.watch(now, voters)
	seen := sight{mark: voters.Fingerprint(), calm: voters.Generation > 0}
	for _, voter := range voters.Members {
		if voter.Learner || s.doubted(voter.Address) {
			seen.silent += string(voter.Address) + " "
		}
	}
	voting := s.Voting()
	seen.calm = seen.calm && seen.silent == "" && (voting || !s.joiner.HasVacancy())
	s.mu.Lock()
	defer s.mu.Unlock()
	if voting {
		seen.calm = seen.calm && s.redundancy.CurrentVotes == s.redundancy.Voters && !s.survey.HasLagging()
	}
	seen.since = s.seen.since
	if seen != s.seen {
		seen.since = now
		s.seen = seen
	}
	age := now.Since(seen.since)
	return age < s.options.Pace.Doubt || (!seen.calm && age < s.options.Pace.Stir)
}

// watch notes since when each voter has been one.
func (s *Seat) watch(now clock.Instant, voters register.VoterSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watched := map[ids.Address]clock.Instant{}
	for _, voter := range voters.Members {
		since, known := s.watched[voter.Address]
		if !known {
			since = now
		}
		watched[voter.Address] = since
	}
	s.watched = watched
}

// doubted tells whether a voter has been silent for a while.
func (s *Seat) doubted(address ids.Address) bool {
	return s.silent(address, s.options.Pace.Doubt)
}

// answers tells whether one answered a question that was sent a moment ago.
func (s *Seat) answers(address ids.Address) bool {
	if s.options.Contact == nil {
		return false
	}
	asked := s.options.Contact.Answered(address)
	return asked > 0 && s.now().Since(asked) < s.options.Pace.Doubt
}

// silent tells whether a voter has answered nothing for so long, though a majority
// answers here: one that is cut off or stood still itself misses nobody.
func (s *Seat) silent(address ids.Address, span clock.Span) bool {
	now := s.now()
	if s.options.Contact == nil || address == s.options.Address || !s.options.Contact.Fresh(now) {
		return false
	}
	s.mu.Lock()
	since, voter := s.watched[address]
	s.mu.Unlock()
	return voter && now.Since(max(since, s.options.Contact.Answered(address))) >= span
}

// miss notes since when voters have not answered the looks.
func (s *Seat) miss(begin clock.Instant, away []ids.Address) {
	missed := map[ids.Address]clock.Instant{}
	for _, address := range away {
		missed[address] = begin
		if since, known := s.missed[address]; known {
			missed[address] = since
		}
	}
	s.missed = missed
}

// away gives the voters that did not answer for so long that their seats may be
// taken: not one of the looks, or nothing at all.
func (s *Seat) away() []ids.Address {
	var found []ids.Address
	s.mu.Lock()
	for address, since := range s.missed {
		if s.now().Since(since) >= s.options.Pace.Missed {
			found = append(found, address)
		}
	}
	s.mu.Unlock()
	for _, voter := range s.Acceptor.Voters().Members {
		if !slices.Contains(found, voter.Address) && s.silent(voter.Address, s.options.Pace.Missed) {
			found = append(found, voter.Address)
		}
	}
	slices.Sort(found)
	return found
}
