package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

const (
	// maxRemoteChecks is the maximum number of runners of one service in a zone of another
	// region that are checked when the zone returns. It bounds the number of checks that a
	// runner gets from all routers.
	maxRemoteChecks = 8
	// maxConcurrentChecks is the maximum number of concurrent health checks of unverified
	// runners in each zone, so that a zone that does not answer delays no other.
	maxConcurrentChecks = 16
	// pauseConnectTimeouts is the number of connect timeouts without a check of the probes'
	// loop after which this process counts as suspended. A busy machine alone delays the
	// loop by less.
	pauseConnectTimeouts = 2
)

// trackRunners creates the snapshot store and the slow-start tracker, which learns from the
// store which runners may get requests again.
func (r *Router) trackRunners(options snapshot.Options) {
	r.slowStart = slowstart.New(rand.Float64)
	r.slowStart.DetectPauses(pauseConnectTimeouts*r.timing.ConnectTimeout, r.clock.Now())
	options.OnConfig, options.OnRunners, options.OnZoneRestored = r.updateWarmups, r.updateRunners, r.zoneRestored
	r.snapshots = snapshot.NewStore(options)
}

// unverifyReturned is called with each check of the probes' loop. It unverifies the runners
// that may get requests again without a change of the list: those of zones that are no
// longer lost, those whose ejection or quarantine has ended, and, after a pause of this
// process, all of the region.
func (r *Router) unverifyReturned(current *snapshot.Snapshot, now clock.Instant) {
	r.slowStart.Tick(now)
	for _, zone := range r.lostZones.update(current.LostZones, now) {
		r.zoneRestored(zone, current)
		r.lostZones.remove(zone)
	}
	r.unverifyRunners(current, r.avoided.update(current, now))
}

// updateRunners passes a new list of runners to the slow-start tracker, before the list
// comes into use. Runners that may get requests again are unverified.
func (r *Router) updateRunners(previous *snapshot.Snapshot, next *snapshot.Snapshot) {
	lag := settings.Milliseconds(r.settings.Platform.MaxLagMS)
	r.slowStart.Update(r.slowStartRunners(next), lag, r.clock.Now())
	if previous.Runners == nil {
		r.firstList(next)
		return
	}
	wasDraining := map[ids.RunnerID]bool{}
	for _, runner := range allRunners(previous) {
		wasDraining[runner.ID] = runner.Draining
	}
	r.unverify(next, func(runner *snapshot.Runner) bool { return wasDraining[runner.ID] })
}

// firstList is called with the first list of this process, which may not show yet which
// runners have become cold. Unless the whole deployment starts for the first time, the
// runners of this region, and those of zones that were evacuated, are unverified.
func (r *Router) firstList(next *snapshot.Snapshot) {
	if r.settings.FirstStart {
		return
	}
	r.unverify(next, func(runner *snapshot.Runner) bool {
		_, wasEvacuated := next.Evacuated[runner.Zone]
		return wasEvacuated || runner.Region == r.settings.Region
	})
}

// zoneRestored is called before a zone is used again, because its evacuation has ended or
// because it is no longer lost. Its runners may have become cold shortly before, which the
// list of runners shows too late.
func (r *Router) zoneRestored(zone ids.Zone, next *snapshot.Snapshot) {
	r.unverify(next, func(runner *snapshot.Runner) bool { return runner.Zone == zone })
}

// unverifyRunners unverifies runners of which it is unknown whether they are warm.
func (r *Router) unverifyRunners(current *snapshot.Snapshot, runners map[ids.RunnerID]bool) {
	if len(runners) > 0 {
		r.unverify(current, func(runner *snapshot.Runner) bool { return runners[runner.ID] })
	}
}

// unverify puts the runners that match and may get requests into slow start until they
// report that they are warm. All of this region are checked, and some of each other zone.
func (r *Router) unverify(next *snapshot.Snapshot, matches func(runner *snapshot.Runner) bool) {
	now := r.clock.Now()
	for _, runners := range next.Runners {
		local, remote := []ids.RunnerID{}, map[ids.Zone][]ids.RunnerID{}
		for _, runner := range runners {
			switch {
			case !next.Available(runner) || !matches(runner):
			case runner.Region == r.settings.Region:
				local = append(local, runner.ID)
			default:
				remote[runner.Zone] = append(remote[runner.Zone], runner.ID)
			}
		}
		r.slowStart.Unverify(local, true, now)
		for _, zone := range remote {
			rand.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
			checked := min(len(zone), maxRemoteChecks)
			r.slowStart.Unverify(zone[:checked], true, now)
			r.slowStart.Unverify(zone[checked:], false, now)
		}
	}
	select {
	case r.checksDue <- struct{}{}:
	default:
	}
}

