package gossip

import (
	"errors"
	"fmt"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// bootstrapPeers is a daemon that starts and knows a seed alone; mates are the others.
type bootstrapPeers struct {
	scope  scope.Scope
	joiner *Gossiper
	peers  map[ids.Address]*Gossiper
	// itemsFrom counts what each mate told.
	itemsFrom map[ids.Address]int
}

func newBootstrapPeers(self membership.Member, mates ...membership.Member) *bootstrapPeers {
	machine := clock.NewFake()
	made := &bootstrapPeers{
		scope: scope.New(scope.Options{Clock: machine}), peers: map[ids.Address]*Gossiper{}, itemsFrom: map[ids.Address]int{},
	}
	spreader := func(self membership.Member) *Gossiper {
		return &Gossiper{Store: NewStore(nil), Table: membership.NewTable(machine, self), Interval: clock.Second, Timeout: clock.Second, RelaysPerZone: 2}
	}
	made.joiner = spreader(self)
	for _, mate := range mates {
		made.peers[mate.Address] = spreader(mate)
		made.peers[mate.Address].Table.Merge(mates)
	}
	made.joiner.SendExchange = func(_ scope.Scope, address ids.Address, asked ExchangeRequest) (ExchangeResponse, error) {
		mate := made.peers[address]
		if mate == nil {
			return ExchangeResponse{}, errors.New("place: nobody there")
		}
		told := mate.handleExchange(asked)
		made.itemsFrom[address] += len(told.Items)
		return told, nil
	}
	return made
}

func (b *bootstrapPeers) fill(addresses ...ids.Address) {
	for _, address := range addresses {
		for index := range 5 {
			b.peers[address].Store.Put(Item{Key: fmt.Sprint("k", index), Version: 1, Body: []byte("long")})
		}
	}
}

func newMember(address ids.Address, zone ids.Zone, region ids.Region, core bool) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: region, ServesControl: core, Incarnation: 1}
}

func TestExchange_fetchesFromNearestPeer(t *testing.T) {
	seed, sister, near := newMember("seed:1", "x", "far", true), newMember("sister:1", "b", "home", true), newMember("near:1", "a", "home", true)
	for _, example := range []struct {
		name  string
		mates []membership.Member
		from  ids.Address
	}{
		{"own zone", []membership.Member{seed, sister, near}, "near:1"},
		{"own region", []membership.Member{seed, sister}, "sister:1"},
		{"nobody nearby", []membership.Member{seed}, "seed:1"},
	} {
		place := newBootstrapPeers(newMember("self:1", "a", "home", false), example.mates...)
		for _, mate := range example.mates {
			place.fill(mate.Address)
		}
		place.joiner.Exchange(place.scope, "seed:1")
		total := 0
		for _, count := range place.itemsFrom {
			total += count
		}
		if place.itemsFrom[example.from] != 5 || total != 5 {
			t.Errorf("%s: items came from %v", example.name, place.itemsFrom)
		}
	}
}

// TestExchange_fetchesFromSeedWhenNearPeersAreEmpty has a whole zone start at once: its first
// relay takes the news from the seed, the others wait a few exchanges for it.
func TestExchange_fetchesFromSeedWhenNearPeersAreEmpty(t *testing.T) {
	seed, near := newMember("seed:1", "x", "far", true), newMember("near:1", "a", "home", true)
	router := newBootstrapPeers(newMember("self:1", "a", "home", false), seed, near)
	router.fill("seed:1")
	for try := range maxNearerAttempts {
		if router.joiner.Exchange(router.scope, "seed:1"); !router.joiner.Store.Empty() {
			t.Fatalf("at exchange %d all came from far away", try)
		}
	}
	if router.joiner.Exchange(router.scope, "seed:1"); router.joiner.Store.Empty() {
		t.Fatal("a router whose mates know nothing never learns anything")
	}
	relay := newBootstrapPeers(newMember("relay:1", "a", "home", true), seed, newMember("other:1", "a", "home", false))
	relay.fill("seed:1")
	if relay.joiner.Exchange(relay.scope, "seed:1"); relay.joiner.Store.Empty() {
		t.Fatal("the first relay of a zone waits for others")
	}
}
