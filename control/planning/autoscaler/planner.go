package autoscaler

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Runner describes a runner in the current runner list.
type Runner struct {
	ID      ids.RunnerID
	Service ids.Service
	// Version is the version of the runner's software.
	Version string
	Region  ids.Region
	// Ready is false for a draining runner, and for one of a version that gets no requests.
	// These are left out of plans.
	Ready     bool
	WarmingUp bool
}

// Options configures a Planner. All fields except Now, ScaledServices and
// GroupByLength are required.
type Options struct {
	// Clock is required only by Run and RegisterHandlers.
	Clock clock.Clock
	// Address is the address of this daemon.
	Address ids.Address
	// Gossip is the store in which plans are published, and from which a new owner of
	// the lease restores the last one.
	Gossip *gossip.Store
	// Lease returns the epoch of the planner's lease, and whether this daemon owns the
	// lease.
	Lease func(now clock.Instant) (epoch int64, owned bool)
	// Now returns the current time. It is used to check the lease again immediately
	// before an item is published; if it is nil, there is no second check.
	Now func() clock.Instant
	// Runners returns the current runner list.
	Runners func() []Runner
	// NewSerial returns the version of a published item. Versions must be ordered by
	// epoch first, then by counter.
	NewSerial func(epoch int64, counter int64) ids.Version
	// Window is how long metrics are retained.
	Window time.Duration
	// Interval is the time between two ticks.
	Interval time.Duration
	// TicksPerPlan is the number of ticks between two scheduled plans.
	TicksPerPlan int
	// ScaledServices returns the services whose number of runners the planner
	// decides. If it is nil, the planner publishes no sizes.
	ScaledServices func() []ScaledService
	// GroupByLength enables separate groups of runners for requests with a short and
	// with a long expected duration.
	GroupByLength bool
}

// Planner publishes plans while this daemon owns the planner's lease. It is safe for
// concurrent use.
//
// All fields except options and mu are state of the current epoch of the lease, and
// are reset when the lease is acquired again.
type Planner struct {
	options Options
	mu      sync.Mutex
	epoch   int64
	window  *window
	// profiles holds the normal behavior of the runners of each service.
	profiles map[ids.Service]*Profile
	// runnerPlans, typeWeights and flows are those of the last plan. A new plan keeps
	// their values where the change would be small.
	runnerPlans map[ids.RunnerID]RunnerPlan
	typeWeights map[runnerType]float64
	flows       map[flowKey][]Flow
	// quarantined holds the remaining ticks of each runner's quarantine.
	quarantined map[ids.RunnerID]int
	lengths     map[ids.Region]*lengthstats.Estimator
	sizer       *sizer
	// counter numbers the items that are published in an epoch. It is part of their
	// versions.
	counter int64
	// ticks and planCount are the numbers of ticks and plans in this epoch.
	ticks     int
	planCount int
	lastPlan  Plan
	// published is the encoded routing that was published last.
	published []byte
	// readyRunners is the space-separated list of the runners that were ready in the
	// last tick.
	readyRunners string
}

// New returns a planner. It publishes nothing until Run or Tick is called.
func New(options Options) *Planner {
	planner := &Planner{options: options}
	planner.reset()
	return planner
}

// reset clears the state of an epoch.
func (p *Planner) reset() {
	p.window = newWindow(p.options.Window)
	p.profiles = map[ids.Service]*Profile{}
	p.runnerPlans = map[ids.RunnerID]RunnerPlan{}
	p.typeWeights, p.flows = map[runnerType]float64{}, map[flowKey][]Flow{}
	p.quarantined = map[ids.RunnerID]int{}
	p.lengths = map[ids.Region]*lengthstats.Estimator{}
	p.sizer = newSizer()
	p.ticks, p.planCount, p.published, p.readyRunners = 0, 0, nil, ""
}

// RegisterHandlers registers the handler for reports. A daemon that does not own the
// lease drops the report and responds with Owner false.
func (p *Planner) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, "report", func(_ context.Context, message ReportMessage) (ReportResponse, error) {
		if _, owned := p.options.Lease(p.options.Clock.Now()); !owned {
			return ReportResponse{}, nil
		}
		report, err := message.Decode()
		if err == nil {
			p.AddReport(report)
		}
		return ReportResponse{Owner: true}, err
	})
}

// AddReport adds a report to the current interval, which the next Tick closes.
func (p *Planner) AddReport(report ReportRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.add(report)
	p.recordLengths(report)
}

// Run calls Tick once per interval until ctx is done.
func (p *Planner) Run(ctx context.Context) {
	last := p.options.Clock.Now()
	for clock.Wait(ctx, p.options.Clock, p.options.Interval) {
		now := p.options.Clock.Now()
		p.Tick(now, now.Since(last))
		last = now
	}
}

// Tick closes the current interval, whose length is elapsed. It makes and publishes
// a new plan if a runner shows an anomaly, if a quarantine ended, if the set of
// ready runners changed, or if TicksPerPlan ticks have passed since the last
// scheduled plan. It does nothing on a daemon that does not own the lease.
func (p *Planner) Tick(now clock.Instant, elapsed time.Duration) {
	epoch, owned := p.options.Lease(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !owned {
		return
	}
	if epoch != p.epoch {
		p.reset()
		p.epoch, p.counter = epoch, 0
		p.restore()
	}
	p.window.closeInterval(now, elapsed)
	for _, estimator := range p.lengths {
		estimator.Decay(elapsed.Seconds())
	}
	anomaly := p.detectAnomalies()
	runners := p.options.Runners()
	changed := p.readyChanged(runners)
	scheduled := p.ticks%p.options.TicksPerPlan == 0
	if anomaly || changed || scheduled {
		p.publish(p.buildPlan(runners), runners)
	}
	p.planSizes(now, runners)
	if scheduled {
		p.updateProfiles()
	}
	p.ticks++
}

// RecentWork returns the decayed readings of every route, each runner's work in
// units per second, and the time span in seconds that the readings stand for.
func (p *Planner) RecentWork() (readings []headroom.Reading, unitsPerS map[ids.RunnerID]float64, seconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds = max(p.window.seconds, minSeconds)
	for _, reading := range p.window.readings {
		readings = append(readings, reading)
	}
	unitsPerS = map[ids.RunnerID]float64{}
	for id, series := range p.window.runners {
		unitsPerS[id] = series.units / seconds
	}
	return readings, unitsPerS, seconds
}

// readyChanged reports whether the set of ready runners, or their order in the list,
// changed since the last call.
func (p *Planner) readyChanged(runners []Runner) bool {
	ready := ""
	for _, runner := range runners {
		if runner.Ready {
			ready += string(runner.ID) + " "
		}
	}
	changed := ready != p.readyRunners
	p.readyRunners = ready
	return changed
}
