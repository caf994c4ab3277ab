// Package canary decides, in a router, to runners of which version of a service a request
// may go while a rollout is in progress and after its verdict, and reports what became of
// the requests of either version.
//
// Invariants:
//   - Without a permit that lasts, no request goes to the target version of a rollout in
//     progress; Begin checks it again immediately before a request is sent.
//   - Nothing goes to a version that was reverted, nor, once a rollout has finished, to
//     another than its target, while that has any runner.
//   - A router that has confirmed that it sends nothing to old runners has no request there,
//     and begins none for the latch time.
package canary

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// Arm is the side of a rollout that a request belongs to.
type Arm int

// The arms.
const (
	// Old is any version but the target.
	Old Arm = iota
	// Target is the version that is rolled out.
	Target
	// LoadedOld and LoadedTarget are a runner of either version that gets as much load as a
	// runner may, and nothing else.
	LoadedOld
	LoadedTarget
)

// IsLoaded reports whether the arm is one of the pair under load.
func (a Arm) IsLoaded() bool { return a == LoadedOld || a == LoadedTarget }

// Options configure a Gate. All are required.
type Options struct {
	Clock     clock.Clock
	Policy    rollout.Policy
	Snapshots *snapshot.Store
	// Region is where this router runs.
	Region ids.Region
	// Exchange reports to a relay and returns the permits that it grants.
	Exchange func(ctx context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error)
	// Random returns a number in [0, 1).
	Random func() float64
}

// Gate decides about versions. It is safe for concurrent use. A nil Gate allows everything.
type Gate struct {
	options Options

	mu     sync.Mutex
	trials map[ids.Service]*trial
	// inFlight counts the requests at runners, also those from before an order.
	inFlight map[versionKey]int
	// arrivals counts the requests of each service's routes of late.
	arrivals map[ids.Service]*arrivals
}

// versionKey is a version of a service.
type versionKey struct {
	service ids.Service
	version string
}

// trial is what a router keeps of one order.
type trial struct {
	order int64
	// permit is the newest one; it ends at expiry.
	permit rollout.Permit
	expiry clock.Instant
	// loadPermit is that for the pair under load; it ends at loadExpiry.
	loadPermit rollout.Permit
	loadExpiry clock.Instant
	// latchedUntil is until when nothing is sent to old runners, whatever becomes of the
	// permit.
	latchedUntil clock.Instant
	counts       map[countKey]*armCounts
	division     division
}

// New returns a Gate without permits.
func New(options Options) *Gate {
	return &Gate{options: options, trials: map[ids.Service]*trial{}, inFlight: map[versionKey]int{}, arrivals: map[ids.Service]*arrivals{}}
}

// trialOf returns the trial of a rollout in progress, nil where there is none. The caller
// holds g.mu.
func (g *Gate) trialOf(snap *snapshot.Snapshot, service ids.Service) *trial {
	record, ok := snap.Rollouts[service]
	if !ok || !record.InProgress() {
		return nil
	}
	current := g.trials[service]
	if current == nil || current.order < record.Order {
		current = &trial{order: record.Order, counts: map[countKey]*armCounts{}}
		g.trials[service] = current
	}
	if current.order != record.Order {
		return nil
	}
	return current
}

// hasPermit reports whether requests may go to the target version.
func (t *trial) hasPermit(now clock.Instant) bool {
	return t.permit.Order == t.order && now.Before(t.expiry)
}

// hasLoadPermit reports whether requests may go to the pair under load.
func (t *trial) hasLoadPermit(now clock.Instant) bool {
	return t.loadPermit.Order == t.order && now.Before(t.loadExpiry)
}

// isFull reports whether a permit has everything go to the target version.
func (t *trial) isFull() bool { return rollout.Stage(t.permit.Stage) == rollout.Full }

func (t *trial) isLatched(now clock.Instant) bool { return now.Before(t.latchedUntil) }

