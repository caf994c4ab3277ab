package router

import (
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// healthRequest asks a runner whether it is well.
type healthRequest struct{ path string }

// Outgoing makes the call.
func (h healthRequest) Outgoing() httpcall.Outgoing {
	return httpcall.Outgoing{Method: http.MethodGet, Path: h.path}
}

// healthReport is what a runner said of itself.
type healthReport struct {
	runnerID   ids.RunnerID
	warmupLeft clock.Span
	unhealthy  bool
}

// Hear takes a well runner, or one that is only full, for alive.
func (h *healthReport) Hear(heard httpcall.RawResponse) error {
	full := heard.Status == http.StatusServiceUnavailable && heard.Header.Get(response.NotRunHeader) != ""
	h.unhealthy = heard.Status != http.StatusOK && !full
	h.runnerID = ids.RunnerID(heard.Header.Get(upstream.RunnerIDHeader))
	if left, err := strconv.ParseFloat(heard.Header.Get(upstream.WarmupHeader), 64); err == nil {
		h.warmupLeft = settings.Milliseconds(left)
	}
	return nil
}

// checksPerConnectTimeout is how many looks at doubted runners and at what is reachable
// there are in the time for connecting.
const checksPerConnectTimeout = 8

// probeSuspects tests runners that broke down until they are well again, and tells
// the directory when this router reaches no runner for some route.
func (r *Router) probeSuspects(ctx scope.Scope) error {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: r.timing.ConnectTimeout, UserTimeout: r.timing.PeerTimeout}, IdleTimeout: r.timing.ConnectTimeout, MaxIdlePerHost: 1})
	unable, reached := 0, false
	for ctx.Wait(r.timing.ConnectTimeout / checksPerConnectTimeout) {
		now := ctx.Now()
		r.probeLostZones(ctx, client)
		for _, id := range r.stats.DueProbes(now, r.timing.ConnectTimeout/4) {
			go r.probeSuspect(ctx, client, id)
		}
		if r.reachesAllServices(now) {
			unable, reached = 0, true
		} else if reached {
			// Before that the list of runners may not be whole yet.
			unable++
		}
		// A moment without runners is no reason to send visitors away.
		r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Degraded = unable > checksPerConnectTimeout/2 })
	}
	return nil
}

// checkHealth asks a runner of a configured service whether it is well.
func (r *Router) checkHealth(ctx scope.Scope, client *http.Client, seen *snapshot.Snapshot, runner *snapshot.Runner) (healthReport, error) {
	short, release := ctx.WithTimeout(r.timing.ConnectTimeout)
	defer release()
	return httpcall.Do[healthReport](short, client, runner.Address, healthRequest{path: seen.Config.Service(runner.Service).HealthPath})
}

func (r *Router) probeSuspect(ctx scope.Scope, client *http.Client, id ids.RunnerID) {
	seen := r.snapshots.Current()
	runner := seen.Find(id)
	if runner == nil || seen.Config == nil || seen.Config.Service(runner.Service) == nil {
		r.stats.Unlist(id)
		return
	}
	told, err := r.checkHealth(ctx, client, seen, runner)
	if err != nil || (told.runnerID != "" && told.runnerID != id) {
		return
	}
	if told.unhealthy && (told.runnerID != id || !r.stats.RecordUnhealthy(id)) {
		return
	}
	now := ctx.Now()
	if told.warmupLeft > 0 {
		r.slowStart.Extend(id, now.Add(told.warmupLeft), now)
	}
	r.stats.ClearSuspicion(id, now)
}

// reachesAllServices tells whether every service that has routes has a runner that can be
// sent to now.
func (r *Router) reachesAllServices(now clock.Instant) bool {
	seen := r.snapshots.Current()
	if seen.Config == nil || seen.Runners == nil {
		return true
	}
	wanted := map[ids.Service]bool{}
	for index := range seen.Config.Routes {
		for _, part := range seen.Config.Routes[index].WeightedServices() {
			wanted[part.Service] = wanted[part.Service] || part.Weight > 0
		}
	}
	for service, any := range wanted {
		if any && !r.reachesService(seen, service, now) {
			return false
		}
	}
	return true
}

func (r *Router) reachesService(seen *snapshot.Snapshot, service ids.Service, now clock.Instant) bool {
	for _, runner := range seen.Runners[service] {
		if seen.Available(runner) && !r.lostZones.contains(runner.Zone) && !r.stats.State(runner.ID).Suspect && r.stats.SilentFor(runner.ID, now) < r.timing.ConnectTimeout {
			return true
		}
	}
	return false
}
