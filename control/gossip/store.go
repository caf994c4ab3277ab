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
	Key        string     `avro:"Key"`
	Version    ids.Serial `avro:"Serial"`
	Body       []byte     `avro:"Body"`
	Compressed bool       `avro:"Packed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Item) SchemaName() string { return "Item_23" }

// ItemVersion names an item without its body.
type ItemVersion struct {
	Key     string     `avro:"Key"`
	Version ids.Serial `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (ItemVersion) SchemaName() string { return "Mark_23" }

// Store holds the newest item of each key.
type Store struct {
	mu    sync.Mutex
	items map[string]entry
	// pending are the keys made or heard here that were not yet pushed on.
	pending map[chan struct{}]map[string]bool
	// OnUpdate is told each item that is new here, in rising order of serial for
	// each key; set it before the first Put.
	OnUpdate      func(item Item)
	localUpdates  chan struct{}
	remoteUpdates chan struct{}
}

// NewStore makes an empty store of news.
func NewStore(fresh func(Item)) *Store {
	if fresh == nil {
		fresh = func(Item) {}
	}
	made := &Store{items: map[string]entry{}, OnUpdate: fresh, localUpdates: make(chan struct{}, 1), remoteUpdates: make(chan struct{}, 1)}
	made.pending = map[chan struct{}]map[string]bool{made.localUpdates: {}, made.remoteUpdates: {}}
	return made
}

// entry is an item as it is read here and as it travels.
type entry struct {
	Item
	wire Item
}

// Put takes an item that this daemon made; it tells whether it was newer than
// what was known.
func (s *Store) Put(item Item) bool {
	if known, found := s.Get(item.Key); found && item.Version <= known.Version {
		return false
	}
	if item.Compressed {
		return s.receive(item, s.localUpdates)
	}
	wire := item
	wire.Body, wire.Compressed = compress.Encode(item.Body)
	return s.apply(entry{Item: item, wire: wire}, s.localUpdates)
}

// receive takes an item that came from another daemon. One that can't be unpacked
// is dropped. Only what came by comparing digests wakes this daemon: what was
// pushed is on its way to the others already.
func (s *Store) receive(item Item, wake chan struct{}) bool {
	if known, found := s.Get(item.Key); found && item.Version <= known.Version {
		return false
	}
	plain := item
	body, err := compress.Decode(item.Body, item.Compressed)
	if err != nil {
		return false
	}
	plain.Body, plain.Compressed = body, false
	return s.apply(entry{Item: plain, wire: item}, wake)
}

// apply keeps an item and wakes those who pass on what was made or heard.
func (s *Store) apply(item entry, wake chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.items[item.Key]
	if found && item.Version <= known.Version {
		return false
	}
	s.items[item.Key] = item
	s.OnUpdate(item.Item)
	if wake == nil {
		return true
	}
	s.pending[wake][item.Key] = true
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// takePending gives what is to be passed on, as it travels: of each key the newest.
func (s *Store) takePending(wake chan struct{}) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key := range s.pending[wake] {
		items = append(items, s.items[key].wire)
	}
	clear(s.pending[wake])
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items
}

// Get gives the item of a key.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item.Item, found
}

// wireItem gives the item of a key as it travels.
func (s *Store) wireItem(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item.wire, found
}

// Empty tells whether nothing is known yet.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items) == 0
}

// WithPrefix gives the items whose keys begin so, in the order of their keys.
func (s *Store) WithPrefix(prefix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key, item := range s.items {
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

// shouldHold tells whether a daemon should hold an item of that key.
func shouldHold(key string, who membership.Member) bool {
	for _, prefix := range zonePrefixes {
		if zone, own := strings.CutPrefix(key, prefix); own {
			return zone == string(who.Zone)
		}
	}
	return who.Backbone() || !strings.HasPrefix(key, BackbonePrefix)
}
