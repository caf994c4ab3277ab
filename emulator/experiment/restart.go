package experiment

import (
	"context"
	"net"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// door is the address of a router and whoever serves there now.
type door struct {
	address string
	router  Router
	server  *http.Server
	end     func()
	// process is there where the router has a process of its own.
	process *process
}

// open has a new router serve at an address; an empty one draws a port.
func (made *experiment) open(inner scope.Scope, address string, list discovery.List) (*door, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	if len(made.options.Program) > 0 {
		return made.spawn(address, list)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	own, end := inner.WithEnd()
	build := made.options.Build
	if build == nil {
		build = Real
	}
	router := build(own, document(), made.options)
	router.List(list)
	server := router.serve(listener, made.counted)
	return &door{address: listener.Addr().String(), router: router, server: server, end: end}, nil
}

// leave ends a router in order, or at once as a crash would.
func (door *door) leave(inner scope.Scope, orderly bool) {
	defer door.end()
	if door.process != nil {
		door.process.leave(inner, orderly)
		return
	}
	if orderly {
		if door.router.Leave != nil {
			door.router.Leave()
		}
		door.server.SetKeepAlivesEnabled(false)
		closing, release := inner.WithLimit(3 * clock.Second)
		defer release()
		_ = door.server.Shutdown(context.Context(closing))
	}
	_ = door.server.Close()
}

// tell gives all routers a list.
func (made *experiment) tell(list discovery.List) {
	made.doorLock.Lock()
	defer made.doorLock.Unlock()
	made.newest = list
	for _, door := range made.doors {
		door.router.List(list)
	}
}

// restarts has one router after another leave, in order or at once, while
// requests are under way; another takes its address.
func (made *experiment) restarts(inner scope.Scope) {
	for turn := 0; inner.Wait(made.options.Restart); turn++ {
		index := turn % len(made.doors)
		made.doorLock.Lock()
		old := made.doors[index]
		made.doorLock.Unlock()
		go old.leave(inner, turn%3 != 2)
		for !made.replace(inner, index, old.address) && inner.Wait(10*clock.Millisecond) {
		}
	}
}

// replace tries to have a new router serve at the address of an old one.
func (made *experiment) replace(inner scope.Scope, index int, address string) bool {
	made.doorLock.Lock()
	defer made.doorLock.Unlock()
	if made.stopped {
		return true
	}
	fresh, err := made.open(inner, address, made.newest)
	if err != nil {
		return false
	}
	made.doors[index] = fresh
	made.restarted.Add(1)
	return true
}
