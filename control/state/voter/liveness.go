package voter

import (
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/register"
)

// liveness tracks which voters answer, by contact and by the surveys; it sends
// nothing itself. It is safe for concurrent use.
type liveness struct {
	options *Options
	clock   clock.Clock

	mu sync.Mutex
	// voterSince is since when each voter has been one, missedSince since when
	// voters have not answered the surveys.
	voterSince       map[ids.Address]clock.Instant
	unreachableSince map[ids.Address]clock.Instant
}

// trackVoters records since when each voter has been one.
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

// recordUnreachable records since when voters have not answered the surveys.
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

// responsive reports whether a controller answered a request that was sent a
// moment ago.
func (l *liveness) responsive(address ids.Address) bool {
	if l.options.Quorum == nil {
		return false
	}
	contact := l.options.Quorum.LastContact(address)
	return contact > 0 && l.clock.Now().Since(contact) < l.options.Timing.SuspectAfter
}

// suspected reports whether a voter has been silent for a while.
func (l *liveness) suspected(address ids.Address) bool {
	return l.silentFor(address, l.options.Timing.SuspectAfter)
}

// silentFor reports whether a voter has answered nothing for the span though a
// majority answers here: a controller that is partitioned or stalled itself takes
// nobody for silent.
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

// lostVoters returns the voters that for LostAfter have not answered a survey, or nothing
// at all: their places may be taken, once a majority of the voters agrees.
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
