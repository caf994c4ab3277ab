package quorum

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// rttSamples are how long the newest answers took, there and back. The least of them
// counts: one whose packet was lost and sent again tells nothing of the way.
type rttSamples [3]clock.Span

func (r rttSamples) with(span clock.Span) rttSamples { return rttSamples{span, r[0], r[1]} }

// min is 0 where no answer came yet.
func (r rttSamples) min() clock.Span {
	least := clock.Span(0)
	for _, span := range r {
		if span > 0 && (least == 0 || span < least) {
			least = span
		}
	}
	return least
}

// majorityRTT is how long it takes until a majority has answered a question; 0
// where fewer are known.
func (t *Tracker) majorityRTT() clock.Span {
	var known []clock.Span
	seats := t.options.Voters().Members
	t.mu.Lock()
	for _, seat := range seats {
		if seat.Address == t.options.Address {
			known = append(known, 0)
		} else if span := t.peers[seat.Address].rtts.min(); span > 0 && !seat.Learner {
			known = append(known, span)
		}
	}
	t.mu.Unlock()
	quorum := len(seats)/2 + 1
	if len(known) < quorum {
		return 0
	}
	slices.Sort(known)
	return known[quorum-1]
}

// heartbeatInterval is the time between two rounds of questions while an order is under way:
// several fall into a silence, so one that is lost ends no order.
func (t *Tracker) heartbeatInterval() clock.Span { return t.options.SilenceTimeout / 5 }

// silenceTimeout is for how long a majority's newest answered question may have been
// sent: half a round trip more than the way takes, and two questions, in any
// case; and never longer than contact itself lasts.
func (t *Tracker) silenceTimeout() clock.Span {
	needed := t.majorityRTT()*3/2 + 2*t.heartbeatInterval()
	return min(max(t.options.SilenceTimeout, needed), t.options.MaxAge+t.options.RoundTimeout)
}

// watch asks at the pace for as long as the scope lasts, or until a majority has
// been silent since the beginning, or since the newest question that it
// answered, whichever is later. An order that is done sooner costs no question
// but its own, which are heard too. A process that stood still looks at what
// came meanwhile first.
func (t *Tracker) watch(guarded scope.Scope) {
	begin := guarded.Now()
	for {
		now := guarded.Now()
		age, _ := t.MajorityAge(now)
		heard := now.Add(-age)
		left := t.silenceTimeout() - now.Since(max(begin, heard))
		if left <= 0 {
			t.loseQuorum(guarded, heard)
			return
		}
		pause := min(left, t.heartbeatInterval())
		if !guarded.Wait(pause) {
			return
		}
		if woken := guarded.Now(); woken.Since(now) > pause+t.heartbeatInterval() {
			begin = woken
		}
		t.heartbeatRound(guarded)
	}
}

// loseQuorum notes that a majority is silent, from when on only later answers
// show contact.
func (t *Tracker) loseQuorum(ctx scope.Scope, heard clock.Instant) {
	t.mu.Lock()
	t.silentSince = max(t.silentSince, heard)
	t.mu.Unlock()
	t.logTransition(ctx, false)
}

// answeredSinceSilence tells whether a majority answered what was asked after it last fell
// silent.
func (t *Tracker) answeredSinceSilence(heard clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentSince == 0 || heard > t.silentSince
}
