// Package spread passes news on: every daemon keeps the newest item of each
// key, tells a few others at once when it learns one, and mends gaps by
// comparing digests with a partner now and then.
package spread

import (
	"sort"
	"sync"

	"onyxwell/base/ids"
)

// Item is one piece of news; of one key the highest serial counts.
type Item struct {
	Key    string
	Serial ids.Serial
	Body   []byte
}

// Mark names an item without its body.
type Mark struct {
	Key    string
	Serial ids.Serial
}

// News holds the newest item of each key.
type News struct {
	lock  sync.Mutex
	items map[string]Item
	// Fresh is told each item that is new here, in rising order of serial for
	// each key; set it before the first Put.
	Fresh func(item Item)
	own   chan struct{}
	heard chan struct{}
}

// NewNews makes an empty store of news.
//
// Example:
//
//	news := spread.NewNews(func(item spread.Item) { picture.Absorb(item) })
func NewNews(fresh func(Item)) *News {
	if fresh == nil {
		fresh = func(Item) {}
	}
	return &News{items: map[string]Item{}, Fresh: fresh, own: make(chan struct{}, 1), heard: make(chan struct{}, 1)}
}

// Put takes an item that this daemon made; it tells whether it was newer than
// what was known.
//
// Example:
//
//	news.Put(spread.Item{Key: "spec", Serial: 7, Body: document})
func (news *News) Put(item Item) bool { return news.take(item, news.own) }

// take keeps an item and wakes those who pass on what was made or heard.
func (news *News) take(item Item, wake chan struct{}) bool {
	news.lock.Lock()
	defer news.lock.Unlock()
	known, found := news.items[item.Key]
	if found && item.Serial <= known.Serial {
		return false
	}
	news.items[item.Key] = item
	news.Fresh(item)
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// Get gives the item of a key.
//
// Example:
//
//	item, found := news.Get("plan")
func (news *News) Get(key string) (Item, bool) {
	news.lock.Lock()
	defer news.lock.Unlock()
	item, found := news.items[key]
	return item, found
}

// Marks names all items.
//
// Example:
//
//	digest := news.Marks()
func (news *News) Marks() []Mark {
	news.lock.Lock()
	defer news.lock.Unlock()
	var marks []Mark
	for _, item := range news.items {
		marks = append(marks, Mark{Key: item.Key, Serial: item.Serial})
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left].Key < marks[right].Key })
	return marks
}

// Compare gives the items that are newer here than the marks say, and the keys
// of those that are newer there.
//
// Example:
//
//	items, wanted := news.Compare(asked.Marks)
func (news *News) Compare(marks []Mark) (items []Item, wanted []string) {
	news.lock.Lock()
	defer news.lock.Unlock()
	theirs := map[string]ids.Serial{}
	for _, mark := range marks {
		theirs[mark.Key] = mark.Serial
		if own, found := news.items[mark.Key]; !found || own.Serial < mark.Serial {
			wanted = append(wanted, mark.Key)
		}
	}
	for key, item := range news.items {
		if serial, found := theirs[key]; !found || serial < item.Serial {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items, wanted
}
