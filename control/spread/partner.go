package spread

import (
	"slices"

	"onyxwell/base/chance"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/cohort"
)

// The parts, one in so many, of the usual time between two exchanges: of a daemon
// that knows nothing, and of one that still lacks what it needs.
const (
	emptyPart   = 8
	lackingPart = 4
)

func (spreader *Spreader) lacks() bool {
	return spreader.Hurry && spreader.Lacks != nil && spreader.Lacks()
}

// pause is the time until the next exchange.
func (spreader *Spreader) pause() clock.Span {
	if spreader.Hurry && spreader.News.Empty() {
		// One that knows nothing can't serve: it asks at once, and often.
		return spreader.Every / emptyPart
	}
	if spreader.lacks() {
		return spreader.Every / lackingPart
	}
	return spreader.Every*3/4 + chance.Part(spreader.Every/2)
}

// Odds of whom a daemon exchanges with: one exchange of so many.
const (
	oddsGone         = 16
	oddsRelay        = 2
	oddsSeed         = 32
	oddsFarBackbone  = 4
	oddsFarOtherwise = 16
)

// partner picks a member, mostly of the same zone; while none is known, and
// now and then after that, a seed; now and then one that was removed, which may
// be back and know nobody. This is what mends all that the tier loses, and it
// goes on where there are no relays.
func (spreader *Spreader) partner() (ids.Address, bool) {
	near, far, gone := spreader.others()
	if spreader.lacks() && chance.Below(oddsRelay) == 0 {
		if relay, found := spreader.relay(); found {
			return relay, true
		}
	}
	if len(gone) > 0 && chance.Below(oddsGone) == 0 {
		return gone[chance.Below(len(gone))].Address, true
	}
	if seeds := spreader.seeds(); len(seeds) > 0 && (len(near)+len(far) == 0 || chance.Below(oddsSeed) == 0) {
		return seeds[chance.Below(len(seeds))], true
	}
	odds := oddsFarOtherwise
	if spreader.Table.Self().Backbone() {
		odds = oddsFarBackbone
	}
	pool := near
	if len(near) == 0 || (len(far) > 0 && (chance.Below(odds) == 0 || spreader.News.Empty())) {
		pool = far
	}
	if len(pool) == 0 {
		return "", false
	}
	return pool[chance.Below(len(pool))].Address, true
}

// relay picks one of the other daemons that relay for the own zone.
func (spreader *Spreader) relay() (ids.Address, bool) {
	self := spreader.Table.Self()
	relays := spreader.Table.Relays(self.Zone, spreader.Relays)
	relays = slices.DeleteFunc(relays, func(member cohort.Member) bool { return member.Address == self.Address })
	if len(relays) == 0 {
		return "", false
	}
	return relays[chance.Below(len(relays))].Address, true
}

// Several picks those who are told at once of a change in this daemon itself:
// the relays of its zone, and one more of it.
func (spreader *Spreader) Several() []ids.Address {
	self := spreader.Table.Self()
	var chosen []ids.Address
	taken := map[ids.Address]bool{self.Address: true}
	add := func(member cohort.Member) {
		if !taken[member.Address] {
			taken[member.Address] = true
			chosen = append(chosen, member.Address)
		}
	}
	for _, relay := range spreader.Table.Relays(self.Zone, spreader.Relays) {
		add(relay)
	}
	near, far, _ := spreader.others()
	if len(near) > 0 {
		add(near[chance.Below(len(near))])
	}
	if len(far) > 0 && self.Backbone() {
		add(far[chance.Below(len(far))])
	}
	return chosen
}

// others sorts the members: those of this zone, those of others, and those
// that were removed but never said that they leave.
func (spreader *Spreader) others() (near []cohort.Member, far []cohort.Member, gone []cohort.Member) {
	self := spreader.Table.Self()
	for _, member := range spreader.Table.Members() {
		pool := &far
		if !member.Present() {
			pool = &gone
		} else if member.Zone == self.Zone {
			pool = &near
		}
		if member.Address != self.Address && member.State != cohort.Left {
			*pool = append(*pool, member)
		}
	}
	return near, far, gone
}

// Reseed replaces the seeds.
func (spreader *Spreader) Reseed(seeds []ids.Address) {
	spreader.fresh.Store(&seeds)
}

func (spreader *Spreader) seeds() []ids.Address {
	if fresh := spreader.fresh.Load(); fresh != nil {
		return *fresh
	}
	return spreader.Seeds
}
