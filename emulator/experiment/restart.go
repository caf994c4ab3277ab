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
func (e *experiment) open(ctx scope.Scope, address string, list discovery.List) (*door, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	if len(e.options.Program) > 0 {
		return e.spawn(address, list)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	own, end := ctx.WithCancel()
	build := e.options.Build
	if build == nil {
		build = Real
	}
	router := build(own, document(), e.options)
	router.List(list)
	server := router.serve(listener, e.counted)
	return &door{address: listener.Addr().String(), router: router, server: server, end: end}, nil
}

// leave ends a router in order, or at once as a crash would.
func (d *door) leave(ctx scope.Scope, orderly bool) {
	defer d.end()
	if d.process != nil {
		d.process.leave(ctx, orderly)
		return
	}
	if orderly {
		if d.router.Leave != nil {
			d.router.Leave()
		}
		d.server.SetKeepAlivesEnabled(false)
		closing, release := ctx.WithTimeout(3 * clock.Second)
		defer release()
		_ = d.server.Shutdown(context.Context(closing))
	}
	_ = d.server.Close()
}

// tell gives all routers a list.
func (e *experiment) tell(list discovery.List) {
	e.doorLock.Lock()
	defer e.doorLock.Unlock()
	e.newest = list
	for _, door := range e.doors {
		door.router.List(list)
	}
}

// restarts has one router after another leave, in order or at once, while
// requests are under way; another takes its address.
func (e *experiment) restarts(ctx scope.Scope) {
	for turn := 0; ctx.Wait(e.options.Restart); turn++ {
		index := turn % len(e.doors)
		e.doorLock.Lock()
		old := e.doors[index]
		e.doorLock.Unlock()
		go old.leave(ctx, turn%3 != 2)
		for !e.replace(ctx, index, old.address) && ctx.Wait(10*clock.Millisecond) {
		}
	}
}

// replace tries to have a new router serve at the address of an old one.
func (e *experiment) replace(ctx scope.Scope, index int, address string) bool {
	e.doorLock.Lock()
	defer e.doorLock.Unlock()
	if e.stopped {
		return true
	}
	fresh, err := e.open(ctx, address, e.newest)
	if err != nil {
		return false
	}
	e.doors[index] = fresh
	e.restarted.Add(1)
	return true
}
