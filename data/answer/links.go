package answer

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// links are the connections of a front's clients. The zero value is ready.
type links struct {
	lock sync.Mutex
	all  map[*watched]bool
}

func (links *links) add(link *watched) {
	links.lock.Lock()
	defer links.lock.Unlock()
	if links.all == nil {
		links.all = map[*watched]bool{}
	}
	links.all[link] = true
}

func (links *links) remove(link *watched) {
	links.lock.Lock()
	defer links.lock.Unlock()
	delete(links.all, link)
}

// list gives all connections.
func (links *links) list() []*watched {
	links.lock.Lock()
	defer links.lock.Unlock()
	var all []*watched
	for link := range links.all {
		all = append(all, link)
	}
	return all
}

// Rest closes the connections on which nothing is asked. net/http would do that
// too, and also close one whose next request it is reading, which it then has
// answered into nothing.
func (front *Front) Rest() {
	for _, link := range front.links.list() {
		if link.timing.end() {
			_ = link.Close()
		}
	}
}

// Finish closes connections as their answers go out, until none is asked for one
// any more or the scope ends.
func (front *Front) Finish(inner scope.Scope) {
	const pause = 20 * clock.Millisecond
	for front.asked() && inner.Wait(pause) {
		front.Rest()
	}
}

func (front *Front) asked() bool {
	for _, link := range front.links.list() {
		if link.timing.asked() {
			return true
		}
	}
	return false
}
