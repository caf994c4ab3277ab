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

// Listed is a runner as the scaler needs to know it.
type Listed struct {
	ID      ids.RunnerID
	Service ids.Service
	Version string
	Region  ids.Region
	Ready   bool
	Cold    bool
}

// Options are what a scaler is made from.
type Options struct {
	Address ids.Address
	News    *gossip.Store
	// Held tells whether this daemon has the duty, and under which epoch.
	Held func(now clock.Instant) (int64, bool)
	// Now gives the present, for a look at the duty right before a plan is told;
	// by default the instant of the step stands for it.
	Now func() clock.Instant
	// Runners gives the runners of the newest list.
	Runners func() []Listed
	// Serial joins an epoch and a count.
	Serial func(epoch int64, counter int64) ids.Serial
	// Window is how far back the metrics go, Step the time between two looks.
	Window clock.Span
	Step   clock.Span
	// Pace is how many steps pass between two plans that nothing hurries.
	Pace int
	// Grouping has runners grouped by the length of the work that they take.
	Grouping bool
}

// Scaler plans while it holds the duty.
type Scaler struct {
	options  Options
	mu       sync.Mutex
	window   *window
	profiles map[ids.Service]*Profile
	last     map[ids.RunnerID]RunnerPlan
	// types are the weights of the types, flows the shares of before.
	types   map[typeKey]float64
	flows   map[origin][]Flow
	resting map[ids.RunnerID]int
	lengths map[ids.Region]*lengthstats.Estimator
	counter int64
	steps   int
	// plans counts those that were made under this epoch; made is the last.
	plans int
	made  Plan
	told  []byte
	ready string
	epoch int64
}

// New makes a scaler.
func New(options Options) *Scaler {
	made := &Scaler{options: options}
	made.forget()
	return made
}

func (s *Scaler) forget() {
	s.window = newWindow(s.options.Window, s.options.Step)
	s.profiles = map[ids.Service]*Profile{}
	s.last = map[ids.RunnerID]RunnerPlan{}
	s.types, s.flows = map[typeKey]float64{}, map[origin][]Flow{}
	s.resting = map[ids.RunnerID]int{}
	s.lengths = map[ids.Region]*lengthstats.Estimator{}
	s.steps, s.plans, s.told, s.ready = 0, 0, nil, ""
}

// Serve adds the scaler's message to a table of calls.
func (s *Scaler) Serve(calls *httpcall.Table) {
	transport.Handle(calls, "report", func(ctx scope.Scope, message ReportMessage) (ReportTold, error) {
		_, held := s.options.Held(ctx.Now())
		if !held {
			return ReportTold{}, nil
		}
		report, err := message.Report()
		if err == nil {
			s.Take(report)
		}
		return ReportTold{Holding: held}, err
	})
}

// Take adds a router's report to the window.
func (s *Scaler) Take(report ReportAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.take(report)
	s.learnLengths(report)
}

// Run looks at the metrics once a step until the scope ends.
func (s *Scaler) Run(ctx scope.Scope) {
	last := ctx.Now()
	for ctx.Wait(s.options.Step) {
		now := ctx.Now()
		s.Look(now, now.Since(last))
		last = now
	}
}

// Look closes a step: it detects, and plans anew where a runner stands out,
// the runners changed, or it is time.
func (s *Scaler) Look(now clock.Instant, spent clock.Span) {
	epoch, held := s.options.Held(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		return
	}
	if epoch != s.epoch {
		s.forget()
		s.epoch, s.counter = epoch, 0
		s.inherit()
	}
	s.window.close(now, spent)
	for _, known := range s.lengths {
		known.Age(spent.Seconds())
	}
	hit := s.detect()
	runners := s.options.Runners()
	changed := s.changed(runners)
	if hit || changed || s.steps%s.options.Pace == 0 {
		s.publish(s.Plan(runners), runners)
	}
	if s.steps%s.options.Pace == 0 {
		s.learn()
	}
	s.steps++
}

// Work is what routers lately sent and read: the readings of every route over
// so many seconds, and the units a second of every runner.
func (s *Scaler) Work() (readings []headroom.Reading, units map[ids.RunnerID]float64, seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds = max(s.window.seconds, 0.001)
	for _, reading := range s.window.readings {
		readings = append(readings, reading)
	}
	units = map[ids.RunnerID]float64{}
	for id, run := range s.window.runs {
		units[id] = run.units / seconds
	}
	return readings, units, seconds
}

func (s *Scaler) changed(runners []Listed) bool {
	sign := ""
	for _, runner := range runners {
		if runner.Ready {
			sign += string(runner.ID) + " "
		}
	}
	changed := sign != s.ready
	s.ready = sign
	return changed
}
