package router

import (
	"context"
	"errors"
	"net"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/response"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/data/proxy"
)

// clientEndpoint is the listener and the server that clients connect to.
type clientEndpoint struct {
	listener net.Listener
	server   *http.Server
}

// becomeReady sets the endpoint and announces the router as ready, unless it is draining.
func (r *Router) becomeReady(endpoint *clientEndpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	r.endpoint = endpoint
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
}

// serveReadiness serves the platform's readiness check.
func (r *Router) serveReadiness(ctx context.Context) error {
	return r.daemon.ServeHTTP(ctx, r.settings.Listen["readiness"], http.HandlerFunc(r.handleReadiness))
}

func (r *Router) handleReadiness(w http.ResponseWriter, req *http.Request) {
	state := r.readIndex.State()
	switch {
	case req.URL.Path != "/ready":
		response.FromKind(errkind.UnknownCall, req.URL.Path).Send(w)
	case !r.daemon.Membership.Self().Ready:
		response.FromKind(errkind.NotReady, "the version is "+state).Send(w)
	case state != readindex.Confirmed:
		response.Raw(http.StatusOK, "text/plain", []byte(state+"\n")).Send(w)
	default:
		response.Empty(http.StatusOK).Send(w)
	}
}

// serveClients serves clients once the router has a list of runners and a configuration
// and the read-index gate is open: the configuration is confirmed as the newest, or could
// not be confirmed for too long.
func (r *Router) serveClients(ctx context.Context) error {
	listener, err := r.listen(ctx)
	if err != nil || listener == nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	server := proxy.NewServer(r.proxy)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener = proxy.NewListener(r.proxy, listener)
	r.becomeReady(&clientEndpoint{listener: listener, server: server})
	r.daemon.GossipNow(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !r.isDraining() {
		return err
	}
	<-ctx.Done()
	return nil
}

// listen waits until the router can serve and returns its listener, or nil if ctx is done
// before. The listener is opened immediately, so that the connections of clients that are
// slightly early wait in its backlog instead of being refused. If the router cannot serve
// within the connect timeout, the listener is closed and reopened when it can.
func (r *Router) listen(ctx context.Context) (net.Listener, error) {
	address := string(r.settings.Listen["front"])
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		_ = listener.Close()
		return nil, nil
	case <-r.readIndex.Ready():
		return listener, nil
	case <-r.clock.After(r.timing.ConnectTimeout):
		_ = listener.Close()
	}
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.readIndex.Ready():
		return net.Listen("tcp", address)
	}
}