// verifyRunners checks the health of unverified runners until they report their warm-up
// time. It returns once ctx is done and all checks have ended.
func (r *Router) verifyRunners(ctx context.Context) error {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: r.dialer(), IdleTimeout: r.timing.ConnectTimeout, MaxIdlePerHost: 1})
	interval := r.timing.ConnectTimeout / firstProbeDivisor
	slots := newCheckSlots()
	var checks sync.WaitGroup
	defer checks.Wait()
	for r.waitForChecks(ctx, interval) {
		for _, id := range r.slowStart.DueChecks(r.clock.Now(), interval) {
			checks.Go(func() { r.verifyInSlot(ctx, client, slots, id) })
		}
	}
	return nil
}

// verifyInSlot checks an unverified runner once its zone has a free slot, unless a check of
// the runner has not ended yet.
func (r *Router) verifyInSlot(ctx context.Context, client *http.Client, slots *checkSlots, id ids.RunnerID) {
	if !slots.begin(id) {
		return
	}
	defer slots.end(id)
	current := r.snapshots.Current()
	runner := current.Find(id)
	if runner == nil || !isConfigured(current, runner) {
		return
	}
	slot := slots.ofZone(runner.Zone)
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
		r.verifyRunner(ctx, client, current, runner)
	case <-ctx.Done():
	}
}

// waitForChecks waits until runners have become unverified, at most for the interval. It
// returns false once ctx is done.
func (r *Router) waitForChecks(ctx context.Context, interval time.Duration) bool {
	timeout, cancel := r.clock.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-timeout.Done():
		return ctx.Err() == nil
	case <-r.checksDue:
		return true
	}
}

// verifyRunner checks the health of an unverified runner. Only a report of the runner
// itself that it is well proves whether it is warm: one that is rejected for lack of a
// slot, or comes from another runner at the address, does not.
func (r *Router) verifyRunner(ctx context.Context, client *http.Client, current *snapshot.Snapshot, runner *snapshot.Runner) {
	askedAt := r.clock.Now()
	if !hasSlowStart(current.Config.Service(runner.Service)) {
		r.slowStart.Verify(runner.ID, 0, askedAt, askedAt)
		return
	}
	report, err := r.checkHealth(ctx, client, current, runner)
	if err == nil && report.provesWarmupOf(runner.ID) {
		r.slowStart.Verify(runner.ID, report.warmupLeft, askedAt, r.clock.Now())
	}
}

// hasSlowStart reports whether requests to a service's runners are limited while they are
// warming up.
func hasSlowStart(service *config.Service) bool {
	return service.WarmupSeconds > 0 && service.WarmupRatePerSecond > 0
}

// updateWarmups passes the warm-up times of a new configuration to the slow-start tracker.
func (r *Router) updateWarmups(next *snapshot.Snapshot) {
	r.slowStart.SetWarmups(r.slowStartRunners(next))
}

// slowStartRunners returns the listed runners with their remaining and whole warm-up times.
func (r *Router) slowStartRunners(next *snapshot.Snapshot) []slowstart.Runner {
	var runners []slowstart.Runner
	for name, listed := range next.Runners {
		warmup := time.Duration(0)
		if next.Config != nil && next.Config.Service(name) != nil {
			warmup = settings.Seconds(next.Config.Service(name).WarmupSeconds)
		}
		for _, runner := range listed {
			runners = append(runners, slowstart.Runner{
				ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS)), Warmup: warmup,
				Local: runner.Region == r.settings.Region,
			})
		}
	}
	return runners
}

// allRunners returns the runners of all services.
func allRunners(current *snapshot.Snapshot) []*snapshot.Runner {
	var all []*snapshot.Runner
	for _, runners := range current.Runners {
		all = append(all, runners...)
	}
	return all
}
