package counter

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// maxFailures is after how many exchanges in a row without an answer a peer is silent:
// more than one, since the first may have waited in vain while this process was stopped.
const maxFailures = 2

// peer is what is known of another controller. The service's mu guards it.
type peer struct {
	address ids.Address
	// held is what the peer said last that its disk has.
	held vector
	// failures counts the exchanges since its last answer.
	failures int
	// contacted says that it has answered since this process started, and firstHeld what
	// it held then.
	contacted bool
	firstHeld vector
	// heldAtTick is what this controller held at the last tick: what the peer still
	// lacks of other origins is sent after that, since their own disks send it at once.
	heldAtTick vector
	// refreshedAt is when the membership had the peer last, or it called.
	refreshedAt clock.Instant
	// silentSince is when it became silent.
	silentSince clock.Instant
	wake        chan struct{}
	stop        func()
}

// silent reports whether nothing waits for the peer.
func (p *peer) silent() bool { return p.failures >= maxFailures }

// notify has the peer's loop look for something to send.
func (p *peer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// recordAnswer records an answer. It reports whether the peer was silent before.
func (p *peer) recordAnswer(held vector) bool {
	wasSilent := p.silent()
	if !p.contacted {
		p.contacted, p.firstHeld = true, held
	}
	if wasSilent {
		// The disks of other origins come first with what they have.
		p.heldAtTick = nil
	}
	p.held, p.failures = held, 0
	return wasSilent
}

// recordFailure records an exchange without an answer. It reports whether the peer has become
// silent by it.
func (p *peer) recordFailure(now clock.Instant) bool {
	p.failures++
	if p.failures == maxFailures {
		p.silentSince = now
	}
	return p.failures == maxFailures
}

// copyWaiter waits until enough disks hold a record.
type copyWaiter struct {
	origin   int64
	sequence int64
	done     chan struct{}
}

const (
	// maxExchangeRecords keeps an exchange below the length of a large message.
	maxExchangeRecords = 2000
	// retryPause is the time between a failed exchange and the next, where the peer is
	// not silent yet.
	retryPause = 20 * time.Millisecond
)
