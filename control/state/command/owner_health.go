package command

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// maxUnanswered is how many commands in a row an owner may leave unanswered before
// it is suspected, if it still answers other messages.
const maxUnanswered = 3

// ownerHealth distinguishes owners that are busy from those that have failed, based
// on the commands that they leave unanswered. It is safe for concurrent use.
type ownerHealth struct {
	mu sync.Mutex
	// suspicionPeriod is how long an owner stays suspected.
	suspicionPeriod time.Duration
	suspectedUntil  map[ids.Address]clock.Instant
	// unanswered is the number of commands in a row that an owner left unanswered.
	unanswered map[ids.Address]int
}

func newOwnerHealth(suspicionPeriod time.Duration) *ownerHealth {
	return &ownerHealth{suspicionPeriod: suspicionPeriod, suspectedUntil: map[ids.Address]clock.Instant{}, unanswered: map[ids.Address]int{}}
}

// suspected reports whether an owner is suspected to have failed, so that no
// commands should be forwarded to it.
func (o *ownerHealth) suspected(owner ids.Address, now clock.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.suspectedUntil[owner]
	return ok && now.Before(until)
}

// recordUnanswered records that an owner left a command unanswered, and reports
// whether the owner is only busy: it has answered another message that was sent after
// the command, as answeredOther reports, and has left at most maxUnanswered commands
// in a row unanswered. Otherwise the owner is suspected from now on.
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

// recordAnswer records that an owner answered a command.
func (o *ownerHealth) recordAnswer(owner ids.Address) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unanswered, owner)
}
