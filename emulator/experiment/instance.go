package experiment

import (
	"context"
	"net"
	"net/http"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/discovery"
)

const (
	// localShutdownTimeout bounds the graceful shutdown of a router in this process.
	localShutdownTimeout = 3 * time.Second
	// replaceInterval is the pause between two attempts to listen at the address of a
	// router that is shutting down.
	replaceInterval = 10 * time.Millisecond
	// crashEvery is which restart of how many is a crash.
	crashEvery = 3
)

// instance is a router that serves at an address, in this process or its own.
type instance interface {
	Address() string
	// SetEndpoints requires experiment.mu.
	SetEndpoints(list discovery.List)
	// Shutdown ends the router, gracefully or as a crash would.
	Shutdown(ctx context.Context, graceful bool)
	// Close ends the router at once. One in a process of its own has exited when Close
	// returns.
	Close()
}

// localInstance is a router in this process.
type localInstance struct {
	address string
	router  Router
	server  *http.Server
	clock   clock.Clock
	cancel  context.CancelFunc // of the router's context
}

func (l *localInstance) Address() string { return l.address }

func (l *localInstance) SetEndpoints(list discovery.List) { l.router.SetEndpoints(list) }

func (l *localInstance) Shutdown(ctx context.Context, graceful bool) {
	defer l.cancel()
	if graceful {
		if l.router.Drain != nil {
			l.router.Drain()
		}
		l.server.SetKeepAlivesEnabled(false)
		ctx, cancel := l.clock.WithTimeout(ctx, localShutdownTimeout)
		defer cancel()
		_ = l.server.Shutdown(ctx)
	}
	_ = l.server.Close()
}

func (l *localInstance) Close() { _ = l.server.Close() }

// startInstance starts a router at an address.
func (e *experiment) startInstance(ctx context.Context, address string, endpoints discovery.List) (instance, error) {
	if len(e.options.RouterProgram) > 0 {
		return e.startProcess(address, endpoints)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	newRouter := e.options.NewRouter
	if newRouter == nil {
		newRouter = NewDataPlane
	}
	routerCtx, cancel := context.WithCancel(ctx)
	router := newRouter(routerCtx, configDocument(), e.options)
	router.SetEndpoints(endpoints)
	return &localInstance{
		address: listener.Addr().String(), router: router, server: router.serve(listener, e.countInFlight), clock: e.clock, cancel: cancel,
	}, nil
}

// publish gives all routers the endpoints.
func (e *experiment) publish(endpoints discovery.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpoints = endpoints
	for _, i := range e.instances {
		i.SetEndpoints(endpoints)
	}
}

// instanceInTurn returns the router whose turn it is, and its index.
func (e *experiment) instanceInTurn(turn int) (instance, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	index := turn % len(e.instances)
	return e.instances[index], index
}

// restartLoop restarts one router after another while requests are in flight. The
// new one begins to listen as soon as the old one has closed its listener.
func (e *experiment) restartLoop(ctx context.Context) {
	for turn := 0; clock.Wait(ctx, e.clock, e.options.RestartInterval); turn++ {
		old, index := e.instanceInTurn(turn)
		graceful := turn%crashEvery != crashEvery-1
		e.background.Go(func() { old.Shutdown(ctx, graceful) })
		for !e.replaceInstance(ctx, index, old.Address()) && clock.Wait(ctx, e.clock, replaceInterval) {
		}
	}
}

// replaceInstance starts a router at the address of an old one. It returns false
// where the address is still in use.
func (e *experiment) replaceInstance(ctx context.Context, index int, address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return true
	}
	started, err := e.startInstance(ctx, address, e.endpoints)
	if err != nil {
		return false
	}
	e.instances[index] = started
	e.restartCount.Add(1)
	return true
}
