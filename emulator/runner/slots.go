package runner

import (
	"sort"
	"strconv"
	"strings"
	"sync"

	"onyxwell/base/scope"
)

// slots are the places of the requests that run, and the queue before them.
type slots struct {
	lock     sync.Mutex
	capacity int
	queue    int
	running  int
	handled  int
	waiting  []*place
}

type place struct {
	urgency int
	open    chan struct{}
}

// take waits for a place; the more urgent go in first. False says that there
// is no room, or that the scope ended first.
func (slots *slots) take(inner scope.Scope, urgency int) bool {
	slots.lock.Lock()
	if slots.running < slots.capacity {
		slots.running++
		slots.lock.Unlock()
		return true
	}
	if len(slots.waiting) >= slots.queue {
		slots.lock.Unlock()
		return false
	}
	mine := &place{urgency: urgency, open: make(chan struct{})}
	slots.waiting = append(slots.waiting, mine)
	sort.SliceStable(slots.waiting, func(left int, right int) bool { return slots.waiting[left].urgency < slots.waiting[right].urgency })
	slots.lock.Unlock()
	select {
	case <-mine.open:
		return true
	case <-inner.Done():
	}
	slots.lock.Lock()
	defer slots.lock.Unlock()
	for index, waiting := range slots.waiting {
		if waiting == mine {
			slots.waiting = append(slots.waiting[:index], slots.waiting[index+1:]...)
			return false
		}
	}
	// The place came at the same moment.
	slots.pass()
	return false
}

// give frees a place.
func (slots *slots) give() {
	slots.lock.Lock()
	defer slots.lock.Unlock()
	slots.handled++
	slots.pass()
}

func (slots *slots) pass() {
	if len(slots.waiting) == 0 {
		slots.running--
		return
	}
	close(slots.waiting[0].open)
	slots.waiting = slots.waiting[1:]
}

// load gives what runs and what waits.
func (slots *slots) load() (running int, waiting int, handled int) {
	slots.lock.Lock()
	defer slots.lock.Unlock()
	return slots.running, len(slots.waiting), slots.handled
}

// cache holds the parts of prompts that were read; the parts unused for longest
// give way.
type cache struct {
	lock  sync.Mutex
	limit float64
	total float64
	order []string
	kept  map[string]float64
}

// read notes a prompt as ID:TOKENS,ID:TOKENS and gives the tokens that had to be
// read: a part is kept only if every part before it is kept as well.
func (cache *cache) read(model string, prompt string) float64 {
	cache.lock.Lock()
	defer cache.lock.Unlock()
	unread, whole := 0.0, true
	for _, part := range strings.Split(prompt, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !found || err != nil || tokens < 0 {
			continue
		}
		key := model + " " + id
		_, kept := cache.kept[key]
		if whole = whole && kept; !whole {
			unread += tokens
		}
		cache.touch(key, tokens)
	}
	return unread
}

func (cache *cache) touch(key string, tokens float64) {
	if cache.kept == nil {
		cache.kept = map[string]float64{}
	}
	if old, kept := cache.kept[key]; kept {
		cache.total -= old
		for index, name := range cache.order {
			if name == key {
				cache.order = append(cache.order[:index], cache.order[index+1:]...)
				break
			}
		}
	}
	cache.kept[key] = tokens
	cache.total += tokens
	cache.order = append(cache.order, key)
	for cache.total > cache.limit && len(cache.order) > 0 {
		cache.total -= cache.kept[cache.order[0]]
		delete(cache.kept, cache.order[0])
		cache.order = cache.order[1:]
	}
}

func (cache *cache) used() float64 {
	cache.lock.Lock()
	defer cache.lock.Unlock()
	return cache.total
}
