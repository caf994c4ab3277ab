package gossip

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// estate is many daemons without a network: each zone has one that serves
// control and so many routers.
type estate struct {
	clock   *clock.Fake
	scope   scope.Scope
	daemons map[ids.Address]*Spreader
	order   []ids.Address
	dead    map[ids.Address]bool
	loss    float64
	chance  *rand.Rand
	sent    map[ids.Address]int
	bytes   map[ids.Address]int
}

const relaysOfZone = 2

func newEstate(regions int, zonesOfRegion int, routers int) *estate {
	made := &estate{
		clock: clock.NewFake(), daemons: map[ids.Address]*Spreader{}, dead: map[ids.Address]bool{},
		chance: rand.New(rand.NewPCG(7, 11)), sent: map[ids.Address]int{}, bytes: map[ids.Address]int{},
	}
	made.scope = scope.New(scope.Options{Clock: made.clock})
	zones := map[ids.Zone]ids.Region{}
	for region := range regions {
		for zone := range zonesOfRegion {
			zones[ids.Zone(fmt.Sprintf("r%d-z%d", region, zone))] = ids.Region(fmt.Sprintf("r%d", region))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		region := zones[zone]
		for index := range routers + 1 {
			self := membership.Member{Zone: zone, Region: region, Address: ids.Address(fmt.Sprintf("%s-%d:1", zone, index)), Core: index == 0, LinkMbps: 10}
			if index == 0 {
				self.LinkMbps = 100
			}
			made.add(self, zones)
		}
	}
	made.acquaint()
	return made
}

func (e *estate) add(self membership.Member, zones map[ids.Zone]ids.Region) {
	spreader := &Spreader{
		News: NewNews(nil), Table: membership.NewTable(e.clock, self), Zones: zones,
		Relays: relaysOfZone, Fanout: 8, Every: clock.Second, Limit: clock.Second,
		Spawn: func(act func()) { act() },
	}
	spreader.Carry = func(ctx scope.Scope, taker ids.Address, asked PushAsk) error {
		e.sent[self.Address]++
		for _, item := range asked.Items {
			e.bytes[self.Address] += len(item.Body)
		}
		if e.dead[taker] || e.dead[self.Address] || e.chance.Float64() < e.loss {
			return errors.New("estate: lost")
		}
		e.daemons[taker].pushed(ctx, asked)
		return nil
	}
	e.daemons[self.Address] = spreader
	e.order = append(e.order, self.Address)
}

// acquaint has all know whom they should know, and the relays say what they are.
func (e *estate) acquaint() {
	var all []membership.Member
	for _, address := range e.order {
		all = append(all, e.daemons[address].Table.Self())
	}
	for _, spreader := range e.daemons {
		spreader.Table.Merge(all)
	}
	e.clock.Move(clock.Second)
	all = nil
	for _, address := range e.order {
		e.daemons[address].Table.Elect(relaysOfZone, 0)
		all = append(all, e.daemons[address].Table.Self())
	}
	for _, spreader := range e.daemons {
		spreader.Table.Merge(all)
	}
}

func (e *estate) publish(origin ids.Address, item Item) {
	spreader := e.daemons[origin]
	spreader.News.Put(item)
	spreader.Push(e.scope, spreader.News.gather(spreader.News.own), spreader.everywhere())
}

func (e *estate) without(key string) []ids.Address {
	var found []ids.Address
	for _, address := range e.order {
		if _, held := e.daemons[address].News.Get(key); !held && !e.dead[address] {
			found = append(found, address)
		}
	}
	return found
}

// repair lets every daemon compare digests with one partner.
func (e *estate) repair() {
	for _, address := range e.order {
		from := e.daemons[address]
		partner, found := from.partner()
		if !found || e.dead[address] || e.dead[partner] || e.daemons[partner] == nil {
			continue
		}
		to := e.daemons[partner]
		items, wanted := to.News.Compare(from.News.Marks(from.shared(to.Table.Self())), to.shared(from.Table.Self()))
		from.take(items)
		for _, key := range wanted {
			item, _ := from.News.travelling(key)
			to.take([]Item{item})
		}
	}
}

// TestNewsReachesAllAtOneMessageEach pushes one item through estates that
// double: it reaches everybody at once, nobody sends more as the estate grows
// beyond its zone, and each daemon gets it once.
func TestNewsReachesAllAtOneMessageEach(t *testing.T) {
	for _, size := range []struct{ regions, zones, routers int }{{3, 2, 15}, {6, 2, 15}, {12, 2, 15}, {27, 3, 14}} {
		estate := newEstate(size.regions, size.zones, size.routers)
		estate.publish(estate.order[0], Item{Key: "spec", Serial: 1, Body: make([]byte, 100)})
		if missing := estate.without("spec"); len(missing) > 0 {
			t.Errorf("%v: %d of %d daemons were not reached", size, len(missing), len(estate.order))
		}
		messages, most := 0, 0
		for _, count := range estate.sent {
			messages, most = messages+count, max(most, count)
		}
		if messages != len(estate.order)-1 {
			t.Errorf("%v: %d messages for %d daemons", size, messages, len(estate.order))
		}
		if most > 3*8 {
			t.Errorf("%v: one daemon sent %d messages", size, most)
		}
		for _, address := range estate.order {
			table := estate.daemons[address].Table
			if known := len(table.Members()); known > size.routers+1+2*size.regions*size.zones+2 {
				t.Fatalf("%v: %s knows %d members", size, address, known)
			}
		}
	}
}

// TestLossIsMendedByDigests loses a fifth of all pushes, and has both relays of
// a zone die in the middle: comparing digests finds what the tier lost.
func TestLossIsMendedByDigests(t *testing.T) {
	estate := newEstate(3, 2, 15)
	other := ids.Zone("r1-z1")
	for _, relay := range estate.daemons[ids.Address(other+"-1:1")].Table.Relays(other, relaysOfZone) {
		estate.dead[relay.Address] = true
	}
	estate.loss = 0.2
	estate.publish(estate.order[0], Item{Key: "spec", Serial: 1, Body: make([]byte, 5000)})
	rounds := 0
	for ; len(estate.without("spec")) > 0; rounds++ {
		if rounds > 40 {
			t.Fatalf("%d daemons never got it", len(estate.without("spec")))
		}
		estate.repair()
	}
	t.Logf("mended after %d rounds of digests", rounds)
	item, _ := estate.daemons[estate.order[len(estate.order)-1]].News.Get("spec")
	if len(item.Body) != 5000 {
		t.Fatalf("the body is %d bytes long", len(item.Body))
	}
}

// TestViewsStayInTheBackbone pushes what only the backbone holds.
func TestViewsStayInTheBackbone(t *testing.T) {
	estate := newEstate(3, 2, 15)
	estate.publish(estate.order[0], Item{Key: BackbonePrefix + "z", Serial: 1})
	for _, address := range estate.order {
		_, held := estate.daemons[address].News.Get(BackbonePrefix + "z")
		if backbone := estate.daemons[address].Table.Self().Backbone(); held != backbone && address != estate.order[0] {
			t.Errorf("%s: held %v, of the backbone %v", address, held, backbone)
		}
	}
}

// TestNewsOfAZoneStaysThere pushes what concerns one zone only.
func TestNewsOfAZoneStaysThere(t *testing.T) {
	estate := newEstate(3, 2, 15)
	zone := estate.daemons[estate.order[0]].Table.Self().Zone
	estate.publish(estate.order[0], Item{Key: ZonePrefix + string(zone), Serial: 1})
	estate.repair()
	for _, address := range estate.order {
		_, held := estate.daemons[address].News.Get(ZonePrefix + string(zone))
		if own := estate.daemons[address].Table.Self().Zone == zone; held != own {
			t.Errorf("%s: held %v, of the zone %v", address, held, own)
		}
	}
}

// TestBrokenBodiesAreDropped takes an item that can't be unpacked.
func TestBrokenBodiesAreDropped(t *testing.T) {
	news := NewNews(nil)
	if news.hear(Item{Key: "spec", Serial: 9, Body: []byte("no deflate"), Packed: true}, nil) {
		t.Fatal("a broken body was taken")
	}
	if _, found := news.Get("spec"); found {
		t.Fatal("a broken body is held")
	}
}
