package quorum

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// trips are how long the newest answers took, there and back. The least of them
// counts: one whose packet was lost and sent again tells nothing of the way.
type trips [3]clock.Span

func (t trips) with(span clock.Span) trips { return trips{span, t[0], t[1]} }

// least is 0 where no answer came yet.
func (t trips) least() clock.Span {
	least := clock.Span(0)
	for _, span := range t {
		if span > 0 && (least == 0 || span < least) {
			least = span
		}
	}
	return least
}

// roundTrip is how long it takes until a majority has answered a question; 0
// where fewer are known.
func (c *Contact) roundTrip() clock.Span {
	var known []clock.Span
	seats := c.options.Voters().Members
	c.mu.Lock()
	for _, seat := range seats {
		if seat.Address == c.options.Address {
			known = append(known, 0)
		} else if span := c.peers[seat.Address].trips.least(); span > 0 && !seat.Learner {
			known = append(known, span)
		}
	}
	c.mu.Unlock()
	quorum := len(seats)/2 + 1
	if len(known) < quorum {
		return 0
	}
	slices.Sort(known)
	return known[quorum-1]
}

// pace is the time between two rounds of questions while an order is under way:
// several fall into a silence, so one that is lost ends no order.
func (c *Contact) pace() clock.Span { return c.options.Silence / 5 }

// patience is for how long a majority's newest answered question may have been
// sent: half a round trip more than the way takes, and two questions, in any
// case; and never longer than contact itself lasts.
func (c *Contact) patience() clock.Span {
	needed := c.roundTrip()*3/2 + 2*c.pace()
	return min(max(c.options.Silence, needed), c.options.Fresh+c.options.Wait)
}

// watch asks at the pace for as long as the scope lasts, or until a majority has
// been silent since the beginning, or since the newest question that it
// answered, whichever is later. An order that is done sooner costs no question
// but its own, which are heard too. A process that stood still looks at what
// came meanwhile first.
func (c *Contact) watch(guarded scope.Scope) {
	begin := guarded.Now()
	for {
		now := guarded.Now()
		age, _ := c.Age(now)
		heard := now.Add(-age)
		left := c.patience() - now.Since(max(begin, heard))
		if left <= 0 {
			c.fallSilent(guarded, heard)
			return
		}
		pause := min(left, c.pace())
		if !guarded.Wait(pause) {
			return
		}
		if woken := guarded.Now(); woken.Since(now) > pause+c.pace() {
			begin = woken
		}
		c.round(guarded)
	}
}

// fallSilent notes that a majority is silent, from when on only later answers
// show contact.
func (c *Contact) fallSilent(ctx scope.Scope, heard clock.Instant) {
	c.mu.Lock()
	c.silent = max(c.silent, heard)
	c.mu.Unlock()
	c.note(ctx, false)
}

// heardSince tells whether a majority answered what was asked after it last fell
// silent.
func (c *Contact) heardSince(heard clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent == 0 || heard > c.silent
}
