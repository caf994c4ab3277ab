package experiment

import (
	"context"
	"net"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// instance is the address of a router and whoever serves there now.
type instance struct {
	address string
	router  Router
	server  *http.Server
	cancel  func()
	// process is there where the router has a process of its own.
	process *process
}

// startInstance has a new router serve at an address; an empty one draws a port.
func (e *experiment) startInstance(ctx scope.Scope, address string, list discovery.List) (*instance, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	if len(e.options.RouterProgram) > 0 {
		return e.startProcess(address, list)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	own, end := ctx.WithCancel()
	build := e.options.NewRouter
	if build == nil {
		build = NewDataPlane
	}
	router := build(own, configDocument(), e.options)
	router.SetEndpoints(list)
	server := router.serve(listener, e.countInFlight)
	return &instance{address: listener.Addr().String(), router: router, server: server, cancel: end}, nil
}

// shutdown ends a router in order, or at once as a crash would.
func (i *instance) shutdown(ctx scope.Scope, orderly bool) {
	defer i.cancel()
	if i.process != nil {
		i.process.shutdown(ctx, orderly)
		return
	}
	if orderly {
		if i.router.Drain != nil {
			i.router.Drain()
		}
		i.server.SetKeepAlivesEnabled(false)
		closing, release := ctx.WithTimeout(3 * clock.Second)
		defer release()
		_ = i.server.Shutdown(context.Context(closing))
	}
	_ = i.server.Close()
}

// publish gives all routers a list.
func (e *experiment) publish(list discovery.List) {
	e.instancesMu.Lock()
	defer e.instancesMu.Unlock()
	e.endpoints = list
	for _, door := range e.instances {
		door.router.SetEndpoints(list)
	}
}

// restartLoop has one router after another leave, in order or at once, while
// requests are under way; another takes its address.
func (e *experiment) restartLoop(ctx scope.Scope) {
	for turn := 0; ctx.Wait(e.options.RestartInterval); turn++ {
		index := turn % len(e.instances)
		e.instancesMu.Lock()
		old := e.instances[index]
		e.instancesMu.Unlock()
		go old.shutdown(ctx, turn%3 != 2)
		for !e.replaceInstance(ctx, index, old.address) && ctx.Wait(10*clock.Millisecond) {
		}
	}
}

// replaceInstance tries to have a new router serve at the address of an old one.
func (e *experiment) replaceInstance(ctx scope.Scope, index int, address string) bool {
	e.instancesMu.Lock()
	defer e.instancesMu.Unlock()
	if e.stopped {
		return true
	}
	fresh, err := e.startInstance(ctx, address, e.endpoints)
	if err != nil {
		return false
	}
	e.instances[index] = fresh
	e.restartCount.Add(1)
	return true
}
