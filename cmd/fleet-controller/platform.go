package main

import (
	"net/http"

	"onyxwell/base/call"
	"onyxwell/control/cohort"
	"onyxwell/control/daemon"
)

func platformClient(pace daemon.Pace) *http.Client {
	return call.Client(call.Pooling{
		Dialing: call.Dialing{Limit: pace.Connect, Silence: pace.Silence}, Idle: 4 * pace.Silence, PerHost: 1,
	})
}

func readyNow(self *cohort.Member) { self.Ready = true }
