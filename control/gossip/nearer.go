package gossip

import (
	"context"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// maxNearerAttempts is how often a daemon without items leaves an exchange to
// nearer daemons, before it takes all items from far away.
const maxNearerAttempts = 3

// nearerTimeoutDivisor gives the timeout of an exchange with a nearer daemon,
// which may be down as well, as a part of the interval.
const nearerTimeoutDivisor = 4

// fetchFromNearer has a daemon without items take them, which may be many bytes,
// from a daemon that is nearer than the one that answered, mostly a seed. It
// reports whether the exchange is done, or better repeated later: the nearer
// daemons may be empty too, and it is the first relay of a zone that fetches for
// it from far away.
func (g *Gossiper) fetchFromNearer(ctx context.Context, address ids.Address, resp ExchangeResponse) bool {
	if !g.Store.Empty() {
		return false
	}
	g.Table.Merge(append(resp.Members, resp.From))
	nearer, ok := g.nearerBackbone(address)
	if !ok {
		return false
	}
	g.exchangeWithTimeout(ctx, g.Interval/nearerTimeoutDivisor, nearer)
	if !g.Store.Empty() {
		return true
	}
	self := g.Table.Self()
	relays := g.Table.Relays(self.Zone, 1)
	isFirstRelay := len(relays) > 0 && relays[0].Address == self.Address
	return !isFirstRelay && g.nearerAttempts.Add(1) <= maxNearerAttempts
}

func (g *Gossiper) exchangeWithTimeout(ctx context.Context, timeout time.Duration, address ids.Address) {
	callCtx, cancel := g.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	g.Exchange(callCtx, address)
}

// nearerBackbone picks one of the nearest daemons of the backbone that are nearer
// than another daemon.
func (g *Gossiper) nearerBackbone(than ids.Address) (ids.Address, bool) {
	other, _ := g.Table.Find(than)
	limit := g.distance(other)
	var nearest []membership.Member
	for _, member := range g.Table.Members() {
		usable := member.State == membership.Alive && member.Backbone() && member.Address != g.Table.Self().Address
		distance := g.distance(member)
		if !usable || distance >= limit {
			continue
		}
		if len(nearest) > 0 && distance < g.distance(nearest[0]) {
			nearest = nil
		}
		if len(nearest) == 0 || distance == g.distance(nearest[0]) {
			nearest = append(nearest, member)
		}
	}
	if len(nearest) == 0 {
		return "", false
	}
	return nearest[random.IntN(len(nearest))].Address, true
}

// distance is 0 within the own zone, 1 within the own region, 2 elsewhere.
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
