package command

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// maxUnanswered is how many commands in a row an owner may leave unanswered
// while it answers other messages.
const maxUnanswered = 3

// ownerHealth tells an owner that is busy from one that is gone, by the commands
// that it left unanswered. It is safe for concurrent use.
type ownerHealth struct {
	mu sync.Mutex
	// suspicionPeriod is how long an owner stays suspected.
	suspicionPeriod time.Duration
	suspectedUntil  map[ids.Address]clock.Instant
	// unanswered counts the commands in a row that an owner left unanswered.
	unanswered map[ids.Address]int
}

func newOwnerHealth(suspicionPeriod time.Duration) *ownerHealth {
	return &ownerHealth{suspicionPeriod: suspicionPeriod, suspectedUntil: map[ids.Address]clock.Instant{}, unanswered: map[ids.Address]int{}}
}

// suspected tells whether commands should not be forwarded to an owner now.
func (o *ownerHealth) suspected(owner ids.Address, now clock.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.suspectedUntil[owner]
	return ok && now.Before(until)
}

// recordUnanswered notes that an owner left a command unanswered, and tells
// whether it is only busy: it answered another message meanwhile, and did not
// leave too many commands unanswered. Otherwise it is suspected from now on.
func (o *ownerHealth) recordUnanswered(owner ids.Address, answeredOther bool, now clock.Instant) (busy bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered[owner]++
	if answeredOther && o.unanswered[owner] <= maxUnanswered {
		return true
	}
	delete(o.unanswered, owner)
	o.suspectedUntil[owner] = now.Add(o.suspicionPeriod)
	return false
}

// recordAnswer notes that an owner answered a command.
func (o *ownerHealth) recordAnswer(owner ids.Address) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unanswered, owner)
}
