package gossip

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"onyxwell/base/compress"
	"onyxwell/control/membership"
)

// Store holds the newest item of each key. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]entry
	onUpdate func(item Item)
	// localUpdates queues the keys of items that this daemon created, remoteUpdates
	// those of items received in an exchange. Both are still to be pushed.
	localUpdates  *updateQueue
	remoteUpdates *updateQueue
}

// entry holds an item with its uncompressed body, and in its wire form, which may be
// compressed.
type entry struct {
	Item
	wire Item
}

// updateQueue is a set of keys with a channel that signals when keys were added. The
// store's mu guards the keys.
type updateQueue struct {
	wake chan struct{}
	keys map[string]bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{wake: make(chan struct{}, 1), keys: map[string]bool{}}
}

func (u *updateQueue) add(key string) {
	u.keys[key] = true
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// NewStore returns an empty store. The store calls onUpdate, which may be nil, with each
// item that it accepts, in increasing order of version for each key. It calls onUpdate
// with its lock held: onUpdate must neither call the store nor block.
func NewStore(onUpdate func(Item)) *Store {
	if onUpdate == nil {
		onUpdate = func(Item) {}
	}
	return &Store{
		items: map[string]entry{}, onUpdate: onUpdate,
		localUpdates: newUpdateQueue(), remoteUpdates: newUpdateQueue(),
	}
}

// Put stores an item that this daemon created and queues it to be pushed to all daemons
// that should hold it. It reports whether the item was newer than the known one.
func (s *Store) Put(item Item) bool {
	if !s.newer(item) {
		return false
	}
	if item.Compressed {
		return s.receive(item, s.localUpdates)
	}
	wire := item
	wire.Body, wire.Compressed = compress.Encode(item.Body)
	return s.apply(entry{Item: item, wire: wire}, s.localUpdates)
}

// receive stores an item in its wire form and reports whether it was newer than the
// known one. An item that can't be decompressed is dropped. The key is added to queue,
// which is nil for a pushed item, since the sender's push already covers the others.
func (s *Store) receive(item Item, queue *updateQueue) bool {
	if !s.newer(item) {
		return false
	}
	body, err := compress.Decode(item.Body, item.Compressed)
	if err != nil {
		return false
	}
	plain := item
	plain.Body, plain.Compressed = body, false
	return s.apply(entry{Item: plain, wire: item}, queue)
}

// newer reports whether an item is newer than the known one. It avoids compressing or
// decompressing items that are not; apply checks again under the lock.
func (s *Store) newer(item Item) bool {
	known, ok := s.Get(item.Key)
	return !ok || item.Version > known.Version
}

// apply stores an item if it is newer than the known one, and adds its key to the queue
// unless that is nil. It reports whether it stored the item.
func (s *Store) apply(item entry, queue *updateQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.items[item.Key]
	if ok && item.Version <= known.Version {
		return false
	}
	s.items[item.Key] = item
	s.onUpdate(item.Item)
	if queue != nil {
		queue.add(item.Key)
	}
	return true
}

// takePending empties a queue and returns the newest items of its keys in their wire
// form, ordered by key.
func (s *Store) takePending(queue *updateQueue) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key := range queue.keys {
		items = append(items, s.items[key].wire)
	}
	clear(queue.keys)
	slices.SortFunc(items, compareKeys)
	return items
}

func compareKeys(a, b Item) int { return cmp.Compare(a.Key, b.Key) }

// Get returns the item of a key, with its body uncompressed, and whether there is one.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.items[key]
	return known.Item, ok
}

// wireItem returns the item of a key in its wire form, and whether there is one.
func (s *Store) wireItem(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.items[key]
	return known.wire, ok
}

// Empty reports whether the store holds no items.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items) == 0
}

// WithPrefix returns the items whose keys begin with the prefix, ordered by key.
func (s *Store) WithPrefix(prefix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key, known := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, known.Item)
		}
	}
	slices.SortFunc(items, compareKeys)
	return items
}

// Prefixes of the keys whose items only some daemons hold. Items under BackbonePrefix are
// held only by the backbone. The other prefixes are followed by the name of the zone
// whose members alone hold the item.
const (
	BackbonePrefix = "view/"
	ZonePrefix     = "rest/"
	LocalPrefix    = "local/"
	LostPrefix     = "lost/"
)

var zonePrefixes = []string{ZonePrefix, LocalPrefix, LostPrefix}

// shouldHold reports whether a member should hold the item of a key.
func shouldHold(key string, member membership.Member) bool {
	for _, prefix := range zonePrefixes {
		if zone, ok := strings.CutPrefix(key, prefix); ok {
			return zone == string(member.Zone)
		}
	}
	return member.Backbone() || !strings.HasPrefix(key, BackbonePrefix)
}
