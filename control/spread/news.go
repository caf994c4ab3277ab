// Package spread passes news on: every daemon keeps the newest item of each
// key, tells a few others at once when it learns one, and mends gaps by
// comparing digests with a partner now and then.
package spread

import (
	"sort"
	"strings"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/base/pack"
	"onyxwell/control/cohort"
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
	lock  sync.Mutex
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
func (news *News) Put(item Item) bool {
	if known, found := news.Get(item.Key); found && item.Serial <= known.Serial {
		return false
	}
	if item.Packed {
		return news.hear(item, news.own)
	}
	wire := item
	wire.Body, wire.Packed = pack.Pack(item.Body)
	return news.take(held{Item: item, wire: wire}, news.own)
}

// hear takes an item that came from another daemon. One that can't be unpacked
// is dropped. Only what came by comparing digests wakes this daemon: what was
// pushed is on its way to the others already.
func (news *News) hear(item Item, wake chan struct{}) bool {
	if known, found := news.Get(item.Key); found && item.Serial <= known.Serial {
		return false
	}
	plain := item
	body, err := pack.Unpack(item.Body, item.Packed)
	if err != nil {
		return false
	}
	plain.Body, plain.Packed = body, false
	return news.take(held{Item: plain, wire: item}, wake)
}

// take keeps an item and wakes those who pass on what was made or heard.
func (news *News) take(item held, wake chan struct{}) bool {
	news.lock.Lock()
	defer news.lock.Unlock()
	known, found := news.items[item.Key]
	if found && item.Serial <= known.Serial {
		return false
	}
	news.items[item.Key] = item
	news.Fresh(item.Item)
	if wake == nil {
		return true
	}
	news.fresh[wake][item.Key] = true
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// gather gives what is to be passed on, as it travels: of each key the newest.
func (news *News) gather(wake chan struct{}) []Item {
	news.lock.Lock()
	defer news.lock.Unlock()
	var items []Item
	for key := range news.fresh[wake] {
		items = append(items, news.items[key].wire)
	}
	clear(news.fresh[wake])
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items
}

// Get gives the item of a key.
func (news *News) Get(key string) (Item, bool) {
	news.lock.Lock()
	defer news.lock.Unlock()
	item, found := news.items[key]
	return item.Item, found
}

// travelling gives the item of a key as it travels.
func (news *News) travelling(key string) (Item, bool) {
	news.lock.Lock()
	defer news.lock.Unlock()
	item, found := news.items[key]
	return item.wire, found
}

// Empty tells whether nothing is known yet.
func (news *News) Empty() bool {
	news.lock.Lock()
	defer news.lock.Unlock()
	return len(news.items) == 0
}

// Under gives the items whose keys begin so, in the order of their keys.
func (news *News) Under(prefix string) []Item {
	news.lock.Lock()
	defer news.lock.Unlock()
	var items []Item
	for key, item := range news.items {
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
func concerns(key string, who cohort.Member) bool {
	for _, prefix := range zonePrefixes {
		if zone, own := strings.CutPrefix(key, prefix); own {
			return zone == string(who.Zone)
		}
	}
	return who.Backbone() || !strings.HasPrefix(key, BackbonePrefix)
}
