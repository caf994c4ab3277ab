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

// ExchangeRequest opens a comparison: by the digest of what both should hold alone,
// or, once the digests were found to differ, by the marks of all of it.
type ExchangeRequest struct {
	From             membership.Member `avro:"From"`
	MembershipDigest membership.Digest `avro:"Sums"`
	ItemDigest       int64             `avro:"Digest"`
	HasVersions      bool              `avro:"Listed"`
	Versions         []ItemVersion     `avro:"Marks"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeRequest) SchemaName() string { return "ExchangeAsk_23" }

// ExchangeResponse answers with what is newer and what is wanted; or, where the asker
// listed no marks, with whether its digest differs.
type ExchangeResponse struct {
	From             membership.Member   `avro:"From"`
	MembershipDigest membership.Digest   `avro:"Sums"`
	Members          []membership.Member `avro:"Members"`
	Differs          bool                `avro:"Differs"`
	Items            []Item              `avro:"Items"`
	WantedKeys       []string            `avro:"Wanted"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeResponse) SchemaName() string { return "ExchangeTold_23" }

// GiveRequest carries the items that were wanted, and the members where the tables
// still differ.
type GiveRequest struct {
	Items   []Item              `avro:"Items"`
	Members []membership.Member `avro:"Members"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveRequest) SchemaName() string { return "GiveAsk_23" }

// GiveResponse answers it.
type GiveResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveResponse) SchemaName() string { return "GiveTold_23" }

// Gossiper passes news on: what was made here goes down the tier of relays at
// once, and digests are compared with others now and then.
type Gossiper struct {
	Store  *Store
	Table  *membership.Table
	Client *transport.Client
	// Seeds are asked while no other member is known, and rarely after that.
	Seeds    []ids.Address
	Interval clock.Span
	Timeout  clock.Span
	// Rejoining says that others should know news already: not at a first start.
	Rejoining bool
	// MissingData tells whether this daemon can't do its work yet for want of news: it then
	// asks the relays of its zone, and often. It may be left out.
	MissingData func() bool
	// Zones gives all zones with their regions, Relays is how many daemons of
	// each pass news on.
	Zones         map[ids.Zone]ids.Region
	RelaysPerZone int
	// Fanout is how many others a daemon pushes to at most.
	Fanout int
	// SendPush sends a push to a daemon; by default the messenger does. Tests carry
	// it without a network.
	SendPush func(inner scope.Scope, taker ids.Address, asked PushRequest) error
	// SendExchange sends a question to a daemon; by default the messenger does.
	SendExchange func(inner scope.Scope, address ids.Address, asked ExchangeRequest) (ExchangeResponse, error)
	// Spawn runs what goes on beside; tests run it in place.
	Spawn         func(act func())
	reloadedSeeds atomic.Pointer[[]ids.Address]
	// emptyExchanges counts the exchanges that were left to those nearby in vain.
	emptyExchanges atomic.Int64
	// Stats are what was pushed, for the operator.
	Stats PushStats
}

// RegisterHandlers adds the spreader's messages to a table of calls.
func (g *Gossiper) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, "exchange", func(_ scope.Scope, asked ExchangeRequest) (ExchangeResponse, error) {
		return g.handleExchange(asked), nil
	})
	transport.Handle(calls, "give", func(_ scope.Scope, asked GiveRequest) (GiveResponse, error) {
		g.Table.Merge(asked.Members)
		return GiveResponse{Accepted: g.receiveAll(asked.Items)}, nil
	})
	transport.Handle(calls, "push", func(ctx scope.Scope, asked PushRequest) (PushResponse, error) {
		return g.handlePush(ctx, asked), nil
	})
}

// handleExchange answers a question of another daemon.
func (g *Gossiper) handleExchange(asked ExchangeRequest) ExchangeResponse {
	g.Table.Merge([]membership.Member{asked.From})
	told := ExchangeResponse{From: g.Table.Self(), MembershipDigest: g.Table.Digest()}
	shared := g.commonScope(asked.From)
	if asked.HasVersions {
		told.Items, told.WantedKeys = g.Store.Diff(asked.Versions, shared)
	} else {
		told.Differs = asked.ItemDigest != g.Store.Digest(shared)
	}
	if g.Table.Differs(asked.From.Zone, asked.MembershipDigest) {
		told.Members = g.Table.MembersFor(asked.From.Zone)
	}
	return told
}

// commonScope describes whoever would hold just what this daemon and the other both
// should: of the backbone if both are, of a zone if it is the same.
func (g *Gossiper) commonScope(other membership.Member) membership.Member {
	self := g.Table.Self()
	both := membership.Member{ServesControl: self.Backbone() && other.Backbone()}
	if self.Zone == other.Zone {
		both.Zone = self.Zone
	}
	return both
}

// Run exchanges with a partner now and then, and pushes whatever is new.
func (g *Gossiper) Run(ctx scope.Scope) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.Store.localUpdates:
			items := g.Store.takePending(g.Store.localUpdates)
			go g.Push(ctx, items, g.allTargets())
		case <-g.Store.remoteUpdates:
			g.forward(ctx, g.Store.takePending(g.Store.remoteUpdates))
		case <-ctx.Clock.After(g.nextDelay()):
			if address, found := g.choosePartner(); found {
				go g.Exchange(ctx, address)
			}
		}
	}
}

// Exchange compares news and members with one other daemon.
func (g *Gossiper) Exchange(ctx scope.Scope, address ids.Address) {
	short, release := ctx.WithTimeout(g.Timeout)
	defer release()
	told, err := g.requestExchange(short, address, false)
	if err == nil && told.Differs {
		if g.fetchFromNearer(ctx, address, told) {
			return
		}
		told, err = g.requestExchange(short, address, true)
	}
	if err != nil {
		return
	}
	g.Table.Merge(append(told.Members, told.From))
	g.receiveAll(told.Items)
	give := GiveRequest{}
	for _, key := range told.WantedKeys {
		if item, found := g.Store.wireItem(key); found {
			give.Items = append(give.Items, item)
		}
	}
	if g.Table.Differs(told.From.Zone, told.MembershipDigest) {
		give.Members = g.Table.MembersFor(told.From.Zone)
	}
	if len(give.Items)+len(give.Members) > 0 {
		_, _ = transport.Send[GiveResponse](short, g.Client, address, "give", give)
	}
}

// requestExchange sends one question: with all marks, or with their digest alone.
func (g *Gossiper) requestExchange(ctx scope.Scope, address ids.Address, listed bool) (ExchangeResponse, error) {
	partner, _ := g.Table.Find(address)
	shared := g.commonScope(partner)
	asked := ExchangeRequest{From: g.Table.Self(), MembershipDigest: g.Table.Digest(), HasVersions: listed}
	if listed {
		asked.Versions = g.Store.Versions(shared)
	} else {
		asked.ItemDigest = g.Store.Digest(shared)
	}
	if g.SendExchange != nil {
		return g.SendExchange(ctx, address, asked)
	}
	return transport.Send[ExchangeResponse](ctx, g.Client, address, "exchange", asked)
}

func (g *Gossiper) receiveAll(items []Item) int64 {
	taken := int64(0)
	for _, item := range items {
		if g.Store.receive(item, g.Store.remoteUpdates) {
			taken++
		}
	}
	return taken
}
