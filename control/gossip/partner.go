package gossip

import (
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// The parts, one in so many, of the usual time between two exchanges: of a daemon
// that knows nothing, and of one that still lacks what it needs.
const (
	emptyPart   = 8
	lackingPart = 4
)

func (s *Spreader) lacks() bool {
	return s.Hurry && s.Lacks != nil && s.Lacks()
}

// pause is the time until the next exchange.
func (s *Spreader) pause() clock.Span {
	if s.Hurry && s.News.Empty() {
		// One that knows nothing can't serve: it asks at once, and often.
		return s.Every / emptyPart
	}
	if s.lacks() {
		return s.Every / lackingPart
	}
	return s.Every*3/4 + random.Part(s.Every/2)
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
func (s *Spreader) partner() (ids.Address, bool) {
	near, far, gone := s.others()
	if s.lacks() && random.Below(oddsRelay) == 0 {
		if relay, found := s.relay(); found {
			return relay, true
		}
	}
	if len(gone) > 0 && random.Below(oddsGone) == 0 {
		return gone[random.Below(len(gone))].Address, true
	}
	if seeds := s.seeds(); len(seeds) > 0 && (len(near)+len(far) == 0 || random.Below(oddsSeed) == 0) {
		return seeds[random.Below(len(seeds))], true
	}
	odds := oddsFarOtherwise
	if s.Table.Self().Backbone() {
		odds = oddsFarBackbone
	}
	pool := near
	if len(near) == 0 || (len(far) > 0 && (random.Below(odds) == 0 || s.News.Empty())) {
		pool = far
	}
	if len(pool) == 0 {
		return "", false
	}
	return pool[random.Below(len(pool))].Address, true
}

// relay picks one of the other daemons that relay for the own zone.
func (s *Spreader) relay() (ids.Address, bool) {
	self := s.Table.Self()
	relays := s.Table.Relays(self.Zone, s.Relays)
	relays = slices.DeleteFunc(relays, func(member membership.Member) bool { return member.Address == self.Address })
	if len(relays) == 0 {
		return "", false
	}
	return relays[random.Below(len(relays))].Address, true
}

// Several picks those who are told at once of a change in this daemon itself:
// the relays of its zone, and one more of it.
func (s *Spreader) Several() []ids.Address {
	self := s.Table.Self()
	var chosen []ids.Address
	taken := map[ids.Address]bool{self.Address: true}
	add := func(member membership.Member) {
		if !taken[member.Address] {
			taken[member.Address] = true
			chosen = append(chosen, member.Address)
		}
	}
	for _, relay := range s.Table.Relays(self.Zone, s.Relays) {
		add(relay)
	}
	near, far, _ := s.others()
	if len(near) > 0 {
		add(near[random.Below(len(near))])
	}
	if len(far) > 0 && self.Backbone() {
		add(far[random.Below(len(far))])
	}
	return chosen
}

// others sorts the members: those of this zone, those of others, and those
// that were removed but never said that they leave.
func (s *Spreader) others() (near []membership.Member, far []membership.Member, gone []membership.Member) {
	self := s.Table.Self()
	for _, member := range s.Table.Members() {
		pool := &far
		if !member.Present() {
			pool = &gone
		} else if member.Zone == self.Zone {
			pool = &near
		}
		if member.Address != self.Address && member.State != membership.Left {
			*pool = append(*pool, member)
		}
	}
	return near, far, gone
}

// Reseed replaces the seeds.
func (s *Spreader) Reseed(seeds []ids.Address) {
	s.fresh.Store(&seeds)
}

func (s *Spreader) seeds() []ids.Address {
	if fresh := s.fresh.Load(); fresh != nil {
		return *fresh
	}
	return s.Seeds
}