// Assign returns the arm of a new request.
func (g *Gate) Assign(service ids.Service, route string) Arm {
	if g == nil {
		return Old
	}
	snap, now := g.options.Snapshots.Current(), g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := g.count(service, route)
	t := g.trialOf(snap, service)
	if t == nil {
		return Old
	}
	switch {
	case t.isLatched(now):
		return Target
	case !t.hasPermit(now):
		return Old
	case t.isFull():
		return Target
	}
	divided := g.divisionOf(t, snap, service, now)
	draw := g.options.Random()
	if draw < divided.loadedPart {
		return LoadedTarget
	}
	if draw -= divided.loadedPart; draw < divided.loadedOldPart {
		return LoadedOld
	}
	if draw -= divided.loadedOldPart; draw < seen.emphasis(route, t.permit)*divided.spread.Share[g.options.Region] {
		return Target
	}
	return Old
}

// Filter says which runners of a service a request may go to.
type Filter struct {
	// Arm is the one that holds now.
	Arm Arm
	// CanFallBack says that the request may go to the other arm where this one has no runner
	// for it.
	CanFallBack bool

	target       string
	allowsTarget bool
	allowsOld    bool
	// active are the runners of the target version that get requests; nil are all.
	active map[ids.RunnerID]bool
	// only is the one runner that the request may go to, except one that it may not; empty is
	// none.
	only, except ids.RunnerID
}

// ExcludesControl reports whether the filter keeps the request from the old runner under load.
func (f Filter) ExcludesControl() bool { return f.except != "" }

// WithControl returns the filter for a request that no other runner can take.
func (f Filter) WithControl() Filter {
	f.except = ""
	return f
}

// NeedsHealthy reports whether only runners that are well may get the request.
func (f Filter) NeedsHealthy() bool { return f.Arm.IsLoaded() }

// allowsAll is the Filter of a service without a rollout.
var allowsAll = Filter{allowsTarget: true, allowsOld: true}

// Allows reports whether the request may go to a runner.
func (f Filter) Allows(runner *snapshot.Runner) bool {
	if f.only != "" {
		return runner.ID == f.only
	}
	if f.except != "" && runner.ID == f.except {
		return false
	}
	if runner.Version != f.target {
		return f.allowsOld
	}
	return f.allowsTarget && (f.active == nil || f.active[runner.ID])
}

// Filter returns which runners a request of an arm may go to now. A request that has lost
// its permit belongs to the old arm.
func (g *Gate) Filter(snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	if g == nil {
		return allowsAll
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.filter(snap, service, arm, now)
}

// filter is Filter for a caller that holds g.mu.
func (g *Gate) filter(snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	record, ok := snap.Rollouts[service]
	switch {
	case !ok:
		return baselineFilter(snap, service)
	case record.IsFinished():
		return Filter{Arm: Target, target: record.Target, allowsTarget: true, allowsOld: !listed(snap, service, record.Target)}
	case record.IsReverted():
		return Filter{target: record.Target, allowsOld: true}
	}
	t := g.trialOf(snap, service)
	if t == nil {
		return Filter{target: record.Target, allowsOld: true}
	}
	return g.trialFilter(t, snap, service, arm, now)
}

// trialFilter returns the filter of a rollout in progress. The caller holds g.mu.
func (g *Gate) trialFilter(t *trial, snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	record := snap.Rollouts[service]
	latched, permitted := t.isLatched(now), t.hasPermit(now)
	divided := g.divisionOf(t, snap, service, now)
	if runner := divided.loadedRunner(arm); runner != "" && permitted && !t.isFull() && !latched {
		return Filter{Arm: arm, target: record.Target, only: runner, CanFallBack: true}
	}
	if latched || (arm == Target && permitted) {
		filter := Filter{Arm: Target, target: record.Target, allowsTarget: true, CanFallBack: !latched}
		if !t.isFull() {
			filter.active = divided.spread.Active
		}
		return filter
	}
	filter := Filter{Arm: Old, target: record.Target, allowsOld: true, except: divided.loadedOld}
	if rollout.Stage(record.Stage) == rollout.Full && !divided.spread.HasOld {
		// The old runners are gone: the verdict has not arrived here.
		filter.allowsTarget = true
	}
	return filter
}

// baselineFilter keeps a version that no order has named from getting requests beside the
// one that is in place.
func baselineFilter(snap *snapshot.Snapshot, service ids.Service) Filter {
	baseline, ok := snap.Baseline[service]
	if !ok {
		return allowsAll
	}
	return Filter{Arm: Target, target: baseline, allowsTarget: true, allowsOld: !listed(snap, service, baseline)}
}

// listed reports whether a service has an available runner of a version.
func listed(snap *snapshot.Snapshot, service ids.Service, version string) bool {
	for _, runner := range snap.Runners[service] {
		if runner.Version == version && snap.Available(runner) {
			return true
		}
	}
	return false
}

// Begin takes a request to a runner, immediately before it is sent. It returns false where
// the runner is not allowed any more. End must follow where it returns true.
func (g *Gate) Begin(service ids.Service, runner *snapshot.Runner, arm Arm, now clock.Instant) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.filter(g.options.Snapshots.Current(), service, arm, now).WithControl().Allows(runner) {
		return false
	}
	g.inFlight[versionKey{service: service, version: runner.Version}]++
	return true
}

