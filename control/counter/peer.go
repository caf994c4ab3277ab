package counter

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// maxFailures is the number of consecutive exchanges without an answer that makes a peer
// silent. It is more than one because the first may have timed out while this process
// itself was stopped.
const maxFailures = 2

// peer is what is known about another controller. The service's mu guards it.
type peer struct {
	address ids.Address
	// held is the version vector that the peer last reported for its disk.
	held vector
	// failures counts the failed exchanges since its last answer.
	failures int
	// contacted is set once the peer has answered this process, and firstHeld is the
	// vector of that first answer.
	contacted bool
	firstHeld vector
	// heldAtTick is the vector of this controller at the last tick. Records of other
	// origins are sent to the peer only if they are in it: the controllers that accepted
	// them send them immediately, so the peer usually has them before the next tick.
	heldAtTick vector
	// refreshedAt is when the membership last listed the peer, the peer last called, or
	// another controller last named it.
	refreshedAt clock.Instant
	// silentSince is when the peer last became silent.
	silentSince clock.Instant
	wake        chan struct{}
	stop        func()
}

// silent reports whether the peer counts as unreachable: adds, the catch-up and the
// hand-over don't wait for it.
func (p *peer) silent() bool { return p.failures >= maxFailures }

// notify wakes the peer's loop, which then checks whether there is something to send.
func (p *peer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// recordAnswer records an answer with the peer's vector. It reports whether the peer was
// silent before.
func (p *peer) recordAnswer(held vector) bool {
	wasSilent := p.silent()
	if !p.contacted {
		p.contacted, p.firstHeld = true, held
	}
	if wasSilent {
		// Until the next tick, the controllers that accepted the records of other origins
		// send them first.
		p.heldAtTick = nil
	}
	p.held, p.failures = held, 0
	return wasSilent
}

// recordFailure records an exchange without an answer. It reports whether the peer became
// silent by this failure.
func (p *peer) recordFailure(now clock.Instant) bool {
	p.failures++
	if p.failures == maxFailures {
		p.silentSince = now
	}
	return p.failures == maxFailures
}

// copyWaiter is an add that waits until enough disks hold its record. done is closed then.
type copyWaiter struct {
	origin   int64
	sequence int64
	done     chan struct{}
}

const (
	// maxExchangeRecords keeps an exchange below the length from which the transport
	// treats a message as large, 64 KiB.
	maxExchangeRecords = 2000
	// retryPause is the pause after a failed exchange, and the time between two checks
	// whether a hand-over is complete.
	retryPause = 20 * time.Millisecond
)
