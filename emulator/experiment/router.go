package experiment

import (
	"context"
	"net"
	"net/http"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/control/discovery"
)

// Router is a router under test.
type Router struct {
	Handler http.Handler
	// SetEndpoints replaces the runners that the router knows.
	SetEndpoints func(list discovery.List)
	// Server serves the handler; nil is a plain server. WrapListener wraps the listener
	// before the server has it; nil leaves it as it is.
	Server       *http.Server
	WrapListener func(listener net.Listener) net.Listener
	// Drain begins a graceful shutdown: responses ask clients to close their
	// connections. It may be nil.
	Drain func()
	// Reload takes over the configuration again. Only Serve calls it, on real routers.
	Reload func()
}

// RouterFactory returns a router that knows a configuration and works until the
// context ends.
type RouterFactory func(ctx context.Context, document []byte, options Options) Router

const (
	plainHeaderTimeout = 3 * time.Second
	plainIdleTimeout   = 15 * time.Second
)

// serve serves the router at a listener, with its handler wrapped, until the server
// that it returns is closed.
func (r Router) serve(listener net.Listener, wrap func(http.Handler) http.Handler) *http.Server {
	server := r.Server
	if server == nil {
		server = httpcall.NewServer(r.Handler, plainHeaderTimeout, plainIdleTimeout)
	}
	server.Handler = wrap(server.Handler)
	if r.WrapListener != nil {
		listener = r.WrapListener(listener)
	}
	go func() { _ = server.Serve(listener) }()
	return server
}
