package router

import (
	"math/rand/v2"
	"net"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
)

func randomFloat() float64 { return rand.Float64() }

// clientEndpoint is what clients come through.
type clientEndpoint struct {
	listener net.Listener
	server   *http.Server
}

// becomeReady has the router be ready with an entrance; it does not where the router
// leaves already.
func (r *Router) becomeReady(opened *clientEndpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	r.endpoint = opened
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
}

// isDraining tells whether the router leaves.
func (r *Router) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// startDraining has the router not be ready any more; it gives the entrance that its
// clients came through, nil where they never did.
func (r *Router) startDraining() *clientEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = false })
	return r.endpoint
}

const (
	// acceptWhileDraining is after what time from its SIGTERM a leaving router turns new
	// requests away, though its door is open still: those that are sent later than
	// three seconds may not be cut when its time is over.
	acceptWhileDraining = 2750 * clock.Millisecond
	// listenerClosePercent and drainEndPercent are the parts of the grace, in hundredths, after
	// which the door closes and after which all that still runs is cut.
	listenerClosePercent = 45
	drainEndPercent      = 90
)

// drain goes in order: out of the directory at once, the door open until
// clients have moved, then closed, and what runs is finished.
func (r *Router) drain(top scope.Scope) {
	grace := settings.Seconds(top.Settings.Bounds.GraceS)
	begin := top.Now()
	opened := r.startDraining()
	r.daemon.GossipNow(top)
	r.proxy.Drain(begin.Add(acceptWhileDraining))
	r.proxy.CloseIdle()
	// Clients hold an answer of the directory for up to three times its time.
	moving := min(4*settings.Seconds(min(1, top.Settings.Bounds.TTLMaxS)), grace*listenerClosePercent/100)
	top.Wait(moving)
	if opened != nil {
		_ = opened.listener.Close()
		closing, release := top.WithTimeout(grace*drainEndPercent/100 - top.Now().Since(begin))
		r.proxy.CloseIdle()
		r.proxy.AwaitIdle(closing)
		release()
		_ = opened.server.Close()
	}
	r.daemon.Leave(top)
	top.Wait(r.timing.Probe.AckTimeout)
}
