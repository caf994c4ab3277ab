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

// cluster is many daemons without a network: each zone has one that serves
// control and so many routers.
type cluster struct {
	clock        *clock.Fake
	scope        scope.Scope
	gossipers    map[ids.Address]*Gossiper
	addresses    []ids.Address
	dead         map[ids.Address]bool
	lossRate     float64
	random       *rand.Rand
	messagesSent map[ids.Address]int
	bytesSent    map[ids.Address]int
}

const relaysPerZone = 2

func newCluster(regions int, zonesOfRegion int, routers int) *cluster {
	made := &cluster{
		clock: clock.NewFake(), gossipers: map[ids.Address]*Gossiper{}, dead: map[ids.Address]bool{},
		random: rand.New(rand.NewPCG(7, 11)), messagesSent: map[ids.Address]int{}, bytesSent: map[ids.Address]int{},
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
			self := membership.Member{Zone: zone, Region: region, Address: ids.Address(fmt.Sprintf("%s-%d:1", zone, index)), ServesControl: index == 0, LinkMbps: 10}
			if index == 0 {
				self.LinkMbps = 100
			}
			made.add(self, zones)
		}
	}
	made.shareMembership()
	return made
}

func (c *cluster) add(self membership.Member, zones map[ids.Zone]ids.Region) {
	spreader := &Gossiper{
		Store: NewStore(nil), Table: membership.NewTable(c.clock, self), Zones: zones,
		RelaysPerZone: relaysPerZone, Fanout: 8, Interval: clock.Second, Timeout: clock.Second,
		Spawn: func(act func()) { act() },
	}
	spreader.SendPush = func(ctx scope.Scope, taker ids.Address, asked PushRequest) error {
		c.messagesSent[self.Address]++
		for _, item := range asked.Items {
			c.bytesSent[self.Address] += len(item.Body)
		}
		if c.dead[taker] || c.dead[self.Address] || c.random.Float64() < c.lossRate {
			return errors.New("estate: lost")
		}
		c.gossipers[taker].handlePush(ctx, asked)
		return nil
	}
	c.gossipers[self.Address] = spreader
	c.addresses = append(c.addresses, self.Address)
}

// shareMembership has all know whom they should know, and the relays say what they are.
func (c *cluster) shareMembership() {
	var all []membership.Member
	for _, address := range c.addresses {
		all = append(all, c.gossipers[address].Table.Self())
	}
	for _, spreader := range c.gossipers {
		spreader.Table.Merge(all)
	}
	c.clock.Advance(clock.Second)
	all = nil
	for _, address := range c.addresses {
		c.gossipers[address].Table.UpdateRelayRole(relaysPerZone, 0)
		all = append(all, c.gossipers[address].Table.Self())
	}
	for _, spreader := range c.gossipers {
		spreader.Table.Merge(all)
	}
}

func (c *cluster) publish(origin ids.Address, item Item) {
	spreader := c.gossipers[origin]
	spreader.Store.Put(item)
	spreader.Push(c.scope, spreader.Store.takePending(spreader.Store.localUpdates), spreader.allTargets())
}

func (c *cluster) missing(key string) []ids.Address {
	var found []ids.Address
	for _, address := range c.addresses {
		if _, held := c.gossipers[address].Store.Get(key); !held && !c.dead[address] {
			found = append(found, address)
		}
	}
	return found
}

// runAntiEntropy lets every daemon compare digests with one partner.
func (c *cluster) runAntiEntropy() {
	for _, address := range c.addresses {
		from := c.gossipers[address]
		partner, found := from.choosePartner()
		if !found || c.dead[address] || c.dead[partner] || c.gossipers[partner] == nil {
			continue
		}
		to := c.gossipers[partner]
		items, wanted := to.Store.Diff(from.Store.Versions(from.commonScope(to.Table.Self())), to.commonScope(from.Table.Self()))
		from.receiveAll(items)
		for _, key := range wanted {
			item, _ := from.Store.wireItem(key)
			to.receiveAll([]Item{item})
		}
	}
}

