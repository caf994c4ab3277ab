// Package canary decides, in a router, which versions of a service a request may be sent to
// during a rollout and after its verdict. It reports the outcomes of the requests of each
// version.
//
// Invariants:
//   - Without a valid permit, no request goes to the target version of a rollout in progress.
//     There are two exceptions: the time for which a router has latched to the target
//     version, and a rollout in its full stage that has no available runner of the stable
//     version left. Begin checks this again immediately before a request is sent.
//   - No request goes to a version that was reverted, also not after later orders.
//   - No request goes to a version that is neither stable nor the target of a rollout in
//     progress (rollout.RoleOther) while the stable version has an available runner.
//   - A router that has confirmed that it sends nothing to old runners has no request in
//     flight there, and starts none for the latch time unless a verdict arrives first.
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

// Arm is the group of a rollout that a request is assigned to.
type Arm int

// The arms.
const (
	// Old is the arm of the stable version. While that has no available runner, it is also that of
	// versions that are neither rolled out nor reverted.
	Old Arm = iota
	// Target is the arm of the version that is rolled out.
	Target
	// LoadedOld and LoadedTarget are the arms of the load test: one runner of the old version
	// and one of the target version, each of which gets as much load as a runner may, and no
	// requests of other arms. There is one exception: the old one takes requests of the Old arm
	// that no other runner can take.
	LoadedOld
	LoadedTarget
)

// IsLoaded reports whether the arm is one of the two arms of the load test.
func (a Arm) IsLoaded() bool { return a == LoadedOld || a == LoadedTarget }

// Options configures a Gate. All fields are required.
type Options struct {
	Clock     clock.Clock
	Policy    rollout.Policy
	Snapshots *snapshot.Store
	// Region is the region of this router.
	Region ids.Region
	// Exchange sends a report to a relay and returns the permits that the relay grants.
	Exchange func(ctx context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error)
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Gate decides which versions of a service a request may be sent to. It is safe for
// concurrent use. A nil Gate allows everything.
type Gate struct {
	options Options

	mu       sync.Mutex
	rollouts map[ids.Service]*rolloutState
	// inFlight counts the requests in flight, including those from before a rollout was
	// ordered.
	inFlight map[versionKey]int
	// arrivals counts recent requests by service and route.
	arrivals map[ids.Service]*arrivals
}

// versionKey identifies a version of a service.
type versionKey struct {
	service ids.Service
	version string
}

// rolloutState is a router's state of one rollout order.
type rolloutState struct {
	order int64
	// permit is the newest permit; it expires at expiry.
	permit rollout.Permit
	expiry clock.Instant
	// loadPermit is the permit for the load test; it expires at loadExpiry.
	loadPermit rollout.Permit
	loadExpiry clock.Instant
	// latchedUntil is the time until which nothing is sent to old runners while the rollout is
	// in progress, even if the permit expires or is withdrawn.
	latchedUntil clock.Instant
	counts       map[countKey]*armCounts
	split        routerSplit
}

// New returns a Gate without permits.
func New(options Options) *Gate {
	return &Gate{options: options, rollouts: map[ids.Service]*rolloutState{}, inFlight: map[versionKey]int{}, arrivals: map[ids.Service]*arrivals{}}
}

// stateOf returns the state of the service's rollout in progress, and creates it for a new
// order. It returns nil if no rollout is in progress, or if snap has an older order than the
// state. The caller holds g.mu.
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

// hasLoadPermit reports whether requests may go to the runners of the load test.
func (s *rolloutState) hasLoadPermit(now clock.Instant) bool {
	return s.loadPermit.Order == s.order && now.Before(s.loadExpiry)
}

// isFull reports whether the permit sends all requests to the target version.
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
	if draw -= split.loadedOldShare; draw < recent.oversampling(route, state.permit)*split.byVersion.Share[g.options.Region] {
		return Target
	}
	return Old
}

// Filter decides which runners of a service a request may be sent to.
type Filter struct {
	// Arm is the arm that the request belongs to now.
	Arm Arm
	// CanFallBack is true if the request may be sent to the Old arm when its own arm has no
	// runner for it.
	CanFallBack bool

	versions                                rollout.Versions
	allowsTarget, allowsStable, allowsOther bool
	// active are the runners of the target version that get requests; nil means all of them.
	active map[ids.RunnerID]bool
	// onlyRunner, if not empty, is the only runner that the request may be sent to;
	// excludedRunner, if not empty, is one that it may not be sent to.
	onlyRunner, excludedRunner ids.RunnerID
}

