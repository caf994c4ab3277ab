package gossip

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// cluster simulates many daemons that call each other directly. Each zone has one daemon
// that serves the control API and a given number of routers.
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

func newCluster(regions int, zonesPerRegion int, routers int) *cluster {
	c := &cluster{
		clock: clock.NewFake(), gossipers: map[ids.Address]*Gossiper{}, dead: map[ids.Address]bool{},
		random: rand.New(rand.NewPCG(7, 11)), messagesSent: map[ids.Address]int{}, bytesSent: map[ids.Address]int{},
	}
	c.scope = scope.New(scope.Options{Clock: c.clock})
	zones := map[ids.Zone]ids.Region{}
	for region := range regions {
		for zone := range zonesPerRegion {
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
			c.add(self, zones)
		}
	}
	c.shareMembership()
	return c
}

func (c *cluster) add(self membership.Member, zones map[ids.Zone]ids.Region) {
	c.gossipers[self.Address] = &Gossiper{
		Clock: c.clock,
		Store: NewStore(nil), Table: membership.NewTable(c.clock, self), Zones: zones,
		RelaysPerZone: relaysPerZone, Fanout: 8, Interval: time.Second, Timeout: time.Second,
		inline: true, peers: clusterPeers{cluster: c, self: self.Address},
	}
	c.addresses = append(c.addresses, self.Address)
}

// clusterPeers sends the messages of one daemon to the others of its cluster. It supports
// only pushes: any other message panics.
type clusterPeers struct {
	peers
	cluster *cluster
	self    ids.Address
}

// Push implements peers.
func (cp clusterPeers) Push(ctx context.Context, address ids.Address, req PushRequest) error {
	c := cp.cluster
	c.messagesSent[cp.self]++
	for _, item := range req.Items {
		c.bytesSent[cp.self] += len(item.Body)
	}
	if c.dead[address] || c.dead[cp.self] || c.random.Float64() < c.lossRate {
		return errors.New("push lost")
	}
	c.gossipers[address].handlePush(ctx, req)
	return nil
}

// shareMembership makes each daemon know the members that it should track, including
// which of them are relays.
func (c *cluster) shareMembership() {
	var all []membership.Member
	for _, address := range c.addresses {
		all = append(all, c.gossipers[address].Table.Self())
	}
	for _, gossiper := range c.gossipers {
		gossiper.Table.Merge(all)
	}
	c.clock.Advance(time.Second)
	all = nil
	for _, address := range c.addresses {
		c.gossipers[address].Table.UpdateRelayRole(relaysPerZone, 0)
		all = append(all, c.gossipers[address].Table.Self())
	}
	for _, gossiper := range c.gossipers {
		gossiper.Table.Merge(all)
	}
}

func (c *cluster) publish(origin ids.Address, item Item) {
	gossiper := c.gossipers[origin]
	gossiper.Store.Put(item)
	gossiper.Push(c.scope, gossiper.Store.takePending(gossiper.Store.localUpdates), gossiper.allTargets())
}

func (c *cluster) missing(key string) []ids.Address {
	var missing []ids.Address
	for _, address := range c.addresses {
		if _, ok := c.gossipers[address].Store.Get(key); !ok && !c.dead[address] {
			missing = append(missing, address)
		}
	}
	return missing
}

// runAntiEntropy lets every daemon exchange items with one partner.
func (c *cluster) runAntiEntropy() {
	for _, address := range c.addresses {
		from := c.gossipers[address]
		partner, ok := from.choosePartner()
		if !ok || c.dead[address] || c.dead[partner] || c.gossipers[partner] == nil {
			continue
		}
		to := c.gossipers[partner]
		items, wantedKeys := to.Store.Diff(from.Store.Versions(from.commonScope(to.Table.Self())), to.commonScope(from.Table.Self()))
		from.receiveAll(items)
		for _, key := range wantedKeys {
			item, _ := from.Store.wireItem(key)
			to.receiveAll([]Item{item})
		}
	}
}