// TestPush_reachesEveryMemberOnce pushes one item through estates that
// double: it reaches everybody at once, nobody sends more as the estate grows
// beyond its zone, and each daemon gets it once.
func TestPush_reachesEveryMemberOnce(t *testing.T) {
	for _, size := range []struct{ regions, zones, routers int }{{3, 2, 15}, {6, 2, 15}, {12, 2, 15}, {27, 3, 14}} {
		estate := newCluster(size.regions, size.zones, size.routers)
		estate.publish(estate.addresses[0], Item{Key: "spec", Version: 1, Body: make([]byte, 100)})
		if missing := estate.missing("spec"); len(missing) > 0 {
			t.Errorf("%v: %d of %d daemons were not reached", size, len(missing), len(estate.addresses))
		}
		messages, most := 0, 0
		for _, count := range estate.messagesSent {
			messages, most = messages+count, max(most, count)
		}
		if messages != len(estate.addresses)-1 {
			t.Errorf("%v: %d messages for %d daemons", size, messages, len(estate.addresses))
		}
		if most > 3*8 {
			t.Errorf("%v: one daemon sent %d messages", size, most)
		}
		for _, address := range estate.addresses {
			table := estate.gossipers[address].Table
			if known := len(table.Members()); known > size.routers+1+2*size.regions*size.zones+2 {
				t.Fatalf("%v: %s knows %d members", size, address, known)
			}
		}
	}
}

// TestAntiEntropy_repairsLostPushes loses a fifth of all pushes, and has both relays of
// a zone die in the middle: comparing digests finds what the tier lost.
func TestAntiEntropy_repairsLostPushes(t *testing.T) {
	estate := newCluster(3, 2, 15)
	other := ids.Zone("r1-z1")
	for _, relay := range estate.gossipers[ids.Address(other+"-1:1")].Table.Relays(other, relaysPerZone) {
		estate.dead[relay.Address] = true
	}
	estate.lossRate = 0.2
	estate.publish(estate.addresses[0], Item{Key: "spec", Version: 1, Body: make([]byte, 5000)})
	rounds := 0
	for ; len(estate.missing("spec")) > 0; rounds++ {
		if rounds > 40 {
			t.Fatalf("%d daemons never got it", len(estate.missing("spec")))
		}
		estate.runAntiEntropy()
	}
	t.Logf("mended after %d rounds of digests", rounds)
	item, _ := estate.gossipers[estate.addresses[len(estate.addresses)-1]].Store.Get("spec")
	if len(item.Body) != 5000 {
		t.Fatalf("the body is %d bytes long", len(item.Body))
	}
}

// TestPush_keepsBackboneItemsInBackbone pushes what only the backbone holds.
func TestPush_keepsBackboneItemsInBackbone(t *testing.T) {
	estate := newCluster(3, 2, 15)
	estate.publish(estate.addresses[0], Item{Key: BackbonePrefix + "z", Version: 1})
	for _, address := range estate.addresses {
		_, held := estate.gossipers[address].Store.Get(BackbonePrefix + "z")
		if backbone := estate.gossipers[address].Table.Self().Backbone(); held != backbone && address != estate.addresses[0] {
			t.Errorf("%s: held %v, of the backbone %v", address, held, backbone)
		}
	}
}

// TestPush_keepsZoneItemsInZone pushes what concerns one zone only.
func TestPush_keepsZoneItemsInZone(t *testing.T) {
	estate := newCluster(3, 2, 15)
	zone := estate.gossipers[estate.addresses[0]].Table.Self().Zone
	estate.publish(estate.addresses[0], Item{Key: ZonePrefix + string(zone), Version: 1})
	estate.runAntiEntropy()
	for _, address := range estate.addresses {
		_, held := estate.gossipers[address].Store.Get(ZonePrefix + string(zone))
		if own := estate.gossipers[address].Table.Self().Zone == zone; held != own {
			t.Errorf("%s: held %v, of the zone %v", address, held, own)
		}
	}
}

// TestStore_dropsUndecodableItem takes an item that can't be unpacked.
func TestStore_dropsUndecodableItem(t *testing.T) {
	news := NewStore(nil)
	if news.receive(Item{Key: "spec", Version: 9, Body: []byte("no deflate"), Compressed: true}, nil) {
		t.Fatal("a broken body was taken")
	}
	if _, found := news.Get("spec"); found {
		t.Fatal("a broken body is held")
	}
}
