package gossip

import (
	"context"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// maxNearerAttempts is how often a daemon without items gives up an exchange in favor of
// nearer daemons that turn out to be empty, before it fetches all items from far away.
const maxNearerAttempts = 3

// nearerTimeoutDivisor is the divisor of Interval that gives the timeout of an exchange
// with a nearer daemon. The timeout is short because that daemon may be down as well.
const nearerTimeoutDivisor = 4

// fetchFromNearer makes a daemon without items fetch them, which may be many bytes, from
// a daemon that is nearer than the one that answered, which is usually a seed. It
// returns true if the current exchange should not be continued: either the items were
// fetched, or the nearer daemons are empty too and the exchange is better repeated later,
// since only the first relay of a zone should fetch from far away immediately.
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

// nearerBackbone picks a random one of the nearest live backbone members, provided that
// they are nearer than the daemon at the address.
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

// distance returns 0 for a member of this daemon's zone, 1 for one of its region and 2
// otherwise.
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
