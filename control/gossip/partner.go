package gossip

import (
	"slices"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// Divisors of Interval that give the delay until the next exchange of a daemon without
// items, and of one that still lacks items that it needs.
const (
	emptyIntervalDivisor       = 8
	missingDataIntervalDivisor = 4
)

func (g *Gossiper) missingData() bool {
	return g.Rejoining && g.MissingData != nil && g.MissingData()
}

// nextDelay returns the time until the next exchange: 3/4 to 5/4 of the interval, and
// less while the daemon lacks items that it needs.
func (g *Gossiper) nextDelay() time.Duration {
	if g.Rejoining && g.Store.Empty() {
		return g.Interval / emptyIntervalDivisor
	}
	if g.missingData() {
		return g.Interval / missingDataIntervalDivisor
	}
	return g.Interval*3/4 + random.Duration(g.Interval/2)
}

// The odds of choosing each kind of partner: on average one exchange in so many.
// oddsRelay applies only while this daemon lacks items that it needs. oddsRemoteBackbone
// and oddsRemoteOther are the odds of a partner in another zone, for a backbone member
// and for any other daemon.
const (
	oddsRemoved        = 16
	oddsRelay          = 2
	oddsSeed           = 32
	oddsRemoteBackbone = 4
	oddsRemoteOther    = 16
	// oddsJoiningSeed and oddsUnansweredSeed apply to seeds that have not answered since
	// the start. oddsJoiningSeed applies during the first joiningExchanges exchanges and,
	// in a deployment of several zones, as long as no member of another zone is known;
	// oddsUnansweredSeed applies otherwise.
	oddsJoiningSeed    = 2
	oddsUnansweredSeed = 8
	joiningExchanges   = 16
)

// choosePartner picks the partner of an exchange, usually from the same zone. It is a
// seed while no other member is known and sometimes after that, and occasionally a
// removed member, which may be back and know no other. Exchanges do not depend on relays:
// they repair lost pushes even where there are no relays.
func (g *Gossiper) choosePartner() (ids.Address, bool) {
	local, remote, removed := g.classifyMembers()
	if g.missingData() && random.IntN(oddsRelay) == 0 {
		if relay, ok := g.chooseRelay(); ok {
			return relay, true
		}
	}
	if len(removed) > 0 && random.IntN(oddsRemoved) == 0 {
		return removed[random.IntN(len(removed))].Address, true
	}
	if seeds, odds := g.seedsToAsk(len(local), len(remote)); len(seeds) > 0 && random.IntN(odds) == 0 {
		return seeds[random.IntN(len(seeds))], true
	}
	odds := oddsRemoteOther
	if g.Table.Self().Backbone() {
		odds = oddsRemoteBackbone
	}
	candidates := local
	if len(local) == 0 || (len(remote) > 0 && (random.IntN(odds) == 0 || g.Store.Empty())) {
		candidates = remote
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[random.IntN(len(candidates))].Address, true
}

// seedsToAsk returns the seeds to choose from and the odds that the partner is one of
// them, given how many members of this zone (local) and of other zones (remote) are known.
// Daemons that start together soon know some others, which may know no more than they do:
// until each seed has answered once, there may be several groups that don't know each
// other.
func (g *Gossiper) seedsToAsk(local int, remote int) ([]ids.Address, int) {
	seeds := g.seeds()
	if local+remote == 0 {
		return seeds, 1
	}
	unanswered := g.unansweredSeeds(seeds)
	switch {
	case len(unanswered) == 0:
		return seeds, oddsSeed
	case g.exchanges.Load() < joiningExchanges || (remote == 0 && len(g.Zones) > 1):
		return unanswered, oddsJoiningSeed
	}
	return unanswered, oddsUnansweredSeed
}

// unansweredSeeds returns the seeds, except this daemon, that have not answered an
// exchange since this daemon started.
func (g *Gossiper) unansweredSeeds(seeds []ids.Address) []ids.Address {
	self := g.Table.Self().Address
	g.mu.Lock()
	defer g.mu.Unlock()
	var unanswered []ids.Address
	for _, seed := range seeds {
		if seed != self && !g.answeredSeeds[seed] {
			unanswered = append(unanswered, seed)
		}
	}
	return unanswered
}

// recordSeedAnswer records that the daemon at an address has answered an exchange, if it
// is a seed.
func (g *Gossiper) recordSeedAnswer(address ids.Address) {
	if !slices.Contains(g.seeds(), address) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answeredSeeds == nil {
		g.answeredSeeds = map[ids.Address]bool{}
	}
	g.answeredSeeds[address] = true
}

// chooseRelay picks one of the other daemons that relay for this daemon's zone.
func (g *Gossiper) chooseRelay() (ids.Address, bool) {
	self := g.Table.Self()
	relays := g.Table.Relays(self.Zone, g.RelaysPerZone)
	relays = slices.DeleteFunc(relays, func(member membership.Member) bool { return member.Address == self.Address })
	if len(relays) == 0 {
		return "", false
	}
	return relays[random.IntN(len(relays))].Address, true
}

// AnnounceTargets picks the daemons to notify immediately of a change to this daemon's
// membership report: the relays of its zone, a random member of the zone and, if this
// daemon is part of the backbone, a random known member of another zone.
func (g *Gossiper) AnnounceTargets() []ids.Address {
	self := g.Table.Self()
	var picked []ids.Address
	seen := map[ids.Address]bool{self.Address: true}
	add := func(member membership.Member) {
		if !seen[member.Address] {
			seen[member.Address] = true
			picked = append(picked, member.Address)
		}
	}
	for _, relay := range g.Table.Relays(self.Zone, g.RelaysPerZone) {
		add(relay)
	}
	local, remote, _ := g.classifyMembers()
	if len(local) > 0 {
		add(local[random.IntN(len(local))])
	}
	if len(remote) > 0 && self.Backbone() {
		add(remote[random.IntN(len(remote))])
	}
	return picked
}

// classifyMembers returns the other members: the present ones of this zone, the present
// ones of other zones, and those that were removed. Members that left are omitted.
func (g *Gossiper) classifyMembers() (local, remote, removed []membership.Member) {
	self := g.Table.Self()
	for _, member := range g.Table.Members() {
		class := &remote
		if !member.Present() {
			class = &removed
		} else if member.Zone == self.Zone {
			class = &local
		}
		if member.Address != self.Address && member.State != membership.Left {
			*class = append(*class, member)
		}
	}
	return local, remote, removed
}
