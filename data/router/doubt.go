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

// health asks a runner whether it is well.
type health struct{ path string }

// Outgoing makes the call.
func (h health) Outgoing() httpcall.Outgoing {
	return httpcall.Outgoing{Method: http.MethodGet, Path: h.path}
}

// condition is what a runner said of itself.
type condition struct {
	id   ids.RunnerID
	cold clock.Span
	ill  bool
}

// Hear takes a well runner, or one that is only full, for alive.
func (c *condition) Hear(heard httpcall.RawResponse) error {
	full := heard.Status == http.StatusServiceUnavailable && heard.Header.Get(response.NotRunHeader) != ""
	c.ill = heard.Status != http.StatusOK && !full
	c.id = ids.RunnerID(heard.Header.Get(upstream.RunnerIDHeader))
	if left, err := strconv.ParseFloat(heard.Header.Get(upstream.WarmupHeader), 64); err == nil {
		c.cold = settings.Milliseconds(left)
	}
	return nil
}

// looksAtDoubt is how many looks at doubted runners and at what is reachable
// there are in the time for connecting.
const looksAtDoubt = 8

// doubts tests runners that broke down until they are well again, and tells
// the directory when this router reaches no runner for some route.
func (r *Router) doubts(ctx scope.Scope) error {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: r.pace.ConnectTimeout, UserTimeout: r.pace.PeerTimeout}, IdleTimeout: r.pace.ConnectTimeout, MaxIdlePerHost: 1})
	unable, reached := 0, false
	for ctx.Wait(r.pace.ConnectTimeout / looksAtDoubt) {
		now := ctx.Now()
		r.testLost(ctx, client)
		for _, id := range r.board.DueProbes(now, r.pace.ConnectTimeout/4) {
			go r.test(ctx, client, id)
		}
		if r.reaches(now) {
			unable, reached = 0, true
		} else if reached {
			// Before that the list of runners may not be whole yet.
			unable++
		}
		// A moment without runners is no reason to send visitors away.
		r.common.Membership.UpdateSelf(func(self *membership.Member) { self.Degraded = unable > looksAtDoubt/2 })
	}
	return nil
}

// ask asks a runner of a configured service whether it is well.
func (r *Router) ask(ctx scope.Scope, client *http.Client, seen *snapshot.Snapshot, runner *snapshot.Runner) (condition, error) {
	short, release := ctx.WithTimeout(r.pace.ConnectTimeout)
	defer release()
	return httpcall.Do[condition](short, client, runner.Address, health{path: seen.Spec.Service(runner.Service).HealthPath})
}

func (r *Router) test(ctx scope.Scope, client *http.Client, id ids.RunnerID) {
	seen := r.frame.Now()
	runner := seen.Find(id)
	if runner == nil || seen.Spec == nil || seen.Spec.Service(runner.Service) == nil {
		r.board.Unlist(id)
		return
	}
	told, err := r.ask(ctx, client, seen, runner)
	if err != nil || (told.id != "" && told.id != id) {
		return
	}
	if told.ill && (told.id != id || !r.board.RecordUnhealthy(id)) {
		return
	}
	now := ctx.Now()
	if told.cold > 0 {
		r.warmth.Extend(id, now.Add(told.cold), now)
	}
	r.board.ClearSuspicion(id, now)
}

// reaches tells whether every service that has routes has a runner that can be
// sent to now.
func (r *Router) reaches(now clock.Instant) bool {
	seen := r.frame.Now()
	if seen.Spec == nil || seen.Runners == nil {
		return true
	}
	wanted := map[ids.Service]bool{}
	for index := range seen.Spec.Routes {
		for _, part := range seen.Spec.Routes[index].WeightedServices() {
			wanted[part.Service] = wanted[part.Service] || part.Weight > 0
		}
	}
	for service, any := range wanted {
		if any && !r.reachesOne(seen, service, now) {
			return false
		}
	}
	return true
}

func (r *Router) reachesOne(seen *snapshot.Snapshot, service ids.Service, now clock.Instant) bool {
	for _, runner := range seen.Runners[service] {
		if seen.Open(runner) && !r.lost.has(runner.Zone) && !r.board.State(runner.ID).Suspect && r.board.SilentFor(runner.ID, now) < r.pace.ConnectTimeout {
			return true
		}
	}
	return false
}
