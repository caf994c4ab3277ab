package gossip

import (
	"slices"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// The delay until the next exchange, as a part of the interval: of a daemon
// without items, and of one that still misses what it needs.
const (
	emptyIntervalDivisor       = 8
	missingDataIntervalDivisor = 4
)

func (g *Gossiper) missingData() bool {
	return g.Rejoining && g.MissingData != nil && g.MissingData()
}

// nextDelay returns the time until the next exchange: 3/4 to 5/4 of the interval,
// and less while the daemon can't serve for want of items.
func (g *Gossiper) nextDelay() time.Duration {
	if g.Rejoining && g.Store.Empty() {
		return g.Interval / emptyIntervalDivisor
	}
	if g.missingData() {
		return g.Interval / missingDataIntervalDivisor
	}
	return g.Interval*3/4 + random.Duration(g.Interval/2)
}

// The odds of the kinds of partners: one exchange of so many.
const (
	oddsRemoved        = 16
	oddsRelay          = 2
	oddsSeed           = 32
	oddsRemoteBackbone = 4
	oddsRemoteOther    = 16
	// oddsJoiningSeed is that of a seed that has not answered since the start, for the first
	// joiningExchanges, and while nobody of another zone is known; oddsUnanswered is
	// that of one after them.
	oddsJoiningSeed    = 2
	oddsUnansweredSeed = 8
	joiningExchanges   = 16
)

// choosePartner picks the partner of an exchange, mostly of the same zone. While
// no other member is known, and now and then after that, it is a seed; now and
// then a member that was removed, which may be back and know nobody. Exchanges
// need no relays: they repair whatever pushes lost, and also where there are none.
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

// seedsToAsk returns the seeds to choose from and the odds that the partner is one, by
// how many members of the own zone and of others are known. Daemons that start together
// soon know some others, which may know no more than they do: until each seed has
// answered once there may be several groups of which none knows the others.
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

// unansweredSeeds returns the seeds, but for this daemon, that have not answered an
// exchange since it started.
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

// recordSeedAnswer records that a seed has answered an exchange.
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

// AnnounceTargets picks the partners that hear at once of a change of the own
// report: the relays of the zone and one more member of it, and for the backbone
// one of another zone.
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

// classifyMembers returns the other members: those of this zone, those of other
// zones, and those that were removed without having left.
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
