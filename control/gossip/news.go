// Package gossip passes news on: every daemon keeps the newest item of each
// key, tells a few others at once when it learns one, and mends gaps by
// comparing digests with a partner now and then.
package gossip

import (
	"sort"
	"strings"
	"sync"

	"onyxwell/base/compress"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Item is one piece of news; of one key the highest serial counts. Packed says
// that the body is compressed, as it travels between daemons.
type Item struct {
	Key    string     `avro:"Key"`
	Serial ids.Serial `avro:"Serial"`
	Body   []byte     `avro:"Body"`
	Packed bool       `avro:"Packed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Item) SchemaName() string { return "Item_23" }

// Mark names an item without its body.
type Mark struct {
	Key    string     `avro:"Key"`
	Serial ids.Serial `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (Mark) SchemaName() string { return "Mark_23" }

// News holds the newest item of each key.
type News struct {
	mu    sync.Mutex
	items map[string]held
	// fresh are the keys made or heard here that were not yet pushed on.
	fresh map[chan struct{}]map[string]bool
	// Fresh is told each item that is new here, in rising order of serial for
	// each key; set it before the first Put.
	Fresh func(item Item)
	own   chan struct{}
	heard chan struct{}
}

// NewNews makes an empty store of news.
func NewNews(fresh func(Item)) *News {
	if fresh == nil {
		fresh = func(Item) {}
	}
	made := &News{items: map[string]held{}, Fresh: fresh, own: make(chan struct{}, 1), heard: make(chan struct{}, 1)}
	made.fresh = map[chan struct{}]map[string]bool{made.own: {}, made.heard: {}}
	return made
}

// held is an item as it is read here and as it travels.
type held struct {
	Item
	wire Item
}

// Put takes an item that this daemon made; it tells whether it was newer than
// what was known.
func (n *News) Put(item Item) bool {
	if known, found := n.Get(item.Key); found && item.Serial <= known.Serial {
		return false
	}
	if item.Packed {
		return n.hear(item, n.own)
	}
	wire := item
	wire.Body, wire.Packed = compress.Pack(item.Body)
	return n.take(held{Item: item, wire: wire}, n.own)
}

// hear takes an item that came from another daemon. One that can't be unpacked
// is dropped. Only what came by comparing digests wakes this daemon: what was
// pushed is on its way to the others already.
func (n *News) hear(item Item, wake chan struct{}) bool {
	if known, found := n.Get(item.Key); found && item.Serial <= known.Serial {
		return false
	}
	plain := item
	body, err := compress.Unpack(item.Body, item.Packed)
	if err != nil {
		return false
	}
	plain.Body, plain.Packed = body, false
	return n.take(held{Item: plain, wire: item}, wake)
}

// take keeps an item and wakes those who pass on what was made or heard.
func (n *News) take(item held, wake chan struct{}) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.items[item.Key]
	if found && item.Serial <= known.Serial {
		return false
	}
	n.items[item.Key] = item
	n.Fresh(item.Item)
	if wake == nil {
		return true
	}
	n.fresh[wake][item.Key] = true
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// gather gives what is to be passed on, as it travels: of each key the newest.
func (n *News) gather(wake chan struct{}) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	var items []Item
	for key := range n.fresh[wake] {
		items = append(items, n.items[key].wire)
	}
	clear(n.fresh[wake])
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items
}

// Get gives the item of a key.
func (n *News) Get(key string) (Item, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	item, found := n.items[key]
	return item.Item, found
}

// travelling gives the item of a key as it travels.
func (n *News) travelling(key string) (Item, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	item, found := n.items[key]
	return item.wire, found
}

// Empty tells whether nothing is known yet.
func (n *News) Empty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.items) == 0
}

// Under gives the items whose keys begin so, in the order of their keys.
func (n *News) Under(prefix string) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	var items []Item
	for key, item := range n.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item.Item)
		}
	}
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items
}

// The keys of some items begin so: those that only the backbone holds, and those
// of one zone, whose name follows.
const (
	BackbonePrefix = "view/"
	ZonePrefix     = "rest/"
	LocalPrefix    = "local/"
	LostPrefix     = "lost/"
)

// zonePrefixes begin the keys of items that only the daemons of one zone hold.
var zonePrefixes = []string{ZonePrefix, LocalPrefix, LostPrefix}

// concerns tells whether a daemon should hold an item of that key.
func concerns(key string, who membership.Member) bool {
	for _, prefix := range zonePrefixes {
		if zone, own := strings.CutPrefix(key, prefix); own {
			return zone == string(who.Zone)
		}
	}
	return who.Backbone() || !strings.HasPrefix(key, BackbonePrefix)
}
