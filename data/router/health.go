package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// healthRequest is a health check request to a runner.
type healthRequest struct{ path string }

// Encode returns the HTTP request.
func (h healthRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: h.path}
}

// healthReport is a runner's response to a health check.
type healthReport struct {
	runnerID   ids.RunnerID // empty if the response does not contain it
	warmupLeft time.Duration
	unhealthy  bool
	// rejected reports that the runner was full and did not run the check.
	rejected bool
}

// provesWarmupOf reports whether warmupLeft is the remaining warm-up time of a runner.
func (h healthReport) provesWarmupOf(id ids.RunnerID) bool {
	return h.runnerID == id && !h.unhealthy && !h.rejected
}

// Decode decodes the response. A runner that rejected the check only because it is full
// counts as healthy.
func (h *healthReport) Decode(resp httpcall.RawResponse) error {
	h.rejected = resp.Status == http.StatusServiceUnavailable && resp.Header.Get(response.NotRunHeader) != ""
	h.unhealthy = resp.Status != http.StatusOK && !h.rejected
	h.runnerID = ids.RunnerID(resp.Header.Get(upstream.RunnerIDHeader))
	if ms, err := strconv.ParseFloat(resp.Header.Get(upstream.WarmupHeader), 64); err == nil {
		h.warmupLeft = settings.Milliseconds(ms)
	}
	return nil
}

const (
	// checksPerConnectTimeout is the number of checks per connect timeout. Each check
	// starts the probes that are due and tests whether this router reaches all services.
	checksPerConnectTimeout = 8
	// degradedChecks is the number of consecutive failed checks beyond which the router
	// is degraded. A short time without runners is no reason to send clients elsewhere.
	degradedChecks = checksPerConnectTimeout / 2
	// firstProbeDivisor defines the interval between the first two probes of a runner or
	// zone as 1/firstProbeDivisor of the connect timeout.
	firstProbeDivisor = 4
)

// probeSuspects probes suspected runners and lost zones until they recover, and
// announces the router as degraded while it reaches no runner of some service. It
// returns once ctx is done and all probes have ended.
func (r *Router) probeSuspects(ctx context.Context) error {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: r.dialer(), IdleTimeout: r.timing.ConnectTimeout, MaxIdlePerHost: 1})
	firstInterval := r.timing.ConnectTimeout / firstProbeDivisor
	var probes sync.WaitGroup
	defer probes.Wait()
	failedChecks, reached := 0, false
	for clock.Wait(ctx, r.clock, r.timing.ConnectTimeout/checksPerConnectTimeout) {
		now, current := r.clock.Now(), r.snapshots.Current()
		r.unverifyReturned(current, now)
		for _, zone := range r.lostZones.dueProbes(now, firstInterval) {
			for _, runner := range sampleRunners(current, zone) {
				probes.Go(func() { r.probeZone(ctx, client, runner) })
			}
		}
		for _, id := range r.stats.DueProbes(now, firstInterval) {
			probes.Go(func() { r.probeSuspect(ctx, client, id) })
		}
		if r.reachesAllServices(now) {
			failedChecks, reached = 0, true
		} else if reached {
			// Until all services were reached once, the list of runners may be incomplete.
			failedChecks++
		}
		r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Degraded = failedChecks > degradedChecks })
	}
	return nil
}

// checkHealth sends a health check to a runner. Its service must be configured.
func (r *Router) checkHealth(ctx context.Context, client *http.Client, current *snapshot.Snapshot, runner *snapshot.Runner) (healthReport, error) {
	ctx, cancel := r.clock.WithTimeout(ctx, r.timing.ConnectTimeout)
	defer cancel()
	request := healthRequest{path: current.Config.Service(runner.Service).HealthPath}
	return httpcall.Do[healthReport](ctx, client, runner.Address, request)
}

