package autoscaler

import (
	"math"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
)

// point is one look at one runner: the metrics of one span, per second where
// they are rates.
type point struct {
	at       clock.Instant
	arrived  float64
	finished float64
	running  float64
	pending  float64
	failed   float64
	spentMS  float64
	memory   float64
	busy     float64
}

// vector is the metric vector that the detector looks at.
func (p point) vector() []float64 {
	return []float64{
		p.finished, p.running, p.arrived, p.pending, p.spentMS, p.memory, p.busy,
	}
}

// series is what is kept of one runner over the window.
type series struct {
	service ids.Service
	points  []point
	open    point
	spentMS float64
	units   float64
}

// window keeps the series of all runners.
type window struct {
	length clock.Span
	step   clock.Span
	runs   map[ids.RunnerID]*series
	demand map[demandKey]*rate
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
	service ids.Service
	homes   string
	origin  ids.Region
}

// rate is an arrival rate that follows quickly and forgets within some steps.
type rate struct {
	perS  float64
	count float64
}

func newWindow(length clock.Span, step clock.Span) *window {
	return &window{length: length, step: step, runs: map[ids.RunnerID]*series{}, demand: map[demandKey]*rate{}, readings: map[readingKey]headroom.Reading{}}
}

// take adds a router's samples to the span that is open.
func (w *window) take(report ReportAsk) {
	for _, sample := range report.Samples {
		run := w.runs[sample.Runner]
		if run == nil {
			run = &series{}
			w.runs[sample.Runner] = run
		}
		run.service = sample.Service
		run.open.arrived += sample.Arrived
		run.open.finished += sample.Finished
		run.open.running += sample.Running
		run.open.pending += sample.Pending
		run.open.failed += sample.Failed
		run.spentMS += sample.SpentMS
		run.units += sample.Units
		run.open.memory = max(run.open.memory, sample.Memory)
		run.open.busy = max(run.open.busy, sample.Busy)
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		w.readings[key] = w.readings[key].Plus(reading)
	}
	for _, wanted := range report.Demands {
		key := demandKey{service: wanted.Service, homes: wanted.Homes, origin: report.Region}
		if w.demand[key] == nil {
			w.demand[key] = &rate{}
		}
		w.demand[key].count += wanted.Arrived
	}
}

// remembered is the part of readings and units that outlives a second.
const remembered = 0.9

// forget ages readings and units by a step.
func (w *window) forget(seconds float64) {
	part := math.Pow(remembered, seconds)
	for key, reading := range w.readings {
		w.readings[key] = reading.Scaled(part)
	}
	for _, run := range w.runs {
		run.units *= part
	}
	w.seconds = w.seconds*part + seconds
}

// smoothing is how much of a new rate is taken over in one step.
const smoothing = 0.3

// close ends the open span and drops what is older than the window.
func (w *window) close(now clock.Instant, spent clock.Span) {
	seconds := max(spent.Seconds(), 0.001)
	w.forget(seconds)
	for id, run := range w.runs {
		closed := run.open
		closed.at = now
		closed.arrived /= seconds
		if run.open.finished > 0 {
			closed.spentMS = run.spentMS / run.open.finished
		}
		closed.finished /= seconds
		closed.running /= seconds
		closed.pending /= seconds
		run.open, run.spentMS = point{}, 0
		if closed.arrived+closed.finished+closed.running+closed.failed > 0 {
			run.points = append(run.points, closed)
		}
		for len(run.points) > 0 && now.Since(run.points[0].at) > w.length {
			run.points = run.points[1:]
		}
		if len(run.points) == 0 {
			delete(w.runs, id)
		}
	}
	for _, wanted := range w.demand {
		wanted.perS += smoothing * (wanted.count/seconds - wanted.perS)
		wanted.count = 0
	}
}
