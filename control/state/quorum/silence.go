package quorum

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/state/register"
)

// roundsPerSilence is how many heartbeat rounds fall into SilenceTimeout, so that
// no command ends for a single lost packet.
const roundsPerSilence = 5

// rttSamples are the newest round-trip times, newest first; 0 is none. The least
// of them counts: a packet that was lost and sent again tells nothing of the path.
type rttSamples [3]time.Duration

func (r rttSamples) with(rtt time.Duration) rttSamples { return rttSamples{rtt, r[0], r[1]} }

// min returns the least sample; 0 where there is none.
func (r rttSamples) min() time.Duration {
	least := time.Duration(0)
	for _, rtt := range r {
		if rtt > 0 && (least == 0 || rtt < least) {
			least = rtt
		}
	}
	return least
}

// majorityRTT returns how long it takes until a majority has answered a
// heartbeat; 0 where the round trips of fewer are known.
func (t *Tracker) majorityRTT() time.Duration {
	rtt, _ := t.majority(t.options.Voters().Members, func(member register.Member, p peer) (time.Duration, bool) {
		if member.Address == t.options.Address {
			return 0, true
		}
		least := p.rtts.min()
		return least, least > 0 && !member.Learner
	})
	return rtt
}

// heartbeatInterval is the time between two rounds while a command is in flight.
func (t *Tracker) heartbeatInterval() time.Duration {
	return t.options.SilenceTimeout / roundsPerSilence
}

// silenceTimeout is how old contact may get while a command is in flight:
//
//	max(SilenceTimeout, 3/2 RTT + 2 heartbeat intervals)
//
// with the majority's round-trip time, and never more than MaxAge + RoundTimeout.
func (t *Tracker) silenceTimeout() time.Duration {
	needed := t.majorityRTT()*3/2 + 2*t.heartbeatInterval()
	return min(max(t.options.SilenceTimeout, needed), t.options.MaxAge+t.options.RoundTimeout)
}

// watch sends heartbeat rounds until ctx ends, or until a majority has been
// silent for silenceTimeout since the call or since the newest request that it
// answered, whichever is later. A command that is done within one interval costs
// no heartbeat: its own requests count as contact.
func (t *Tracker) watch(ctx context.Context) {
	start := t.options.Clock.Now()
	for {
		now := t.options.Clock.Now()
		age, _ := t.MajorityAge(now)
		contact := now.Add(-age)
		remaining := t.silenceTimeout() - now.Since(max(start, contact))
		if remaining <= 0 {
			t.loseQuorum(contact)
			return
		}
		pause := min(remaining, t.heartbeatInterval())
		if !clock.Wait(ctx, t.options.Clock, pause) {
			return
		}
		if woken := t.options.Clock.Now(); woken.Since(now) > pause+t.heartbeatInterval() {
			// This process stalled: the responses that arrived meanwhile are to be
			// read before a majority is taken for silent.
			start = woken
		}
		t.heartbeatRound(ctx)
	}
}

// loseQuorum records that a majority, last in contact at the instant, fell
// silent.
func (t *Tracker) loseQuorum(contact clock.Instant) {
	t.mu.Lock()
	t.silentSince = max(t.silentSince, contact)
	t.mu.Unlock()
	t.logTransition(false)
}

// answeredSinceSilence reports whether contact at the instant is newer than that
// at which a majority last fell silent.
func (t *Tracker) answeredSinceSilence(contact clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentSince == 0 || contact > t.silentSince
}
