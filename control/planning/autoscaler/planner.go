package autoscaler

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Runner is a runner as the scaler needs to know it.
type Runner struct {
	ID        ids.RunnerID
	Service   ids.Service
	Version   string
	Region    ids.Region
	Ready     bool
	WarmingUp bool
}

// Options are what a scaler is made from.
type Options struct {
	Address ids.Address
	Gossip  *gossip.Store
	// Lease tells whether this daemon has the duty, and under which epoch.
	Lease func(now clock.Instant) (int64, bool)
	// Now gives the present, for a look at the duty right before a plan is told;
	// by default the instant of the step stands for it.
	Now func() clock.Instant
	// Runners gives the runners of the newest list.
	Runners func() []Runner
	// NewSerial joins an epoch and a count.
	NewSerial func(epoch int64, counter int64) ids.Serial
	// Window is how far back the metrics go, Step the time between two looks.
	Window   clock.Span
	Interval clock.Span
	// PlanEvery is how many steps pass between two plans that nothing hurries.
	PlanEvery int
	// GroupByLength has runners grouped by the length of the work that they take.
	GroupByLength bool
}

// Planner plans while it holds the duty.
type Planner struct {
	options     Options
	mu          sync.Mutex
	window      *window
	profiles    map[ids.Service]*Profile
	runnerPlans map[ids.RunnerID]RunnerPlan
	// typeWeights are the weights of the types, flows the shares of before.
	typeWeights map[runnerType]float64
	flows       map[flowKey][]Flow
	quarantined map[ids.RunnerID]int
	lengths     map[ids.Region]*lengthstats.Estimator
	counter     int64
	steps       int
	// planCount counts those that were made under this epoch; made is the last.
	planCount    int
	lastPlan     Plan
	published    []byte
	readyRunners string
	epoch        int64
}

// New makes a scaler.
func New(options Options) *Planner {
	made := &Planner{options: options}
	made.reset()
	return made
}

func (p *Planner) reset() {
	p.window = newWindow(p.options.Window, p.options.Interval)
	p.profiles = map[ids.Service]*Profile{}
	p.runnerPlans = map[ids.RunnerID]RunnerPlan{}
	p.typeWeights, p.flows = map[runnerType]float64{}, map[flowKey][]Flow{}
	p.quarantined = map[ids.RunnerID]int{}
	p.lengths = map[ids.Region]*lengthstats.Estimator{}
	p.steps, p.planCount, p.published, p.readyRunners = 0, 0, nil, ""
}

// RegisterHandlers adds the scaler's message to a table of calls.
func (p *Planner) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, "report", func(ctx scope.Scope, message ReportMessage) (ReportResponse, error) {
		_, held := p.options.Lease(ctx.Now())
		if !held {
			return ReportResponse{}, nil
		}
		report, err := message.Decode()
		if err == nil {
			p.AddReport(report)
		}
		return ReportResponse{Owner: held}, err
	})
}

// AddReport adds a router's report to the window.
func (p *Planner) AddReport(report ReportRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.add(report)
	p.recordLengths(report)
}

// Run looks at the metrics once a step until the scope ends.
func (p *Planner) Run(ctx scope.Scope) {
	last := ctx.Now()
	for ctx.Wait(p.options.Interval) {
		now := ctx.Now()
		p.Tick(now, now.Since(last))
		last = now
	}
}

// Tick closes a step: it detects, and plans anew where a runner stands out,
// the runners changed, or it is time.
func (p *Planner) Tick(now clock.Instant, spent clock.Span) {
	epoch, held := p.options.Lease(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !held {
		return
	}
	if epoch != p.epoch {
		p.reset()
		p.epoch, p.counter = epoch, 0
		p.restore()
	}
	p.window.closeInterval(now, spent)
	for _, known := range p.lengths {
		known.Decay(spent.Seconds())
	}
	hit := p.detectAnomalies()
	runners := p.options.Runners()
	changed := p.readyChanged(runners)
	if hit || changed || p.steps%p.options.PlanEvery == 0 {
		p.publish(p.Plan(runners), runners)
	}
	if p.steps%p.options.PlanEvery == 0 {
		p.updateProfiles()
	}
	p.steps++
}

// RecentWork is what routers lately sent and read: the readings of every route over
// so many seconds, and the units a second of every runner.
func (p *Planner) RecentWork() (readings []headroom.Reading, units map[ids.RunnerID]float64, seconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds = max(p.window.seconds, 0.001)
	for _, reading := range p.window.readings {
		readings = append(readings, reading)
	}
	units = map[ids.RunnerID]float64{}
	for id, run := range p.window.runners {
		units[id] = run.units / seconds
	}
	return readings, units, seconds
}

func (p *Planner) readyChanged(runners []Runner) bool {
	sign := ""
	for _, runner := range runners {
		if runner.Ready {
			sign += string(runner.ID) + " "
		}
	}
	changed := sign != p.readyRunners
	p.readyRunners = sign
	return changed
}
