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
	emptyIntervalDivisor       = 8
	missingDataIntervalDivisor = 4
)

func (g *Gossiper) missingData() bool {
	return g.Rejoining && g.MissingData != nil && g.MissingData()
}

// nextDelay is the time until the next exchange.
func (g *Gossiper) nextDelay() clock.Span {
	if g.Rejoining && g.Store.Empty() {
		// One that knows nothing can't serve: it asks at once, and often.
		return g.Interval / emptyIntervalDivisor
	}
	if g.missingData() {
		return g.Interval / missingDataIntervalDivisor
	}
	return g.Interval*3/4 + random.Duration(g.Interval/2)
}

// Odds of whom a daemon exchanges with: one exchange of so many.
const (
	oddsRemoved      = 16
	oddsRelay        = 2
	oddsSeed         = 32
	oddsFarBackbone  = 4
	oddsFarOtherwise = 16
)

// choosePartner picks a member, mostly of the same zone; while none is known, and
// now and then after that, a seed; now and then one that was removed, which may
// be back and know nobody. This is what mends all that the tier loses, and it
// goes on where there are no relays.
func (g *Gossiper) choosePartner() (ids.Address, bool) {
	near, far, gone := g.classifyMembers()
	if g.missingData() && random.IntN(oddsRelay) == 0 {
		if relay, found := g.chooseRelay(); found {
			return relay, true
		}
	}
	if len(gone) > 0 && random.IntN(oddsRemoved) == 0 {
		return gone[random.IntN(len(gone))].Address, true
	}
	if seeds := g.seeds(); len(seeds) > 0 && (len(near)+len(far) == 0 || random.IntN(oddsSeed) == 0) {
		return seeds[random.IntN(len(seeds))], true
	}
	odds := oddsFarOtherwise
	if g.Table.Self().Backbone() {
		odds = oddsFarBackbone
	}
	pool := near
	if len(near) == 0 || (len(far) > 0 && (random.IntN(odds) == 0 || g.Store.Empty())) {
		pool = far
	}
	if len(pool) == 0 {
		return "", false
	}
	return pool[random.IntN(len(pool))].Address, true
}

// chooseRelay picks one of the other daemons that relay for the own zone.
func (g *Gossiper) chooseRelay() (ids.Address, bool) {
	self := g.Table.Self()
	relays := g.Table.Relays(self.Zone, g.RelaysPerZone)
	relays = slices.DeleteFunc(relays, func(member membership.Member) bool { return member.Address == self.Address })
	if len(relays) == 0 {
		return "", false
	}
	return relays[random.IntN(len(relays))].Address, true
}

// AnnounceTargets picks those who are told at once of a change in this daemon itself:
// the relays of its zone, and one more of it.
func (g *Gossiper) AnnounceTargets() []ids.Address {
	self := g.Table.Self()
	var chosen []ids.Address
	taken := map[ids.Address]bool{self.Address: true}
	add := func(member membership.Member) {
		if !taken[member.Address] {
			taken[member.Address] = true
			chosen = append(chosen, member.Address)
		}
	}
	for _, relay := range g.Table.Relays(self.Zone, g.RelaysPerZone) {
		add(relay)
	}
	near, far, _ := g.classifyMembers()
	if len(near) > 0 {
		add(near[random.IntN(len(near))])
	}
	if len(far) > 0 && self.Backbone() {
		add(far[random.IntN(len(far))])
	}
	return chosen
}

// classifyMembers sorts the members: those of this zone, those of others, and those
// that were removed but never said that they leave.
func (g *Gossiper) classifyMembers() (near []membership.Member, far []membership.Member, gone []membership.Member) {
	self := g.Table.Self()
	for _, member := range g.Table.Members() {
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

// SetSeeds replaces the seeds.
func (g *Gossiper) SetSeeds(seeds []ids.Address) {
	g.reloadedSeeds.Store(&seeds)
}

func (g *Gossiper) seeds() []ids.Address {
	if fresh := g.reloadedSeeds.Load(); fresh != nil {
		return *fresh
	}
	return g.Seeds
}