// End is the end of a request that Begin took.
func (g *Gate) End(service ids.Service, runner *snapshot.Runner) {
	if g == nil {
		return
	}
	key := versionKey{service: service, version: runner.Version}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[key]--; g.inFlight[key] <= 0 {
		delete(g.inFlight, key)
	}
}

// oldInFlight counts the requests of a service at runners of other versions than the target.
// The caller holds g.mu.
func (g *Gate) oldInFlight(service ids.Service, target string) int {
	count := 0
	for key, inFlight := range g.inFlight {
		if key.service == service && key.version != target {
			count += inFlight
		}
	}
	return count
}

// Run exchanges messages with a relay while a rollout is in progress, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for clock.Wait(ctx, g.options.Clock, g.options.Policy.ExchangeInterval) {
		g.exchange(ctx)
	}
}

// exchange reports, and takes the permits over: each counts from before the message.
func (g *Gate) exchange(ctx context.Context) {
	startedAt := g.options.Clock.Now()
	req, ok := g.request(g.options.Snapshots.Current(), startedAt)
	if !ok {
		return
	}
	ctx, cancel := g.options.Clock.WithTimeout(ctx, g.options.Policy.PermitTTL/2)
	defer cancel()
	resp, err := g.options.Exchange(ctx, req)
	if err != nil || !resp.Directing {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// What is not granted again was withheld. What this router has confirmed stands all the
	// same: a director that has just taken over may not know yet that the rollout has finished.
	for _, t := range g.trials {
		t.expiry, t.loadExpiry = 0, 0
	}
	for _, permit := range resp.Permits {
		if t := g.trials[permit.Service]; t != nil && permit.Order == t.order {
			t.grant(permit, startedAt.Add(time.Duration(permit.TTLMS)*time.Millisecond))
		}
	}
}

func (t *trial) grant(permit rollout.Permit, expiry clock.Instant) {
	if rollout.Stage(permit.Stage) == rollout.Loaded {
		t.loadPermit, t.loadExpiry = permit, expiry
		return
	}
	t.permit, t.expiry = permit, expiry
}

// request returns what is to be reported; ok is false where no rollout is in progress.
func (g *Gate) request(snap *snapshot.Snapshot, now clock.Instant) (req rollout.ExchangeRequest, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.trials {
		if record := snap.Rollouts[service]; !record.InProgress() {
			delete(g.trials, service)
		}
	}
	for service, record := range snap.Rollouts {
		t := g.trialOf(snap, service)
		if t == nil {
			continue
		}
		report := rollout.ServiceReport{Service: service, Order: t.order, Unconfirmed: 1, Routes: t.takeCounts()}
		if t.hasPermit(now) && t.isFull() && g.oldInFlight(service, record.Target) == 0 {
			report.Unconfirmed = 0
			t.latchedUntil = now.Add(g.options.Policy.LatchTime)
		}
		req.Services = append(req.Services, report)
	}
	return req, len(req.Services) > 0
}
