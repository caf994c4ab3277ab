package router

import (
	"math/rand/v2"
	"net/http"

	"onyxwell/base/boot"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
)

func chance() float64 { return rand.Float64() }

// door remembers the server that visitors come through.
func (r *Router) door(server *http.Server) { r.server.Store(server) }

// leave goes in order: out of the directory at once, the door open until
// visitors have moved, then closed, and what runs is finished.
func (r *Router) leave(top scope.Scope) {
	grace := boot.Seconds(top.Boot.Bounds.GraceS)
	begin := top.Now()
	r.common.Table.Announce(func(self *cohort.Member) { self.Ready = false })
	r.common.Tell(top)
	r.front.Leave()
	server := r.server.Load()
	if server != nil {
		server.SetKeepAlivesEnabled(false)
	}
	// Visitors hold an answer of the directory for up to three times its time.
	moving := min(4*boot.Seconds(min(1, top.Boot.Bounds.TTLMaxS)), grace*45/100)
	top.Wait(moving)
	if server != nil {
		closing, release := top.WithLimit(grace*9/10 - top.Now().Since(begin))
		_ = server.Shutdown(closing)
		release()
		_ = server.Close()
	}
	r.common.Leave(top)
	top.Wait(r.pace.Probe.Answer)
}
