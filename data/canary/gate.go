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

	mu       sync.Mutex
	rollouts map[ids.Service]*rolloutState
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

// rolloutState is what a router keeps of one order.
type rolloutState struct {
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
	split        trafficSplit
}

// New returns a Gate without permits.
func New(options Options) *Gate {
	return &Gate{options: options, rollouts: map[ids.Service]*rolloutState{}, inFlight: map[versionKey]int{}, arrivals: map[ids.Service]*arrivals{}}
}

// stateOf returns the trial of a rollout in progress, nil where there is none. The caller
// holds g.mu.
func (g *Gate) stateOf(snap *snapshot.Snapshot, service ids.Service) *rolloutState {
	record, ok := snap.Rollouts[service]
	if !ok || !record.InProgress() {
		return nil
	}
	current := g.rollouts[service]
	if current == nil || current.order < record.Order {
		current = &rolloutState{order: record.Order, counts: map[countKey]*armCounts{}}
		g.rollouts[service] = current
	}
	if current.order != record.Order {
		return nil
	}
	return current
}

// hasPermit reports whether requests may go to the target version.
func (s *rolloutState) hasPermit(now clock.Instant) bool {
	return s.permit.Order == s.order && now.Before(s.expiry)
}

// hasLoadPermit reports whether requests may go to the pair under load.
func (s *rolloutState) hasLoadPermit(now clock.Instant) bool {
	return s.loadPermit.Order == s.order && now.Before(s.loadExpiry)
}

// isFull reports whether a permit has everything go to the target version.
func (s *rolloutState) isFull() bool { return rollout.Stage(s.permit.Stage) == rollout.Full }

func (s *rolloutState) isLatched(now clock.Instant) bool { return now.Before(s.latchedUntil) }

// Assign returns the arm of a new request.
func (g *Gate) Assign(service ids.Service, route string) Arm {
	if g == nil {
		return Old
	}
	snap, now := g.options.Snapshots.Current(), g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.countArrival(service, route)
	state := g.stateOf(snap, service)
	if state == nil {
		return Old
	}
	switch {
	case state.isLatched(now):
		return Target
	case !state.hasPermit(now):
		return Old
	case state.isFull():
		return Target
	}
	split := g.splitOf(state, snap, service, now)
	draw := g.options.Random()
	if draw < split.loadedTargetShare {
		return LoadedTarget
	}
	if draw -= split.loadedTargetShare; draw < split.loadedOldShare {
		return LoadedOld
	}
	if draw -= split.loadedOldShare; draw < recent.oversampling(route, state.permit)*split.spread.Share[g.options.Region] {
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
	// onlyRunner is the one runner that the request may go to, excludedRunner one that it may not; empty is
	// none.
	onlyRunner, excludedRunner ids.RunnerID
}

// ExcludesControl reports whether the filter keeps the request from the old runner under load.
func (f Filter) ExcludesControl() bool { return f.excludedRunner != "" }

// WithControl returns the filter for a request that no other runner can take.
func (f Filter) WithControl() Filter {
	f.excludedRunner = ""
	return f
}

// NeedsHealthy reports whether only runners that are well may get the request.
func (f Filter) NeedsHealthy() bool { return f.Arm.IsLoaded() }

// allowsAll is the Filter of a service without a rollout.
var allowsAll = Filter{allowsTarget: true, allowsOld: true}

// Allows reports whether the request may go to a runner.
func (f Filter) Allows(runner *snapshot.Runner) bool {
	if f.onlyRunner != "" {
		return runner.ID == f.onlyRunner
	}
	if f.excludedRunner != "" && runner.ID == f.excludedRunner {
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
		return Filter{Arm: Target, target: record.Target, allowsTarget: true, allowsOld: !hasAvailableRunner(snap, service, record.Target)}
	case record.IsReverted():
		return Filter{target: record.Target, allowsOld: true}
	}
	state := g.stateOf(snap, service)
	if state == nil {
		return Filter{target: record.Target, allowsOld: true}
	}
	return g.inProgressFilter(state, snap, service, arm, now)
}

// inProgressFilter returns the filter of a rollout in progress. The caller holds g.mu.
func (g *Gate) inProgressFilter(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	record := snap.Rollouts[service]
	latched, permitted := state.isLatched(now), state.hasPermit(now)
	split := g.splitOf(state, snap, service, now)
	if runner := split.loadedRunner(arm); runner != "" && permitted && !state.isFull() && !latched {
		return Filter{Arm: arm, target: record.Target, onlyRunner: runner, CanFallBack: true}
	}
	if latched || (arm == Target && permitted) {
		filter := Filter{Arm: Target, target: record.Target, allowsTarget: true, CanFallBack: !latched}
		if !state.isFull() {
			filter.active = split.spread.Active
		}
		return filter
	}
	filter := Filter{Arm: Old, target: record.Target, allowsOld: true, excludedRunner: split.loadedOld}
	if rollout.Stage(record.Stage) == rollout.Full && !split.spread.HasOld {
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
	return Filter{Arm: Target, target: baseline, allowsTarget: true, allowsOld: !hasAvailableRunner(snap, service, baseline)}
}

// hasAvailableRunner reports whether a service has an available runner of a version.
func hasAvailableRunner(snap *snapshot.Snapshot, service ids.Service, version string) bool {
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
	req, ok := g.buildRequest(g.options.Snapshots.Current(), startedAt)
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
	for _, state := range g.rollouts {
		state.expiry, state.loadExpiry = 0, 0
	}
	for _, permit := range resp.Permits {
		if state := g.rollouts[permit.Service]; state != nil && permit.Order == state.order {
			state.applyPermit(permit, startedAt.Add(time.Duration(permit.TTLMS)*time.Millisecond))
		}
	}
}

func (s *rolloutState) applyPermit(permit rollout.Permit, expiry clock.Instant) {
	if rollout.Stage(permit.Stage) == rollout.Loaded {
		s.loadPermit, s.loadExpiry = permit, expiry
		return
	}
	s.permit, s.expiry = permit, expiry
}

// buildRequest returns what is to be reported; ok is false where no rollout is in progress.
func (g *Gate) buildRequest(snap *snapshot.Snapshot, now clock.Instant) (req rollout.ExchangeRequest, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.rollouts {
		if record := snap.Rollouts[service]; !record.InProgress() {
			delete(g.rollouts, service)
		}
	}
	for service, record := range snap.Rollouts {
		state := g.stateOf(snap, service)
		if state == nil {
			continue
		}
		report := rollout.ServiceReport{Service: service, Order: state.order, Unconfirmed: 1, Routes: state.takeCounts()}
		if state.hasPermit(now) && state.isFull() && g.oldInFlight(service, record.Target) == 0 {
			report.Unconfirmed = 0
			state.latchedUntil = now.Add(g.options.Policy.LatchTime)
		}
		req.Services = append(req.Services, report)
	}
	return req, len(req.Services) > 0
}
