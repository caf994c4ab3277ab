package spread

import (
	"sync/atomic"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
)

// ExchangeAsk opens a comparison: by the digest of what both should hold alone,
// or, once the digests were found to differ, by the marks of all of it.
type ExchangeAsk struct {
	From   cohort.Member `avro:"From"`
	Sums   cohort.Sums   `avro:"Sums"`
	Digest int64         `avro:"Digest"`
	Listed bool          `avro:"Listed"`
	Marks  []Mark        `avro:"Marks"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeAsk) SchemaName() string { return "ExchangeAsk_23" }

// ExchangeTold answers with what is newer and what is wanted; or, where the asker
// listed no marks, with whether its digest differs.
type ExchangeTold struct {
	From    cohort.Member   `avro:"From"`
	Sums    cohort.Sums     `avro:"Sums"`
	Members []cohort.Member `avro:"Members"`
	Differs bool            `avro:"Differs"`
	Items   []Item          `avro:"Items"`
	Wanted  []string        `avro:"Wanted"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeTold) SchemaName() string { return "ExchangeTold_23" }

// GiveAsk carries the items that were wanted, and the members where the tables
// still differ.
type GiveAsk struct {
	Items   []Item          `avro:"Items"`
	Members []cohort.Member `avro:"Members"`
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
	Table     *cohort.Table
	Messenger *courier.Courier
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
func (spreader *Spreader) Serve(calls *call.Table) {
	courier.Handle(calls, "exchange", func(_ scope.Scope, asked ExchangeAsk) (ExchangeTold, error) {
		return spreader.compared(asked), nil
	})
	courier.Handle(calls, "give", func(_ scope.Scope, asked GiveAsk) (GiveTold, error) {
		spreader.Table.Merge(asked.Members)
		return GiveTold{Taken: spreader.take(asked.Items)}, nil
	})
	courier.Handle(calls, "push", func(inner scope.Scope, asked PushAsk) (PushTold, error) {
		return spreader.pushed(inner, asked), nil
	})
}

// compared answers a question of another daemon.
func (spreader *Spreader) compared(asked ExchangeAsk) ExchangeTold {
	spreader.Table.Merge([]cohort.Member{asked.From})
	told := ExchangeTold{From: spreader.Table.Self(), Sums: spreader.Table.Sums()}
	shared := spreader.shared(asked.From)
	if asked.Listed {
		told.Items, told.Wanted = spreader.News.Compare(asked.Marks, shared)
	} else {
		told.Differs = asked.Digest != spreader.News.Digest(shared)
	}
	if spreader.Table.Differs(asked.From.Zone, asked.Sums) {
		told.Members = spreader.Table.Told(asked.From.Zone)
	}
	return told
}

// shared describes whoever would hold just what this daemon and the other both
// should: of the backbone if both are, of a zone if it is the same.
func (spreader *Spreader) shared(other cohort.Member) cohort.Member {
	self := spreader.Table.Self()
	both := cohort.Member{Core: self.Backbone() && other.Backbone()}
	if self.Zone == other.Zone {
		both.Zone = self.Zone
	}
	return both
}

// Run exchanges with a partner now and then, and pushes whatever is new.
func (spreader *Spreader) Run(inner scope.Scope) {
	for inner.Err() == nil {
		select {
		case <-inner.Done():
			return
		case <-spreader.News.own:
			items := spreader.News.gather(spreader.News.own)
			go spreader.Push(inner, items, spreader.everywhere())
		case <-spreader.News.heard:
			spreader.passOn(inner, spreader.News.gather(spreader.News.heard))
		case <-inner.Clock.After(spreader.pause()):
			if address, found := spreader.partner(); found {
				go spreader.Exchange(inner, address)
			}
		}
	}
}

// Exchange compares news and members with one other daemon.
func (spreader *Spreader) Exchange(inner scope.Scope, address ids.Address) {
	short, release := inner.WithLimit(spreader.Limit)
	defer release()
	told, err := spreader.ask(short, address, false)
	if err == nil && told.Differs {
		if spreader.fromNearer(inner, address, told) {
			return
		}
		told, err = spreader.ask(short, address, true)
	}
	if err != nil {
		return
	}
	spreader.Table.Merge(append(told.Members, told.From))
	spreader.take(told.Items)
	give := GiveAsk{}
	for _, key := range told.Wanted {
		if item, found := spreader.News.travelling(key); found {
			give.Items = append(give.Items, item)
		}
	}
	if spreader.Table.Differs(told.From.Zone, told.Sums) {
		give.Members = spreader.Table.Told(told.From.Zone)
	}
	if len(give.Items)+len(give.Members) > 0 {
		_, _ = courier.Send[GiveTold](short, spreader.Messenger, address, "give", give)
	}
}

// ask sends one question: with all marks, or with their digest alone.
func (spreader *Spreader) ask(inner scope.Scope, address ids.Address, listed bool) (ExchangeTold, error) {
	partner, _ := spreader.Table.Find(address)
	shared := spreader.shared(partner)
	asked := ExchangeAsk{From: spreader.Table.Self(), Sums: spreader.Table.Sums(), Listed: listed}
	if listed {
		asked.Marks = spreader.News.Marks(shared)
	} else {
		asked.Digest = spreader.News.Digest(shared)
	}
	if spreader.Compare != nil {
		return spreader.Compare(inner, address, asked)
	}
	return courier.Send[ExchangeTold](inner, spreader.Messenger, address, "exchange", asked)
}

func (spreader *Spreader) take(items []Item) int64 {
	taken := int64(0)
	for _, item := range items {
		if spreader.News.hear(item, spreader.News.heard) {
			taken++
		}
	}
	return taken
}