// TestPush_reachesEveryMemberOnce pushes one item through clusters of increasing size: it
// must reach every daemon exactly once, no daemon may send more messages as the cluster
// grows, and each may know only its own zone and a few backbone members of the others.
func TestPush_reachesEveryMemberOnce(t *testing.T) {
	for _, size := range []struct{ regions, zones, routers int }{{3, 2, 15}, {6, 2, 15}, {12, 2, 15}, {27, 3, 14}} {
		c := newCluster(size.regions, size.zones, size.routers)
		c.publish(c.addresses[0], Item{Key: "spec", Version: 1, Body: make([]byte, 100)})
		if missing := c.missing("spec"); len(missing) > 0 {
			t.Errorf("%v: the push missed %d of %d daemons", size, len(missing), len(c.addresses))
		}
		messages, most := 0, 0
		for _, count := range c.messagesSent {
			messages, most = messages+count, max(most, count)
		}
		if messages != len(c.addresses)-1 {
			t.Errorf("%v: %d messages for %d daemons, want one per daemon but the origin", size, messages, len(c.addresses))
		}
		if most > 3*8 {
			t.Errorf("%v: one daemon sent %d messages, want at most 24", size, most)
		}
		for _, address := range c.addresses {
			table := c.gossipers[address].Table
			if known := len(table.Members()); known > size.routers+1+2*size.regions*size.zones+2 {
				t.Fatalf("%v: %s knows %d members", size, address, known)
			}
		}
	}
}

// TestAntiEntropy_repairsLostPushes drops a fifth of all pushes and takes down both relays
// of a zone: exchanges must deliver the items that the pushes lost.
func TestAntiEntropy_repairsLostPushes(t *testing.T) {
	c := newCluster(3, 2, 15)
	other := ids.Zone("r1-z1")
	for _, relay := range c.gossipers[ids.Address(other+"-1:1")].Table.Relays(other, relaysPerZone) {
		c.dead[relay.Address] = true
	}
	c.lossRate = 0.2
	c.publish(c.addresses[0], Item{Key: "spec", Version: 1, Body: make([]byte, 5000)})
	rounds := 0
	for ; len(c.missing("spec")) > 0; rounds++ {
		if rounds > 40 {
			t.Fatalf("%d daemons still lack the item", len(c.missing("spec")))
		}
		c.runAntiEntropy()
	}
	t.Logf("repaired after %d rounds of exchanges", rounds)
	item, _ := c.gossipers[c.addresses[len(c.addresses)-1]].Store.Get("spec")
	if len(item.Body) != 5000 {
		t.Fatalf("the body is %d bytes long, want 5000", len(item.Body))
	}
}

// TestPush_keepsBackboneItemsInBackbone pushes an item that only the backbone should hold.
func TestPush_keepsBackboneItemsInBackbone(t *testing.T) {
	c := newCluster(3, 2, 15)
	c.publish(c.addresses[0], Item{Key: BackbonePrefix + "z", Version: 1})
	for _, address := range c.addresses {
		_, ok := c.gossipers[address].Store.Get(BackbonePrefix + "z")
		if backbone := c.gossipers[address].Table.Self().Backbone(); ok != backbone && address != c.addresses[0] {
			t.Errorf("%s: holds the item %v, in the backbone %v", address, ok, backbone)
		}
	}
}

// TestPush_keepsZoneItemsInZone pushes an item that only one zone should hold.
func TestPush_keepsZoneItemsInZone(t *testing.T) {
	c := newCluster(3, 2, 15)
	zone := c.gossipers[c.addresses[0]].Table.Self().Zone
	c.publish(c.addresses[0], Item{Key: ZonePrefix + string(zone), Version: 1})
	c.runAntiEntropy()
	for _, address := range c.addresses {
		_, ok := c.gossipers[address].Store.Get(ZonePrefix + string(zone))
		if own := c.gossipers[address].Table.Self().Zone == zone; ok != own {
			t.Errorf("%s: holds the item %v, in the zone %v", address, ok, own)
		}
	}
}

// TestStore_dropsUndecodableItem receives an item that can't be decompressed.
func TestStore_dropsUndecodableItem(t *testing.T) {
	store := NewStore(nil)
	if store.receive(Item{Key: "spec", Version: 9, Body: []byte("no deflate"), Compressed: true}, nil) {
		t.Fatal("an undecodable item was accepted")
	}
	if _, ok := store.Get("spec"); ok {
		t.Fatal("an undecodable item is stored")
	}
}