// isConfigured reports whether a runner's service is in the snapshot's configuration.
func isConfigured(current *snapshot.Snapshot, runner *snapshot.Runner) bool {
	return current.Config != nil && current.Config.Service(runner.Service) != nil
}

// probeSuspect checks the health of a suspected runner and clears the suspicion if it is
// healthy. A runner that repeatedly reports itself as unhealthy is cleared, too, so that
// requests show whether it works. Unless it reported whether it is warm, it is unverified.
func (r *Router) probeSuspect(ctx context.Context, client *http.Client, id ids.RunnerID) {
	current := r.snapshots.Current()
	runner := current.Find(id)
	if runner == nil || !isConfigured(current, runner) {
		r.stats.StopProbing(id)
		return
	}
	report, err := r.checkHealth(ctx, client, current, runner)
	if err != nil || (report.runnerID != "" && report.runnerID != id) {
		return
	}
	if report.unhealthy && (report.runnerID != id || !r.stats.RecordUnhealthy(id)) {
		return
	}
	now := r.clock.Now()
	if report.warmupLeft > 0 {
		r.slowStart.Extend(id, now.Add(report.warmupLeft), now)
	}
	if !report.provesWarmupOf(id) {
		r.unverifyRunners(current, map[ids.RunnerID]bool{id: true})
	}
	r.stats.ClearSuspicion(id, now)
}

// sampleRunners returns a random available runner of each service in a zone.
func sampleRunners(current *snapshot.Snapshot, zone ids.Zone) []*snapshot.Runner {
	var sample []*snapshot.Runner
	for _, runners := range current.Runners {
		var available []*snapshot.Runner
		for _, runner := range runners {
			if runner.Zone == zone && current.Available(runner) {
				available = append(available, runner)
			}
		}
		if len(available) > 0 {
			sample = append(sample, available[rand.N(len(available))])
		}
	}
	return sample
}

// probeZone checks the health of a runner in a lost zone. If the runner is healthy, the
// zone is used again. All of its runners are unverified, but for this one if it reported
// whether it is warm.
func (r *Router) probeZone(ctx context.Context, client *http.Client, runner *snapshot.Runner) {
	current := r.snapshots.Current()
	if !isConfigured(current, runner) {
		return
	}
	report, err := r.checkHealth(ctx, client, current, runner)
	if err != nil || report.unhealthy || !r.lostZones.contains(runner.Zone) {
		return
	}
	r.zoneRestored(runner.Zone, current)
	if now := r.clock.Now(); report.provesWarmupOf(runner.ID) {
		r.slowStart.Verify(runner.ID, report.warmupLeft, now, now)
	}
	r.lostZones.remove(runner.Zone)
}

// reachesAllServices reports whether every service that a route sends requests to has a
// runner that can get requests now.
func (r *Router) reachesAllServices(now clock.Instant) bool {
	current := r.snapshots.Current()
	if current.Config == nil || current.Runners == nil {
		return true
	}
	routed := map[ids.Service]bool{}
	for i := range current.Config.Routes {
		for _, weighted := range current.Config.Routes[i].WeightedServices() {
			routed[weighted.Service] = routed[weighted.Service] || weighted.Weight > 0
		}
	}
	for service, ok := range routed {
		if ok && !r.reachesService(current, service, now) {
			return false
		}
	}
	return true
}

// reachesService reports whether a service has a runner that answers, other than those of
// versions that were reverted, which get no requests.
func (r *Router) reachesService(current *snapshot.Snapshot, service ids.Service, now clock.Instant) bool {
	versions := current.Versions[service]
	for _, runner := range current.Runners[service] {
		if !current.Available(runner) || versions.RoleOf(runner.Version) == rollout.RoleRejected {
			continue
		}
		if !r.lostZones.contains(runner.Zone) && !r.stats.State(runner.ID).Suspect && r.stats.SilentFor(runner.ID, now) < r.timing.ConnectTimeout {
			return true
		}
	}
	return false
}
