package scaler

import (
	"sync"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/lengths"
	"onyxwell/control/room"
	"onyxwell/control/spread"
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
	News    *spread.News
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
	lock     sync.Mutex
	window   *window
	profiles map[ids.Service]*Profile
	last     map[ids.RunnerID]RunnerPlan
	// types are the weights of the types, flows the shares of before.
	types   map[typeKey]float64
	flows   map[origin][]Flow
	resting map[ids.RunnerID]int
	lengths map[ids.Region]*lengths.Estimator
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

func (scaler *Scaler) forget() {
	scaler.window = newWindow(scaler.options.Window, scaler.options.Step)
	scaler.profiles = map[ids.Service]*Profile{}
	scaler.last = map[ids.RunnerID]RunnerPlan{}
	scaler.types, scaler.flows = map[typeKey]float64{}, map[origin][]Flow{}
	scaler.resting = map[ids.RunnerID]int{}
	scaler.lengths = map[ids.Region]*lengths.Estimator{}
	scaler.steps, scaler.plans, scaler.told, scaler.ready = 0, 0, nil, ""
}

// Serve adds the scaler's message to a table of calls.
func (scaler *Scaler) Serve(calls *call.Table) {
	courier.Handle(calls, "report", func(inner scope.Scope, message ReportMessage) (ReportTold, error) {
		_, held := scaler.options.Held(inner.Now())
		if !held {
			return ReportTold{}, nil
		}
		report, err := message.Report()
		if err == nil {
			scaler.Take(report)
		}
		return ReportTold{Holding: held}, err
	})
}

// Take adds a router's report to the window.
func (scaler *Scaler) Take(report ReportAsk) {
	scaler.lock.Lock()
	defer scaler.lock.Unlock()
	scaler.window.take(report)
	scaler.learnLengths(report)
}

// Run looks at the metrics once a step until the scope ends.
func (scaler *Scaler) Run(inner scope.Scope) {
	last := inner.Now()
	for inner.Wait(scaler.options.Step) {
		now := inner.Now()
		scaler.Look(now, now.Since(last))
		last = now
	}
}

// Look closes a step: it detects, and plans anew where a runner stands out,
// the runners changed, or it is time.
func (scaler *Scaler) Look(now clock.Instant, spent clock.Span) {
	epoch, held := scaler.options.Held(now)
	scaler.lock.Lock()
	defer scaler.lock.Unlock()
	if !held {
		return
	}
	if epoch != scaler.epoch {
		scaler.forget()
		scaler.epoch, scaler.counter = epoch, 0
		scaler.inherit()
	}
	scaler.window.close(now, spent)
	for _, known := range scaler.lengths {
		known.Age(spent.Seconds())
	}
	hit := scaler.detect()
	runners := scaler.options.Runners()
	changed := scaler.changed(runners)
	if hit || changed || scaler.steps%scaler.options.Pace == 0 {
		scaler.publish(scaler.Plan(runners), runners)
	}
	if scaler.steps%scaler.options.Pace == 0 {
		scaler.learn()
	}
	scaler.steps++
}

// Work is what routers lately sent and read: the readings of every route over
// so many seconds, and the units a second of every runner.
func (scaler *Scaler) Work() (readings []room.Reading, units map[ids.RunnerID]float64, seconds float64) {
	scaler.lock.Lock()
	defer scaler.lock.Unlock()
	seconds = max(scaler.window.seconds, 0.001)
	for _, reading := range scaler.window.readings {
		readings = append(readings, reading)
	}
	units = map[ids.RunnerID]float64{}
	for id, run := range scaler.window.runs {
		units[id] = run.units / seconds
	}
	return readings, units, seconds
}

func (scaler *Scaler) changed(runners []Listed) bool {
	sign := ""
	for _, runner := range runners {
		if runner.Ready {
			sign += string(runner.ID) + " "
		}
	}
	changed := sign != scaler.ready
	scaler.ready = sign
	return changed
}
