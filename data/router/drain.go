package router

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/control/directory"
	"onyxwell/control/membership"
)

const (
	// acceptWhileDraining is how long a draining router accepts requests on
	// connections that are open. Those that clients send more than three seconds
	// after the signal may not be cut when the grace period is over.
	acceptWhileDraining = 2750 * time.Millisecond
	// directoryTTLFactor is for how many lifetimes of a directory's response the
	// listener stays open: clients use one for up to three, and one is margin.
	directoryTTLFactor = 4
	// listenerClosePercent and drainEndPercent are the parts of the grace period
	// after which the listener closes, and after which requests still in flight are
	// cut.
	listenerClosePercent = 45
	drainEndPercent      = 90
)

// isDraining returns whether drain has begun.
func (r *Router) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// startDraining announces the router as not ready for good. It returns the
// endpoint that clients connect to, nil where there never was one.
func (r *Router) startDraining() *clientEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = false })
	return r.endpoint
}

// drain ends the router in order: out of the directory at once, the listener
// open until clients have moved, then closed, and requests in flight completed
// within the grace period.
func (r *Router) drain(ctx context.Context) {
	grace := settings.Seconds(r.settings.Bounds.GraceS)
	startedAt := r.clock.Now()
	endpoint := r.startDraining()
	r.daemon.GossipNow(ctx)
	r.proxy.Drain(startedAt.Add(acceptWhileDraining))
	r.proxy.CloseIdle()
	clientMoveTime := directoryTTLFactor * settings.Seconds(min(directory.MaxTTLSeconds, r.settings.Bounds.TTLMaxS))
	clock.Wait(ctx, r.clock, min(clientMoveTime, grace*listenerClosePercent/100))
	if endpoint != nil {
		r.closeEndpoint(ctx, endpoint, grace*drainEndPercent/100-r.clock.Now().Since(startedAt))
	}
	r.usage.end(ctx)
	r.daemon.Leave(ctx)
	clock.Wait(ctx, r.clock, r.timing.Probe.AckTimeout)
}

// closeEndpoint closes the listener, completes requests in flight within the
// time-out, and cuts the rest.
func (r *Router) closeEndpoint(ctx context.Context, endpoint *clientEndpoint, timeout time.Duration) {
	_ = endpoint.listener.Close()
	ctx, cancel := r.clock.WithTimeout(ctx, timeout)
	defer cancel()
	r.proxy.CloseIdle()
	r.proxy.AwaitIdle(ctx)
	_ = endpoint.server.Close()
}
