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

// Duty is what a daemon is asked to reach with the news that it is handed:
// regions by one relay in each, zones likewise, and members itself. Each daemon
// splits its duty over a few others, so nobody sends to more than the fan-out.
type Duty struct {
	Regions []ids.Region  `avro:"Regions"`
	Zones   []ids.Zone    `avro:"Zones"`
	Members []ids.Address `avro:"Members"`
	// Backbone says that of a zone's members only the backbone wants the news.
	Backbone bool `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Duty) SchemaName() string { return "Duty_23" }

// PushAsk hands news down the tier.
type PushAsk struct {
	From  ids.Address `avro:"From"`
	Items []Item      `avro:"Items"`
	Duty  Duty        `avro:"Duty"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushAsk) SchemaName() string { return "PushAsk_23" }

// PushTold answers it: how many of the items were new.
type PushTold struct {
	Taken int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushTold) SchemaName() string { return "PushTold_23" }

// Counts are what went through the tier here.
type Counts struct{ Pushed, Failed, Relayed atomic.Int64 }

// everywhere is the duty of the daemon that made an item.
func (s *Spreader) everywhere() Duty {
	regions := map[ids.Region]bool{}
	duty := Duty{}
	for _, region := range s.Zones {
		if !regions[region] {
			regions[region] = true
			duty.Regions = append(duty.Regions, region)
		}
	}
	slices.Sort(duty.Regions)
	return duty
}

// passOn hands what came by comparing digests to the zone: a relay pushes it to
// the members, any other daemon has a relay compare with it.
func (s *Spreader) passOn(ctx scope.Scope, items []Item) {
	self := s.Table.Self()
	if self.Relay {
		s.spawn(func() { s.Push(ctx, items, Duty{Zones: []ids.Zone{self.Zone}}) })
		return
	}
	for _, relay := range s.Table.Relays(self.Zone, 1) {
		go s.Exchange(ctx, relay.Address)
	}
}

// pushed takes news that was handed down and goes on with the duty at once,
// before the answer is sent: the sender need not wait for it.
func (s *Spreader) pushed(ctx scope.Scope, asked PushAsk) PushTold {
	told := PushTold{}
	for _, item := range asked.Items {
		if s.News.hear(item, nil) {
			told.Taken++
		}
	}
	if len(asked.Duty.Regions)+len(asked.Duty.Zones)+len(asked.Duty.Members) > 0 {
		s.Counts.Relayed.Add(1)
		s.spawn(func() { s.Push(ctx.Detached(), asked.Items, s.without(asked)) })
	}
	return told
}

// without leaves the sender out of a duty: it has the news.
func (s *Spreader) without(asked PushAsk) Duty {
	duty := asked.Duty
	duty.Members = slices.DeleteFunc(slices.Clone(duty.Members), func(member ids.Address) bool { return member == asked.From })
	return duty
}

// Push brings items to all that the duty names, and returns when each part was
// handed on or given up: what is given up is mended by comparing digests.
func (s *Spreader) Push(ctx scope.Scope, items []Item, duty Duty) {
	for narrowed, some := range s.scopes(items) {
		s.pushScope(ctx, some, narrowed.apply(s, duty))
	}
}

func (s *Spreader) pushScope(ctx scope.Scope, items []Item, duty Duty) {
	var group sync.WaitGroup
	for _, part := range s.split(duty) {
		group.Add(1)
		s.spawn(func() {
			defer group.Done()
			s.handOver(ctx, items, part)
		})
	}
	group.Wait()
}

// scopes sorts items by who should hold them; each scope narrows a duty to these.
func (s *Spreader) scopes(items []Item) map[*narrowing][]Item {
	sorted := map[*narrowing][]Item{}
	for _, item := range items {
		for _, scope := range narrowings {
			if strings.HasPrefix(item.Key, scope.prefix) {
				sorted[scope] = append(sorted[scope], item)
				break
			}
		}
	}
	return sorted
}

// narrowing narrows the duty of items whose keys begin with the prefix.
type narrowing struct {
	prefix string
	apply  func(spreader *Spreader, duty Duty) Duty
}

// ownZoneOnly narrows a duty to the zone of this daemon.
func ownZoneOnly(spreader *Spreader, duty Duty) Duty {
	if len(duty.Regions)+len(duty.Zones) == 0 {
		return duty
	}
	return Duty{Zones: []ids.Zone{spreader.Table.Self().Zone}}
}

// narrowings are tried in this order; the last fits every key.
var narrowings = allNarrowings()

func allNarrowings() []*narrowing {
	all := []*narrowing{{BackbonePrefix, func(_ *Spreader, duty Duty) Duty { duty.Backbone = true; return duty }}}
	for _, prefix := range zonePrefixes {
		all = append(all, &narrowing{prefix, ownZoneOnly})
	}
	return append(all, &narrowing{"", func(_ *Spreader, duty Duty) Duty { return duty }})
}

// handOver sends one part to the first taker that answers soon; where none does,
// the rest of the duty is split anew.
func (s *Spreader) handOver(ctx scope.Scope, items []Item, piece part) {
	for _, taker := range piece.takers[:min(mostTakers, len(piece.takers))] {
		short, release := ctx.WithLimit(s.Every)
		asked := PushAsk{From: s.Table.Self().Address, Items: items, Duty: piece.duty(taker)}
		err := s.send(short, taker, asked)
		release()
		if err == nil {
			s.Counts.Pushed.Add(1)
			return
		}
		s.Counts.Failed.Add(1)
		if ctx.Err() != nil {
			return
		}
	}
	if len(piece.rest.Regions)+len(piece.rest.Zones)+len(piece.rest.Members) > 0 {
		s.Push(ctx, items, piece.rest)
	}
}

func (s *Spreader) spawn(act func()) {
	if s.Spawn != nil {
		s.Spawn(act)
		return
	}
	go act()
}

func (s *Spreader) send(ctx scope.Scope, taker ids.Address, asked PushAsk) error {
	if s.Carry != nil {
		return s.Carry(ctx, taker, asked)
	}
	_, err := transport.Send[PushTold](ctx, s.Messenger, taker, "push", asked)
	return err
}
