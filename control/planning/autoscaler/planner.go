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

// Runner is what the planner needs to know of a listed runner.
type Runner struct {
	ID      ids.RunnerID
	Service ids.Service
	// Version is that of the runner's software.
	Version string
	Region  ids.Region
	// Ready is false for a runner that drains: it is not planned for.
	Ready     bool
	WarmingUp bool
}

// Options configure a Planner; all fields but Now, Scaled and GroupByLength are required.
type Options struct {
	// Clock is required by Run and RegisterHandlers alone.
	Clock clock.Clock
	// Address is this daemon's.
	Address ids.Address
	// Gossip is where plans are published, and where the last one is found.
	Gossip *gossip.Store
	// Lease returns the epoch of the planner's lease, and whether this daemon owns
	// it.
	Lease func(now clock.Instant) (epoch int64, owned bool)
	// Now returns the present; it is used to check the lease again right before a
	// plan is published. If it is nil, that check is left out.
	Now func() clock.Instant
	// Runners returns the runners of the newest list.
	Runners func() []Runner
	// NewSerial returns the version of a published item. It must order by epoch
	// first, then by counter.
	NewSerial func(epoch int64, counter int64) ids.Version
	// Window is for how long metrics are kept.
	Window time.Duration
	// Interval is the time between two ticks.
	Interval time.Duration
	// TicksPerPlan is the number of ticks between two plans for which there is no
	// other cause.
	TicksPerPlan int
	// ScaledServices returns the services whose runners are ordered; nil leaves sizes alone.
	ScaledServices func() []ScaledService
	// GroupByLength has runners grouped by the expected duration of requests.
	GroupByLength bool
}

// Planner plans while this daemon owns the planner's lease. It is safe for
// concurrent use.
//
// Everything but options and mu is state of the present epoch: it is dropped when
// the lease is acquired again.
type Planner struct {
	options Options
	mu      sync.Mutex
	epoch   int64
	window  *window
	// profiles hold what is normal for the runners of a service.
	profiles map[ids.Service]*Profile
	// runnerPlans, typeWeights and flows are those of the last plan, from which a
	// new one differs only where that is worth it.
	runnerPlans map[ids.RunnerID]RunnerPlan
	typeWeights map[runnerType]float64
	flows       map[flowKey][]Flow
	// quarantined counts the ticks for which a runner stays quarantined.
	quarantined map[ids.RunnerID]int
	lengths     map[ids.Region]*lengthstats.Estimator
	sizer       *sizer
	// counter numbers the published items.
	counter int64
	// ticks counts the ticks, planCount the plans.
	ticks     int
	planCount int
	lastPlan  Plan
	// published is the routing that was published last.
	published []byte
	// readyRunners lists the ready runners of the last tick.
	readyRunners string
}

// New returns a planner. It does nothing before Run or Tick.
func New(options Options) *Planner {
	planner := &Planner{options: options}
	planner.reset()
	return planner
}

// reset drops the state of an epoch.
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

// RegisterHandlers has the mux take reports for the planner. A daemon that
// doesn't own the lease answers that it doesn't, and drops the report.
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

// AddReport adds a report to the interval that Tick closes next.
func (p *Planner) AddReport(report ReportRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.add(report)
	p.recordLengths(report)
}

// Run ticks once an interval until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	last := p.options.Clock.Now()
	for clock.Wait(ctx, p.options.Clock, p.options.Interval) {
		now := p.options.Clock.Now()
		p.Tick(now, now.Since(last))
		last = now
	}
}

// Tick closes the interval that took elapsed. It publishes a new plan if a runner
// shows an anomaly, if the set of ready runners changed, or if TicksPerPlan ticks
// have passed. It does nothing on a daemon that doesn't own the lease.
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

// RecentWork returns the readings of every route over the last seconds, and each
// runner's work in units a second.
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

// readyChanged reports whether the ready runners are others than at the last
// call.
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
