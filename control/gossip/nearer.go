package gossip

import (
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// maxNearerAttempts is how often a daemon that knows nothing asks those nearby alone,
// before it takes all news from far away.
const maxNearerAttempts = 3

// nearerTimeoutDivisor is the part, one in so many, of the time between two exchanges that one
// nearby has for its answer: it may be down as well.
const nearerTimeoutDivisor = 4

// fetchFromNearer has a daemon that knows nothing take the news, which may be long, from
// a daemon that is nearer than the one that it asked first, mostly a seed. It tells
// whether that was done, or is to be tried again: the mates may know nothing yet
// either, and the first relay of a zone is the one to bring it there.
func (g *Gossiper) fetchFromNearer(ctx scope.Scope, asked ids.Address, told ExchangeResponse) bool {
	if !g.Store.Empty() {
		return false
	}
	g.Table.Merge(append(told.Members, told.From))
	nearer, found := g.nearerBackbone(asked)
	if !found {
		return false
	}
	short, release := ctx.WithTimeout(g.Interval / nearerTimeoutDivisor)
	g.Exchange(short, nearer)
	release()
	if !g.Store.Empty() {
		return true
	}
	self := g.Table.Self()
	first := g.Table.Relays(self.Zone, 1)
	brings := len(first) > 0 && first[0].Address == self.Address
	return !brings && g.emptyExchanges.Add(1) <= maxNearerAttempts
}

// nearerBackbone gives a relay or controller that is nearer than a daemon: of the own zone,
// or of the own region where the other is of neither.
func (g *Gossiper) nearerBackbone(than ids.Address) (ids.Address, bool) {
	other, _ := g.Table.Find(than)
	var best []membership.Member
	for _, member := range g.Table.Members() {
		usable := member.State == membership.Alive && member.Backbone() && member.Address != g.Table.Self().Address
		if !usable || g.distance(member) >= g.distance(other) {
			continue
		}
		if len(best) > 0 && g.distance(member) < g.distance(best[0]) {
			best = nil
		}
		if len(best) == 0 || g.distance(member) == g.distance(best[0]) {
			best = append(best, member)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	return best[random.IntN(len(best))].Address, true
}

// distance is 0 in the own zone, 1 in the own region, 2 elsewhere.
func (g *Gossiper) distance(member membership.Member) int {
	self := g.Table.Self()
	switch {
	case member.Zone == self.Zone:
		return 0
	case member.Region == self.Region:
		return 1
	}
	return 2
}
