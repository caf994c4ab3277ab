package gossip

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/ids"
)

// PushStats counts the push messages that this daemon sent successfully, those that
// failed, and those that it received and forwarded.
type PushStats struct{ Pushed, Failed, Relayed atomic.Int64 }

// Push sends items to all targets that should hold them. It returns once each message
// was accepted or given up; exchanges repair what was given up.
func (g *Gossiper) Push(ctx context.Context, items []Item, targets Targets) {
	for filter, group := range groupByFilter(items) {
		g.pushGroup(ctx, group, filter.apply(g, targets))
	}
}

// pushGroup pushes items that the same members should hold.
func (g *Gossiper) pushGroup(ctx context.Context, items []Item, targets Targets) {
	var deliveries sync.WaitGroup
	for _, message := range g.splitTargets(targets) {
		deliveries.Add(1)
		g.spawn(func() {
			defer deliveries.Done()
			g.deliver(ctx, items, message)
		})
	}
	deliveries.Wait()
}

// deliver sends a message to the first candidate that accepts it. If none of the
// attempted ones does, it pushes to the remainder separately.
func (g *Gossiper) deliver(ctx context.Context, items []Item, message delivery) {
	for _, candidate := range message.candidates[:min(maxDeliveryAttempts, len(message.candidates))] {
		if err := g.sendPush(ctx, candidate, items, message.targets(candidate)); err == nil {
			g.Stats.Pushed.Add(1)
			return
		}
		g.Stats.Failed.Add(1)
		if ctx.Err() != nil {
			return
		}
	}
	if !message.remainder.empty() {
		g.Push(ctx, items, message.remainder)
	}
}

func (g *Gossiper) sendPush(ctx context.Context, address ids.Address, items []Item, targets Targets) error {
	callCtx, cancel := g.Clock.WithTimeout(ctx, g.Interval)
	defer cancel()
	return g.remote().Push(callCtx, address, PushRequest{From: g.Table.Self().Address, Items: items, Targets: targets})
}

// handlePush stores the items of a push from another daemon and starts to forward them. It
// does not wait for the forwarding, so that the sender need not wait for it either;
// forwarding therefore outlives the call. It is bounded nevertheless: each attempt has a
// timeout, and each further level has fewer targets.
func (g *Gossiper) handlePush(ctx context.Context, req PushRequest) PushResponse {
	resp := PushResponse{}
	for _, item := range req.Items {
		if g.Store.receive(item, nil) {
			resp.Accepted++
		}
	}
	if !req.Targets.empty() {
		g.Stats.Relayed.Add(1)
		g.spawn(func() { g.Push(context.WithoutCancel(ctx), req.Items, withoutSender(req)) })
	}
	return resp
}

// withoutSender returns the targets of a push without its sender, which already has the
// items.
func withoutSender(req PushRequest) Targets {
	targets := req.Targets
	targets.Members = slices.DeleteFunc(slices.Clone(targets.Members), func(member ids.Address) bool { return member == req.From })
	return targets
}

// forward spreads items received in an exchange within this daemon's zone: a relay pushes
// them to the zone's members, any other daemon exchanges with the first relay.
func (g *Gossiper) forward(ctx context.Context, items []Item) {
	self := g.Table.Self()
	if self.Relay {
		g.Push(ctx, items, Targets{Zones: []ids.Zone{self.Zone}})
		return
	}
	for _, relay := range g.Table.Relays(self.Zone, 1) {
		g.Exchange(ctx, relay.Address)
	}
}

// targetFilter restricts the targets of a push to those that should hold items whose
// keys begin with the prefix.
type targetFilter struct {
	prefix string
	apply  func(g *Gossiper, targets Targets) Targets
}

// targetFilters are tried in order; the last one matches every key.
var targetFilters = newTargetFilters()

func newTargetFilters() []*targetFilter {
	filters := []*targetFilter{{BackbonePrefix, backboneOnly}}
	for _, prefix := range zonePrefixes {
		filters = append(filters, &targetFilter{prefix, ownZoneOnly})
	}
	return append(filters, &targetFilter{"", func(_ *Gossiper, targets Targets) Targets { return targets }})
}

func backboneOnly(_ *Gossiper, targets Targets) Targets {
	targets.BackboneOnly = true
	return targets
}

// ownZoneOnly restricts targets to this daemon's zone, unless they consist of members
// only.
func ownZoneOnly(g *Gossiper, targets Targets) Targets {
	if len(targets.Regions)+len(targets.Zones) == 0 {
		return targets
	}
	return Targets{Zones: []ids.Zone{g.Table.Self().Zone}}
}

// groupByFilter groups items by the first filter that matches their keys.
func groupByFilter(items []Item) map[*targetFilter][]Item {
	groups := map[*targetFilter][]Item{}
	for _, item := range items {
		for _, filter := range targetFilters {
			if strings.HasPrefix(item.Key, filter.prefix) {
				groups[filter] = append(groups[filter], item)
				break
			}
		}
	}
	return groups
}
