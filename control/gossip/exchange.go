package gossip

import (
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// ExchangeAsk opens a comparison: by the digest of what both should hold alone,
// or, once the digests were found to differ, by the marks of all of it.
type ExchangeAsk struct {
	From   membership.Member `avro:"From"`
	Sums   membership.Sums   `avro:"Sums"`
	Digest int64             `avro:"Digest"`
	Listed bool              `avro:"Listed"`
	Marks  []Mark            `avro:"Marks"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeAsk) SchemaName() string { return "ExchangeAsk_23" }

// ExchangeTold answers with what is newer and what is wanted; or, where the asker
// listed no marks, with whether its digest differs.
type ExchangeTold struct {
	From    membership.Member   `avro:"From"`
	Sums    membership.Sums     `avro:"Sums"`
	Members []membership.Member `avro:"Members"`
	Differs bool                `avro:"Differs"`
	Items   []Item              `avro:"Items"`
	Wanted  []string            `avro:"Wanted"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeTold) SchemaName() string { return "ExchangeTold_23" }

// GiveAsk carries the items that were wanted, and the members where the tables
// still differ.
type GiveAsk struct {
	Items   []Item              `avro:"Items"`
	Members []membership.Member `avro:"Members"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveAsk) SchemaName() string { return "GiveAsk_23" }

// GiveTold answers it.
type GiveTold struct {
	Taken int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveTold) SchemaName() string { return "GiveTold_23" }

// Spreader passes news on: what was made here goes down the tier of relays at
// once, and digests are compared with others now and then.
type Spreader struct {
	News      *News
	Table     *membership.Table
	Messenger *transport.Courier
	// Seeds are asked while no other member is known, and rarely after that.
	Seeds []ids.Address
	Every clock.Span
	Limit clock.Span
	// Hurry says that others should know news already: not at a first start.
	Hurry bool
	// Lacks tells whether this daemon can't do its work yet for want of news: it then
	// asks the relays of its zone, and often. It may be left out.
	Lacks func() bool
	// Zones gives all zones with their regions, Relays is how many daemons of
	// each pass news on.
	Zones  map[ids.Zone]ids.Region
	Relays int
	// Fanout is how many others a daemon pushes to at most.
	Fanout int
	// Carry sends a push to a daemon; by default the messenger does. Tests carry
	// it without a network.
	Carry func(inner scope.Scope, taker ids.Address, asked PushAsk) error
	// Compare sends a question to a daemon; by default the messenger does.
	Compare func(inner scope.Scope, address ids.Address, asked ExchangeAsk) (ExchangeTold, error)
	// Spawn runs what goes on beside; tests run it in place.
	Spawn func(act func())
	fresh atomic.Pointer[[]ids.Address]
	// emptyTries counts the exchanges that were left to those nearby in vain.
	emptyTries atomic.Int64
	// Counts are what was pushed, for the operator.
	Counts Counts
}

// Serve adds the spreader's messages to a table of calls.
func (s *Spreader) Serve(calls *httpcall.Table) {
	transport.Handle(calls, "exchange", func(_ scope.Scope, asked ExchangeAsk) (ExchangeTold, error) {
		return s.compared(asked), nil
	})
	transport.Handle(calls, "give", func(_ scope.Scope, asked GiveAsk) (GiveTold, error) {
		s.Table.Merge(asked.Members)
		return GiveTold{Taken: s.take(asked.Items)}, nil
	})
	transport.Handle(calls, "push", func(ctx scope.Scope, asked PushAsk) (PushTold, error) {
		return s.pushed(ctx, asked), nil
	})
}

// compared answers a question of another daemon.
func (s *Spreader) compared(asked ExchangeAsk) ExchangeTold {
	s.Table.Merge([]membership.Member{asked.From})
	told := ExchangeTold{From: s.Table.Self(), Sums: s.Table.Sums()}
	shared := s.shared(asked.From)
	if asked.Listed {
		told.Items, told.Wanted = s.News.Compare(asked.Marks, shared)
	} else {
		told.Differs = asked.Digest != s.News.Digest(shared)
	}
	if s.Table.Differs(asked.From.Zone, asked.Sums) {
		told.Members = s.Table.Told(asked.From.Zone)
	}
	return told
}

// shared describes whoever would hold just what this daemon and the other both
// should: of the backbone if both are, of a zone if it is the same.
func (s *Spreader) shared(other membership.Member) membership.Member {
	self := s.Table.Self()
	both := membership.Member{Core: self.Backbone() && other.Backbone()}
	if self.Zone == other.Zone {
		both.Zone = self.Zone
	}
	return both
}

// Run exchanges with a partner now and then, and pushes whatever is new.
func (s *Spreader) Run(ctx scope.Scope) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.News.own:
			items := s.News.gather(s.News.own)
			go s.Push(ctx, items, s.everywhere())
		case <-s.News.heard:
			s.passOn(ctx, s.News.gather(s.News.heard))
		case <-ctx.Clock.After(s.pause()):
			if address, found := s.partner(); found {
				go s.Exchange(ctx, address)
			}
		}
	}
}

// Exchange compares news and members with one other daemon.
func (s *Spreader) Exchange(ctx scope.Scope, address ids.Address) {
	short, release := ctx.WithLimit(s.Limit)
	defer release()
	told, err := s.ask(short, address, false)
	if err == nil && told.Differs {
		if s.fromNearer(ctx, address, told) {
			return
		}
		told, err = s.ask(short, address, true)
	}
	if err != nil {
		return
	}
	s.Table.Merge(append(told.Members, told.From))
	s.take(told.Items)
	give := GiveAsk{}
	for _, key := range told.Wanted {
		if item, found := s.News.travelling(key); found {
			give.Items = append(give.Items, item)
		}
	}
	if s.Table.Differs(told.From.Zone, told.Sums) {
		give.Members = s.Table.Told(told.From.Zone)
	}
	if len(give.Items)+len(give.Members) > 0 {
		_, _ = transport.Send[GiveTold](short, s.Messenger, address, "give", give)
	}
}

// ask sends one question: with all marks, or with their digest alone.
func (s *Spreader) ask(ctx scope.Scope, address ids.Address, listed bool) (ExchangeTold, error) {
	partner, _ := s.Table.Find(address)
	shared := s.shared(partner)
	asked := ExchangeAsk{From: s.Table.Self(), Sums: s.Table.Sums(), Listed: listed}
	if listed {
		asked.Marks = s.News.Marks(shared)
	} else {
		asked.Digest = s.News.Digest(shared)
	}
	if s.Compare != nil {
		return s.Compare(ctx, address, asked)
	}
	return transport.Send[ExchangeTold](ctx, s.Messenger, address, "exchange", asked)
}

func (s *Spreader) take(items []Item) int64 {
	taken := int64(0)
	for _, item := range items {
		if s.News.hear(item, s.News.heard) {
			taken++
		}
	}
	return taken
}
