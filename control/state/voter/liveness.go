package voter

import (
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
)

// liveness tracks which voters respond, from contact with them and from surveys.
// It sends no requests itself, and is safe for concurrent use.
type liveness struct {
	options *Options
	clock   clock.Clock

	mu sync.Mutex
	// voterSince holds when each member was first seen in the voter set, and
	// unreachableSince the time of the first of the successive surveys that a
	// voter did not respond to.
	voterSince       map[ids.Address]clock.Instant
	unreachableSince map[ids.Address]clock.Instant
}

// trackVoters updates voterSince for the members of the voter set.
func (l *liveness) trackVoters(now clock.Instant, voters register.VoterSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := map[ids.Address]clock.Instant{}
	for _, voter := range voters.Members {
		since, ok := l.voterSince[voter.Address]
		if !ok {
			since = now
		}
		updated[voter.Address] = since
	}
	l.voterSince = updated
}

// recordUnreachable records which voters did not respond to a survey that was
// sent at the given instant.
func (l *liveness) recordUnreachable(surveyed clock.Instant, unreachable []ids.Address) {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := map[ids.Address]clock.Instant{}
	for _, address := range unreachable {
		updated[address] = surveyed
		if since, ok := l.unreachableSince[address]; ok {
			updated[address] = since
		}
	}
	l.unreachableSince = updated
}

// responsive reports whether a controller responded to a request that was sent
// less than SuspectAfter ago.
func (l *liveness) responsive(address ids.Address) bool {
	if l.options.Quorum == nil {
		return false
	}
	contact := l.options.Quorum.LastContact(address)
	return contact > 0 && l.clock.Now().Since(contact) < l.options.Timing.SuspectAfter
}

// suspected reports whether a voter has been silent for SuspectAfter.
func (l *liveness) suspected(address ids.Address) bool {
	return l.silentFor(address, l.options.Timing.SuspectAfter)
}

// silentFor reports whether a voter has not responded for the given duration
// while a majority responds to this controller. A controller that is itself
// partitioned or stalled therefore considers no voter silent.
func (l *liveness) silentFor(address ids.Address, duration time.Duration) bool {
	now := l.clock.Now()
	if l.options.Quorum == nil || address == l.options.Address || !l.options.Quorum.HasQuorum(now) {
		return false
	}
	l.mu.Lock()
	since, ok := l.voterSince[address]
	l.mu.Unlock()
	return ok && now.Since(max(since, l.options.Quorum.LastContact(address))) >= duration
}

// lostVoters returns the voters that have not responded to surveys, or not at
// all, for LostAfter. They may be replaced once a majority of the voters agrees.
func (l *liveness) lostVoters(voters register.VoterSet) []ids.Address {
	var lost []ids.Address
	l.mu.Lock()
	for address, since := range l.unreachableSince {
		if l.clock.Now().Since(since) >= l.options.Timing.LostAfter {
			lost = append(lost, address)
		}
	}
	l.mu.Unlock()
	for _, voter := range voters.Members {
		if !slices.Contains(lost, voter.Address) && l.silentFor(voter.Address, l.options.Timing.LostAfter) {
			lost = append(lost, voter.Address)
		}
	}
	slices.Sort(lost)
	return lost
}
