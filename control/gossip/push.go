package gossip

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// Targets is what a daemon is asked to reach with the news that it is handed:
// regions by one relay in each, zones likewise, and members itself. Each daemon
// splits its duty over a few others, so nobody sends to more than the fan-out.
type Targets struct {
	Regions []ids.Region  `avro:"Regions"`
	Zones   []ids.Zone    `avro:"Zones"`
	Members []ids.Address `avro:"Members"`
	// BackboneOnly says that of a zone's members only the backbone wants the news.
	BackboneOnly bool `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Targets) SchemaName() string { return "Duty_23" }

// PushRequest hands news down the tier.
type PushRequest struct {
	From    ids.Address `avro:"From"`
	Items   []Item      `avro:"Items"`
	Targets Targets     `avro:"Duty"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushRequest) SchemaName() string { return "PushAsk_23" }

// PushResponse answers it: how many of the items were new.
type PushResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushResponse) SchemaName() string { return "PushTold_23" }

// PushStats are what went through the tier here.
type PushStats struct{ Pushed, Failed, Relayed atomic.Int64 }

// allTargets is the duty of the daemon that made an item.
func (g *Gossiper) allTargets() Targets {
	regions := map[ids.Region]bool{}
	duty := Targets{}
	for _, region := range g.Zones {
		if !regions[region] {
			regions[region] = true
			duty.Regions = append(duty.Regions, region)
		}
	}
	slices.Sort(duty.Regions)
	return duty
}

// forward hands what came by comparing digests to the zone: a relay pushes it to
// the members, any other daemon has a relay compare with it.
func (g *Gossiper) forward(ctx scope.Scope, items []Item) {
	self := g.Table.Self()
	if self.Relay {
		g.spawn(func() { g.Push(ctx, items, Targets{Zones: []ids.Zone{self.Zone}}) })
		return
	}
	for _, relay := range g.Table.Relays(self.Zone, 1) {
		go g.Exchange(ctx, relay.Address)
	}
}

// handlePush takes news that was handed down and goes on with the duty at once,
// before the answer is sent: the sender need not wait for it.
func (g *Gossiper) handlePush(ctx scope.Scope, asked PushRequest) PushResponse {
	told := PushResponse{}
	for _, item := range asked.Items {
		if g.Store.receive(item, nil) {
			told.Accepted++
		}
	}
	if len(asked.Targets.Regions)+len(asked.Targets.Zones)+len(asked.Targets.Members) > 0 {
		g.Stats.Relayed.Add(1)
		g.spawn(func() { g.Push(ctx.WithoutCancel(), asked.Items, g.withoutSender(asked)) })
	}
	return told
}

// withoutSender leaves the sender out of a duty: it has the news.
func (g *Gossiper) withoutSender(asked PushRequest) Targets {
	duty := asked.Targets
	duty.Members = slices.DeleteFunc(slices.Clone(duty.Members), func(member ids.Address) bool { return member == asked.From })
	return duty
}

// Push brings items to all that the duty names, and returns when each part was
// handed on or given up: what is given up is mended by comparing digests.
func (g *Gossiper) Push(ctx scope.Scope, items []Item, duty Targets) {
	for narrowed, some := range g.groupByFilter(items) {
		g.pushGroup(ctx, some, narrowed.apply(g, duty))
	}
}

func (g *Gossiper) pushGroup(ctx scope.Scope, items []Item, duty Targets) {
	var group sync.WaitGroup
	for _, part := range g.splitTargets(duty) {
		group.Add(1)
		g.spawn(func() {
			defer group.Done()
			g.deliver(ctx, items, part)
		})
	}
	group.Wait()
}

// groupByFilter sorts items by who should hold them; each scope narrows a duty to these.
func (g *Gossiper) groupByFilter(items []Item) map[*targetFilter][]Item {
	sorted := map[*targetFilter][]Item{}
	for _, item := range items {
		for _, scope := range targetFilters {
			if strings.HasPrefix(item.Key, scope.prefix) {
				sorted[scope] = append(sorted[scope], item)
				break
			}
		}
	}
	return sorted
}

// targetFilter narrows the duty of items whose keys begin with the prefix.
type targetFilter struct {
	prefix string
	apply  func(spreader *Gossiper, duty Targets) Targets
}

// ownZoneOnly narrows a duty to the zone of this daemon.
func ownZoneOnly(spreader *Gossiper, duty Targets) Targets {
	if len(duty.Regions)+len(duty.Zones) == 0 {
		return duty
	}
	return Targets{Zones: []ids.Zone{spreader.Table.Self().Zone}}
}

// targetFilters are tried in this order; the last fits every key.
var targetFilters = newTargetFilters()

func newTargetFilters() []*targetFilter {
	all := []*targetFilter{{BackbonePrefix, func(_ *Gossiper, duty Targets) Targets { duty.BackboneOnly = true; return duty }}}
	for _, prefix := range zonePrefixes {
		all = append(all, &targetFilter{prefix, ownZoneOnly})
	}
	return append(all, &targetFilter{"", func(_ *Gossiper, duty Targets) Targets { return duty }})
}

// deliver sends one part to the first taker that answers soon; where none does,
// the rest of the duty is split anew.
func (g *Gossiper) deliver(ctx scope.Scope, items []Item, piece delivery) {
	for _, taker := range piece.candidates[:min(maxDeliveryAttempts, len(piece.candidates))] {
		short, release := ctx.WithTimeout(g.Interval)
		asked := PushRequest{From: g.Table.Self().Address, Items: items, Targets: piece.targets(taker)}
		err := g.sendPush(short, taker, asked)
		release()
		if err == nil {
			g.Stats.Pushed.Add(1)
			return
		}
		g.Stats.Failed.Add(1)
		if ctx.Err() != nil {
			return
		}
	}
	if len(piece.remainder.Regions)+len(piece.remainder.Zones)+len(piece.remainder.Members) > 0 {
		g.Push(ctx, items, piece.remainder)
	}
}

func (g *Gossiper) spawn(act func()) {
	if g.Spawn != nil {
		g.Spawn(act)
		return
	}
	go act()
}

func (g *Gossiper) sendPush(ctx scope.Scope, taker ids.Address, asked PushRequest) error {
	if g.SendPush != nil {
		return g.SendPush(ctx, taker, asked)
	}
	_, err := transport.Send[PushResponse](ctx, g.Client, taker, "push", asked)
	return err
}
