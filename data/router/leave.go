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

func chance() float64 { return rand.Float64() }

// entrance is what clients come through.
type entrance struct {
	listener net.Listener
	server   *http.Server
}

// open has the router be ready with an entrance; it does not where the router
// leaves already.
func (r *Router) open(opened *entrance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	r.entrance = opened
	r.common.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
}

// leaves tells whether the router leaves.
func (r *Router) leaves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// withdraw has the router not be ready any more; it gives the entrance that its
// clients came through, nil where they never did.
func (r *Router) withdraw() *entrance {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.common.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = false })
	return r.entrance
}

const (
	// lastRequest is after what time from its SIGTERM a leaving router turns new
	// requests away, though its door is open still: those that are sent later than
	// three seconds may not be cut when its time is over.
	lastRequest = 2750 * clock.Millisecond
	// movingPart and closingPart are the parts of the grace, in hundredths, after
	// which the door closes and after which all that still runs is cut.
	movingPart  = 45
	closingPart = 90
)

// leave goes in order: out of the directory at once, the door open until
// clients have moved, then closed, and what runs is finished.
func (r *Router) leave(top scope.Scope) {
	grace := settings.Seconds(top.Settings.Bounds.GraceS)
	begin := top.Now()
	opened := r.withdraw()
	r.common.GossipNow(top)
	r.front.Leave(begin.Add(lastRequest))
	r.front.Rest()
	// Clients hold an answer of the directory for up to three times its time.
	moving := min(4*settings.Seconds(min(1, top.Settings.Bounds.TTLMaxS)), grace*movingPart/100)
	top.Wait(moving)
	if opened != nil {
		_ = opened.listener.Close()
		closing, release := top.WithTimeout(grace*closingPart/100 - top.Now().Since(begin))
		r.front.Rest()
		r.front.Finish(closing)
		release()
		_ = opened.server.Close()
	}
	r.common.Leave(top)
	top.Wait(r.pace.Probe.AckTimeout)
}
