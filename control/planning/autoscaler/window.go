package autoscaler

import (
	"math"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
)

// metrics is one look at one runner: the metrics of one span, per second where
// they are rates.
type metrics struct {
	at                clock.Instant
	arrived           float64
	finished          float64
	running           float64
	pending           float64
	failed            float64
	executionMS       float64
	memoryUtilization float64
	utilization       float64
}

// vector is the metric vector that the detector looks at.
func (m metrics) vector() []float64 {
	return []float64{
		m.finished, m.running, m.arrived, m.pending, m.executionMS, m.memoryUtilization, m.utilization,
	}
}

// series is what is kept of one runner over the window.
type series struct {
	service     ids.Service
	points      []metrics
	current     metrics
	executionMS float64
	units       float64
}

// window keeps the series of all runners.
type window struct {
	length  clock.Span
	step    clock.Span
	runners map[ids.RunnerID]*series
	demand  map[demandKey]*demandRate
	// readings and units are forgotten little by little; seconds is the time
	// that they stand for.
	readings map[readingKey]headroom.Reading
	seconds  float64
}

type readingKey struct {
	service ids.Service
	route   string
}

type demandKey struct {
	service     ids.Service
	homeRegions string
	origin      ids.Region
}

// demandRate is an arrival rate that follows quickly and forgets within some steps.
type demandRate struct {
	perS  float64
	count float64
}

func newWindow(length clock.Span, step clock.Span) *window {
	return &window{length: length, step: step, runners: map[ids.RunnerID]*series{}, demand: map[demandKey]*demandRate{}, readings: map[readingKey]headroom.Reading{}}
}

// add adds a router's samples to the span that is open.
func (w *window) add(report ReportRequest) {
	for _, sample := range report.Samples {
		run := w.runners[sample.Runner]
		if run == nil {
			run = &series{}
			w.runners[sample.Runner] = run
		}
		run.service = sample.Service
		run.current.arrived += sample.Arrived
		run.current.finished += sample.Finished
		run.current.running += sample.Running
		run.current.pending += sample.Pending
		run.current.failed += sample.Failed
		run.executionMS += sample.ExecutionMS
		run.units += sample.Units
		run.current.memoryUtilization = max(run.current.memoryUtilization, sample.MemoryUtilization)
		run.current.utilization = max(run.current.utilization, sample.Utilization)
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		w.readings[key] = w.readings[key].Add(reading)
	}
	for _, wanted := range report.Demands {
		key := demandKey{service: wanted.Service, homeRegions: wanted.HomeRegions, origin: report.Region}
		if w.demand[key] == nil {
			w.demand[key] = &demandRate{}
		}
		w.demand[key].count += wanted.Arrived
	}
}

// retainedPerSecond is the part of readings and units that outlives a second.
const retainedPerSecond = 0.9

// decay ages readings and units by a step.
func (w *window) decay(seconds float64) {
	part := math.Pow(retainedPerSecond, seconds)
	for key, reading := range w.readings {
		w.readings[key] = reading.Scale(part)
	}
	for _, run := range w.runners {
		run.units *= part
	}
	w.seconds = w.seconds*part + seconds
}

// demandSmoothing is how much of a new rate is taken over in one step.
const demandSmoothing = 0.3

// closeInterval ends the open span and drops what is older than the window.
func (w *window) closeInterval(now clock.Instant, spent clock.Span) {
	seconds := max(spent.Seconds(), 0.001)
	w.decay(seconds)
	for id, run := range w.runners {
		closed := run.current
		closed.at = now
		closed.arrived /= seconds
		if run.current.finished > 0 {
			closed.executionMS = run.executionMS / run.current.finished
		}
		closed.finished /= seconds
		closed.running /= seconds
		closed.pending /= seconds
		run.current, run.executionMS = metrics{}, 0
		if closed.arrived+closed.finished+closed.running+closed.failed > 0 {
			run.points = append(run.points, closed)
		}
		for len(run.points) > 0 && now.Since(run.points[0].at) > w.length {
			run.points = run.points[1:]
		}
		if len(run.points) == 0 {
			delete(w.runners, id)
		}
	}
	for _, wanted := range w.demand {
		wanted.perS += demandSmoothing * (wanted.count/seconds - wanted.perS)
		wanted.count = 0
	}
}
