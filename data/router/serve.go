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

// clientEndpoint is what clients connect to.
type clientEndpoint struct {
	listener net.Listener
	server   *http.Server
}

// becomeReady announces the router as ready with an endpoint, unless it drains.
func (r *Router) becomeReady(endpoint *clientEndpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	r.endpoint = endpoint
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
}

// serveReadiness serves the readiness check of the platform.
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

// serveClients serves clients once the router has a configuration that is
// confirmed as the newest, and the runners.
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

// listen waits until the router can serve and returns its listener, or nil where
// the context ends before. The listener opens at once, so that clients that come
// a little early wait in its backlog rather than being refused; where that takes
// longer than they wait, it closes until the router can serve.
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