// ExcludesControl reports whether the filter keeps the request off the old runner of the
// load test.
func (f Filter) ExcludesControl() bool { return f.excludedRunner != "" }

// WithControl returns a copy of the filter that also allows the old runner of the load test,
// for a request that no other runner can take.
func (f Filter) WithControl() Filter {
	f.excludedRunner = ""
	return f
}

// NeedsHealthy reports whether the request may be sent to healthy runners only, even if there
// are none.
func (f Filter) NeedsHealthy() bool { return f.Arm.IsLoaded() }

// allowsAll is the filter of a nil Gate, and of services that have neither a rollout nor
// runners.
var allowsAll = Filter{allowsTarget: true, allowsStable: true, allowsOther: true}

// Allows reports whether the request may be sent to a runner.
func (f Filter) Allows(runner *snapshot.Runner) bool {
	if f.onlyRunner != "" {
		return runner.ID == f.onlyRunner
	}
	if f.excludedRunner != "" && runner.ID == f.excludedRunner {
		return false
	}
	switch f.versions.RoleOf(runner.Version) {
	case rollout.RoleStable:
		return f.allowsStable
	case rollout.RoleTarget:
		return f.allowsTarget && (f.active == nil || f.active[runner.ID])
	case rollout.RoleOther:
		return f.allowsOther
	}
	return false
}

// Filter returns which runners a request of an arm may be sent to now. During a rollout, a
// request whose permit has expired belongs to the Old arm, unless the router is latched to the
// target version.
func (g *Gate) Filter(snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	if g == nil {
		return allowsAll
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.filter(snap, service, arm, now)
}

// filter implements Filter. The caller holds g.mu.
func (g *Gate) filter(snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	versions, ok := snap.Versions[service]
	if !ok {
		return allowsAll
	}
	if state := g.stateOf(snap, service); state != nil && versions.Target() != "" {
		return g.inProgressFilter(state, snap, service, arm, now)
	}
	return Filter{versions: versions, allowsStable: true, allowsOther: allowsOther(snap, service)}
}

// inProgressFilter returns the filter for a rollout in progress. The caller holds g.mu.
func (g *Gate) inProgressFilter(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, arm Arm, now clock.Instant) Filter {
	versions := snap.Versions[service]
	latched, permitted := state.isLatched(now), state.hasPermit(now)
	split := g.splitOf(state, snap, service, now)
	if runner := split.loadedRunner(arm); runner != "" && permitted && !state.isFull() && !latched {
		return Filter{Arm: arm, versions: versions, onlyRunner: runner, CanFallBack: true}
	}
	if latched || (arm == Target && permitted) {
		filter := Filter{Arm: Target, versions: versions, allowsTarget: true, CanFallBack: !latched}
		if !state.isFull() {
			filter.active = split.byVersion.Active
		}
		return filter
	}
	filter := Filter{Arm: Old, versions: versions, allowsStable: true, excludedRunner: split.loadedOld}
	if allowsOther(snap, service) {
		// In the last stage the old runners may be gone before the verdict reaches this router.
		filter.allowsTarget = rollout.Stage(snap.Rollouts[service].Stage) == rollout.Full
		filter.allowsOther = !filter.allowsTarget
	}
	return filter
}

// allowsOther reports whether versions get requests that are neither stable nor rolled out:
// only while the stable version has no available runner.
func allowsOther(snap *snapshot.Snapshot, service ids.Service) bool {
	versions := snap.Versions[service]
	for _, runner := range snap.Runners[service] {
		if versions.RoleOf(runner.Version) == rollout.RoleStable && snap.Available(runner) {
			return false
		}
	}
	return true
}

// Begin counts a request as in flight at a runner; it is called immediately before the request
// is sent. It returns false if the runner is not allowed any more. If it returns true, the
// caller must call End.
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

// End ends a request for which Begin returned true.
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

// oldInFlight returns how many requests of a service are in flight at versions other than the
// target version. The caller holds g.mu.
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

// exchange sends a report and stores the permits of the response. The lifetime of a permit
// counts from before the report was sent.
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
	// A permit that is not granted again has been withdrawn. The latch stays set all the same: a
	// director that has just taken over may not know yet that the rollout has finished.
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
	if rollout.Stage(permit.Stage) == rollout.LoadTest {
		s.loadPermit, s.loadExpiry = permit, expiry
		return
	}
	s.permit, s.expiry = permit, expiry
}

// buildRequest returns the report to send; ok is false if no rollout is in progress. It drops
// the states of rollouts that have ended, and sets the latch of a rollout whose report
// confirms that nothing is sent to old runners.
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
