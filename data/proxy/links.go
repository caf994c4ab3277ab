package proxy

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// links are the connections of a front's clients. The zero value is ready.
type links struct {
	mu  sync.Mutex
	all map[*watched]bool
}

func (l *links) add(link *watched) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[*watched]bool{}
	}
	l.all[link] = true
}

func (l *links) remove(link *watched) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, link)
}

// list gives all connections.
func (l *links) list() []*watched {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*watched
	for link := range l.all {
		all = append(all, link)
	}
	return all
}

// Rest closes the connections on which nothing is asked. net/http would do that
// too, and also close one whose next request it is reading, which it then has
// answered into nothing.
func (f *Front) Rest() {
	for _, link := range f.links.list() {
		if link.timing.end() {
			_ = link.Close()
		}
	}
}

// Finish closes connections as their answers go out, until none is asked for one
// any more or the scope ends.
func (f *Front) Finish(ctx scope.Scope) {
	const pause = 20 * clock.Millisecond
	for f.asked() && ctx.Wait(pause) {
		f.Rest()
	}
}

func (f *Front) asked() bool {
	for _, link := range f.links.list() {
		if link.timing.asked() {
			return true
		}
	}
	return false
}
