package gossip

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// bootstrapPeers simulates the daemons that a joiner, a newly started daemon that knows
// only a seed, can reach. It supports only exchanges: any other message panics.
type bootstrapPeers struct {
	peers
	scope  scope.Scope
	joiner *Gossiper
	others map[ids.Address]*Gossiper
	// itemsFrom counts the items received from each of the others.
	itemsFrom map[ids.Address]int
}

func newBootstrapPeers(self membership.Member, others ...membership.Member) *bootstrapPeers {
	source := clock.NewFake()
	b := &bootstrapPeers{
		scope: scope.New(scope.Options{Clock: source}), others: map[ids.Address]*Gossiper{}, itemsFrom: map[ids.Address]int{},
	}
	newGossiper := func(self membership.Member) *Gossiper {
		return &Gossiper{Clock: source, Store: NewStore(nil), Table: membership.NewTable(source, self), Interval: time.Second, Timeout: time.Second, RelaysPerZone: 2}
	}
	b.joiner = newGossiper(self)
	b.joiner.peers = b
	for _, other := range others {
		b.others[other.Address] = newGossiper(other)
		b.others[other.Address].Table.Merge(others)
	}
	return b
}

// Exchange implements peers.
func (b *bootstrapPeers) Exchange(_ context.Context, address ids.Address, req ExchangeRequest) (ExchangeResponse, error) {
	other := b.others[address]
	if other == nil {
		return ExchangeResponse{}, errors.New("no daemon at the address")
	}
	resp := other.handleExchange(req)
	b.itemsFrom[address] += len(resp.Items)
	return resp, nil
}

func (b *bootstrapPeers) fill(addresses ...ids.Address) {
	for _, address := range addresses {
		for index := range 5 {
			b.others[address].Store.Put(Item{Key: fmt.Sprint("k", index), Version: 1, Body: []byte("long")})
		}
	}
}

func newMember(address ids.Address, zone ids.Zone, region ids.Region, servesControl bool) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: region, ServesControl: servesControl, Incarnation: 1}
}

func TestExchange_fetchesFromNearestPeer(t *testing.T) {
	seed, regional, near := newMember("seed:1", "x", "far", true), newMember("regional:1", "b", "home", true), newMember("near:1", "a", "home", true)
	for _, test := range []struct {
		name   string
		others []membership.Member
		from   ids.Address
	}{
		{"own zone", []membership.Member{seed, regional, near}, "near:1"},
		{"own region", []membership.Member{seed, regional}, "regional:1"},
		{"nobody nearby", []membership.Member{seed}, "seed:1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			setup := newBootstrapPeers(newMember("self:1", "a", "home", false), test.others...)
			for _, other := range test.others {
				setup.fill(other.Address)
			}
			setup.joiner.Exchange(setup.scope, "seed:1")
			total := 0
			for _, count := range setup.itemsFrom {
				total += count
			}
			if setup.itemsFrom[test.from] != 5 || total != 5 {
				t.Errorf("items received by sender: %v, want 5, all from the nearest daemon", setup.itemsFrom)
			}
		})
	}
}

// TestExchange_fetchesFromSeedWhenNearPeersAreEmpty starts a whole zone at once: its first
// relay must fetch the items from the seed in its first exchange, any other daemon only
// after maxNearerAttempts exchanges.
func TestExchange_fetchesFromSeedWhenNearPeersAreEmpty(t *testing.T) {
	seed, near := newMember("seed:1", "x", "far", true), newMember("near:1", "a", "home", true)
	router := newBootstrapPeers(newMember("self:1", "a", "home", false), seed, near)
	router.fill("seed:1")
	for attempt := range maxNearerAttempts {
		if router.joiner.Exchange(router.scope, "seed:1"); !router.joiner.Store.Empty() {
			t.Fatalf("exchange %d already fetched the items from far away", attempt)
		}
	}
	if router.joiner.Exchange(router.scope, "seed:1"); router.joiner.Store.Empty() {
		t.Fatal("a router whose nearer peers are empty never fetches any items")
	}
	relay := newBootstrapPeers(newMember("relay:1", "a", "home", true), seed, newMember("other:1", "a", "home", false))
	relay.fill("seed:1")
	if relay.joiner.Exchange(relay.scope, "seed:1"); relay.joiner.Store.Empty() {
		t.Fatal("the first relay of a zone did not fetch items in its first exchange")
	}
}
