package quorum

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/state/register"
)

// roundsPerContactTimeout is how many heartbeat rounds fall into SilenceTimeout, so that
// no command ends for a single lost packet.
const roundsPerContactTimeout = 5

// rttSamples are the newest round-trip times, newest first; 0 is none. The least
// of them counts: a packet that was lost and sent again tells nothing of the path.
type rttSamples [3]time.Duration

func (r rttSamples) with(rtt time.Duration) rttSamples { return rttSamples{rtt, r[0], r[1]} }

// min returns the least sample; 0 where there is none.
func (r rttSamples) min() time.Duration {
	minimum := time.Duration(0)
	for _, rtt := range r {
		if rtt > 0 && (minimum == 0 || rtt < minimum) {
			minimum = rtt
		}
	}
	return minimum
}

// majorityRTT returns how long it takes until a majority has answered a
// heartbeat; 0 where the round trips of fewer are known.
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

// heartbeatInterval is the time between two rounds while a command is in flight.
func (t *Tracker) heartbeatInterval() time.Duration {
	return t.options.ContactTimeout / roundsPerContactTimeout
}

// effectiveContactTimeout is how old contact may get while a command is in flight:
//
//	max(SilenceTimeout, 3/2 RTT + 2 heartbeat intervals)
//
// with the majority's round-trip time, and never more than MaxAge + RoundTimeout.
func (t *Tracker) effectiveContactTimeout() time.Duration {
	required := t.majorityRTT()*3/2 + 2*t.heartbeatInterval()
	return min(max(t.options.ContactTimeout, required), t.options.MaxAge+t.options.RoundTimeout)
}

// watch sends heartbeat rounds until ctx ends, or until a majority has been
// silent for silenceTimeout since the call or since the newest request that it
// answered, whichever is later. A command that is done within one interval costs
// no heartbeat: its own requests count as contact.
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
			// This process stalled: the responses that arrived meanwhile are to be
			// read before a majority is taken for silent.
			start = woken
		}
		t.heartbeatRound(ctx)
	}
}

// recordQuorumLoss records that a majority, last in contact at the instant, fell
// silent.
func (t *Tracker) recordQuorumLoss(contact clock.Instant) {
	t.mu.Lock()
	t.contactAtLoss = max(t.contactAtLoss, contact)
	t.mu.Unlock()
	t.logTransition(false)
}

// contactAfterLoss reports whether contact at the instant is newer than that
// at which a majority last fell silent.
func (t *Tracker) contactAfterLoss(contact clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactAtLoss == 0 || contact > t.contactAtLoss
}
