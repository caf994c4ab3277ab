package quorum

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/state/register"
)

// roundsPerContactTimeout is the number of heartbeat rounds per ContactTimeout.
// There are several, so that a single lost packet does not cancel a command.
const roundsPerContactTimeout = 5

// rttSamples holds the last three round-trip times, newest first; 0 means none.
// Their minimum is used, as the time of a packet that was lost and retransmitted
// does not reflect the latency of the path.
type rttSamples [3]time.Duration

func (r rttSamples) with(rtt time.Duration) rttSamples { return rttSamples{rtt, r[0], r[1]} }

// min returns the smallest sample, or 0 if there is none.
func (r rttSamples) min() time.Duration {
	minimum := time.Duration(0)
	for _, rtt := range r {
		if rtt > 0 && (minimum == 0 || rtt < minimum) {
			minimum = rtt
		}
	}
	return minimum
}

// majorityRTT returns the time in which a majority answers a heartbeat, or 0 if the
// round-trip times of too few voters are known.
func (t *Tracker) majorityRTT() time.Duration {
	rtt, _ := t.majorityDuration(t.options.Voters().Members, func(member register.Member, p peer) (time.Duration, bool) {
		if member.Address == t.options.Address {
			return 0, true
		}
		rtt := p.rtts.min()
		return rtt, rtt > 0 && !member.Learner
	})
	return rtt
}

// heartbeatInterval returns the time between two rounds while a command is in
// flight.
func (t *Tracker) heartbeatInterval() time.Duration {
	return t.options.ContactTimeout / roundsPerContactTimeout
}

// effectiveContactTimeout returns the maximum age of contact while a command is in
// flight:
//
//	max(ContactTimeout, 3/2 RTT + 2 heartbeat intervals)
//
// where RTT is majorityRTT, but never more than MaxAge + RoundTimeout.
func (t *Tracker) effectiveContactTimeout() time.Duration {
	required := t.majorityRTT()*3/2 + 2*t.heartbeatInterval()
	return min(max(t.options.ContactTimeout, required), t.options.MaxAge+t.options.RoundTimeout)
}

// watch sends heartbeat rounds until ctx ends or contact with a majority is lost:
// effectiveContactTimeout after the call, or after the newest request that a
// majority answered was sent, whichever is later. A command that ends within one
// interval costs no heartbeat, since its own requests count as contact.
func (t *Tracker) watch(ctx context.Context) {
	start := t.options.Clock.Now()
	for {
		now := t.options.Clock.Now()
		age, _ := t.MajorityContactAge(now)
		contact := now.Add(-age)
		remaining := t.effectiveContactTimeout() - now.Since(max(start, contact))
		if remaining <= 0 {
			t.recordQuorumLoss(contact)
			return
		}
		wait := min(remaining, t.heartbeatInterval())
		if !clock.Wait(ctx, t.options.Clock, wait) {
			return
		}
		if woken := t.options.Clock.Now(); woken.Since(now) > wait+t.heartbeatInterval() {
			// This process stalled. Responses that arrived meanwhile must be read
			// before contact can be considered lost.
			start = woken
		}
		t.heartbeatRound(ctx)
	}
}

// recordQuorumLoss records that contact with a majority, which dates from the given
// instant, has been lost.
func (t *Tracker) recordQuorumLoss(contact clock.Instant) {
	t.mu.Lock()
	t.contactAtLoss = max(t.contactAtLoss, contact)
	t.mu.Unlock()
	t.logTransition(false)
}

// contactAfterLoss reports whether contact at the given instant is newer than the
// contact that was last recorded as lost.
func (t *Tracker) contactAfterLoss(contact clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactAtLoss == 0 || contact > t.contactAtLoss
}
