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
	// acceptWhileDraining is the time for which a draining router accepts new requests.
	// A request that a client sends more than 3 seconds after the signal must not be cut
	// at the end of the grace period, so it must not be accepted.
	acceptWhileDraining = 2750 * time.Millisecond
	// directoryTTLFactor is the time for which the listener stays open, in TTLs of a
	// directory response. Clients use a response for up to 3 TTLs; 1 more is margin.
	directoryTTLFactor = 4
	// listenerClosePercent is the percentage of the grace period after which the listener
	// is closed at the latest, and drainEndPercent that after which the remaining requests
	// in flight are cut.
	listenerClosePercent = 45
	drainEndPercent      = 90
)

// isDraining reports whether draining has begun.
func (r *Router) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// startDraining permanently marks the router as not ready. It returns the endpoint that
// clients connect to, or nil if the router never was ready.
func (r *Router) startDraining() *clientEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = false })
	return r.endpoint
}

// drain shuts the router down gracefully. It removes the router from the directory
// immediately, keeps the listener open until clients have moved to other routers, then
// closes it and completes the requests in flight within the grace period.
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

// closeEndpoint closes the listener, waits for the requests in flight until the timeout,
// and cuts the rest.
func (r *Router) closeEndpoint(ctx context.Context, endpoint *clientEndpoint, timeout time.Duration) {
	_ = endpoint.listener.Close()
	ctx, cancel := r.clock.WithTimeout(ctx, timeout)
	defer cancel()
	r.proxy.CloseIdle()
	r.proxy.AwaitIdle(ctx)
	_ = endpoint.server.Close()
}
