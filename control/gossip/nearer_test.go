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

// place is a daemon that starts and knows a seed alone; mates are the others.
type place struct {
	top     scope.Scope
	starter *Spreader
	mates   map[ids.Address]*Spreader
	// items counts what each mate told.
	items map[ids.Address]int
}

func newPlace(self membership.Member, mates ...membership.Member) *place {
	machine := clock.NewFake()
	made := &place{
		top: scope.New(scope.Options{Clock: machine}), mates: map[ids.Address]*Spreader{}, items: map[ids.Address]int{},
	}
	spreader := func(self membership.Member) *Spreader {
		return &Spreader{News: NewNews(nil), Table: membership.NewTable(machine, self), Every: clock.Second, Limit: clock.Second, Relays: 2}
	}
	made.starter = spreader(self)
	for _, mate := range mates {
		made.mates[mate.Address] = spreader(mate)
		made.mates[mate.Address].Table.Merge(mates)
	}
	made.starter.Compare = func(_ scope.Scope, address ids.Address, asked ExchangeAsk) (ExchangeTold, error) {
		mate := made.mates[address]
		if mate == nil {
			return ExchangeTold{}, errors.New("place: nobody there")
		}
		told := mate.compared(asked)
		made.items[address] += len(told.Items)
		return told, nil
	}
	return made
}

func (p *place) tell(addresses ...ids.Address) {
	for _, address := range addresses {
		for index := range 5 {
			p.mates[address].News.Put(Item{Key: fmt.Sprint("k", index), Serial: 1, Body: []byte("long")})
		}
	}
}

func member(address ids.Address, zone ids.Zone, region ids.Region, core bool) membership.Member {
	return membership.Member{Address: address, Zone: zone, Region: region, Core: core, Incarnation: 1}
}

func TestNewsComesFromTheNearest(t *testing.T) {
	seed, sister, near := member("seed:1", "x", "far", true), member("sister:1", "b", "home", true), member("near:1", "a", "home", true)
	for _, example := range []struct {
		name  string
		mates []membership.Member
		from  ids.Address
	}{
		{"own zone", []membership.Member{seed, sister, near}, "near:1"},
		{"own region", []membership.Member{seed, sister}, "sister:1"},
		{"nobody nearby", []membership.Member{seed}, "seed:1"},
	} {
		place := newPlace(member("self:1", "a", "home", false), example.mates...)
		for _, mate := range example.mates {
			place.tell(mate.Address)
		}
		place.starter.Exchange(place.top, "seed:1")
		total := 0
		for _, count := range place.items {
			total += count
		}
		if place.items[example.from] != 5 || total != 5 {
			t.Errorf("%s: items came from %v", example.name, place.items)
		}
	}
}

// TestNewsComesFromFarWhereNobodyNearHasIt has a whole zone start at once: its first
// relay takes the news from the seed, the others wait a few exchanges for it.
func TestNewsComesFromFarWhereNobodyNearHasIt(t *testing.T) {
	seed, near := member("seed:1", "x", "far", true), member("near:1", "a", "home", true)
	router := newPlace(member("self:1", "a", "home", false), seed, near)
	router.tell("seed:1")
	for try := range fromNearerTries {
		if router.starter.Exchange(router.top, "seed:1"); !router.starter.News.Empty() {
			t.Fatalf("at exchange %d all came from far away", try)
		}
	}
	if router.starter.Exchange(router.top, "seed:1"); router.starter.News.Empty() {
		t.Fatal("a router whose mates know nothing never learns anything")
	}
	relay := newPlace(member("relay:1", "a", "home", true), seed, member("other:1", "a", "home", false))
	relay.tell("seed:1")
	if relay.starter.Exchange(relay.top, "seed:1"); relay.starter.News.Empty() {
		t.Fatal("the first relay of a zone waits for others")
	}
}
