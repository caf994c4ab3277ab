package autoscaler

import (
	"math"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
)

const (
	// minSeconds is the minimum length of an interval, which is used as a divisor.
	minSeconds = 0.001
	// retainedPerSecond is the fraction of readings and units that is left after one
	// second of decay.
	retainedPerSecond = 0.9
	// demandSmoothing is the weight of the newest interval in an exponentially
	// smoothed demand rate.
	demandSmoothing = 0.3
)

// metrics holds the metrics of one runner over one interval. Once the interval is
// closed, all of them but failed and the utilizations are normalized: executionMS is
// the mean per finished request, running and pending are means over the interval, and
// arrived and finished are rates per second.
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

// vector returns the metrics as a vector for a Profile.
func (m metrics) vector() []float64 {
	return []float64{
		m.finished, m.running, m.arrived, m.pending, m.executionMS, m.memoryUtilization, m.utilization,
	}
}

// series holds the metrics of one runner over the window.
type series struct {
	service ids.Service
	// points holds the closed intervals, oldest first. Intervals without a request are
	// left out.
	points []metrics
	// current accumulates the open interval, executionMS the sum of its execution
	// times.
	current     metrics
	executionMS float64
	// units is the recent work, which decays.
	units float64
}

// window retains the recent metrics of all runners and the demand of all regions. It
// is not safe for concurrent use.
type window struct {
	length  time.Duration
	runners map[ids.RunnerID]*series
	demand  map[demandKey]*demandRate
	// readings decay like the units of the runners. seconds is the time span that both
	// stand for, and decays with them.
	readings map[readingKey]headroom.Reading
	seconds  float64
}

type readingKey struct {
	service ids.Service
	route   string
}

// demandKey identifies requests that may use the same runners and were received in
// the same region.
type demandKey struct {
	service ids.Service
	// homeRegions has the format of Demand.HomeRegions.
	homeRegions string
	// origin is the region of the routers that received the requests.
	origin ids.Region
}

// demandRate is an exponentially smoothed arrival rate.
type demandRate struct {
	perS float64
	// count is the number of requests in the open interval.
	count float64
}

func newWindow(length time.Duration) *window {
	return &window{length: length, runners: map[ids.RunnerID]*series{}, demand: map[demandKey]*demandRate{}, readings: map[readingKey]headroom.Reading{}}
}

// add adds a report to the open interval.
func (w *window) add(report ReportRequest) {
	for _, sample := range report.Samples {
		runner := w.runners[sample.Runner]
		if runner == nil {
			runner = &series{}
			w.runners[sample.Runner] = runner
		}
		runner.add(sample)
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		w.readings[key] = w.readings[key].Add(reading)
	}
	for _, demand := range report.Demands {
		key := demandKey{service: demand.Service, homeRegions: demand.HomeRegions, origin: report.Region}
		if w.demand[key] == nil {
			w.demand[key] = &demandRate{}
		}
		w.demand[key].count += demand.Arrived
	}
}

func (s *series) add(sample Sample) {
	s.service = sample.Service
	s.current.arrived += sample.Arrived
	s.current.finished += sample.Finished
	s.current.running += sample.Running
	s.current.pending += sample.Pending
	s.current.failed += sample.Failed
	s.executionMS += sample.ExecutionMS
	s.units += sample.Units
	s.current.memoryUtilization = max(s.current.memoryUtilization, sample.MemoryUtilization)
	s.current.utilization = max(s.current.utilization, sample.Utilization)
}

// closeInterval closes the open interval. It drops points that are older than the
// window, and runners without points.
func (w *window) closeInterval(now clock.Instant, elapsed time.Duration) {
	seconds := max(elapsed.Seconds(), minSeconds)
	w.decay(seconds)
	for id, series := range w.runners {
		series.closeInterval(now, seconds)
		for len(series.points) > 0 && now.Since(series.points[0].at) > w.length {
			series.points = series.points[1:]
		}
		if len(series.points) == 0 {
			delete(w.runners, id)
		}
	}
	for _, rate := range w.demand {
		rate.perS += demandSmoothing * (rate.count/seconds - rate.perS)
		rate.count = 0
	}
}

// decay lets readings and units decay for a time in seconds.
func (w *window) decay(seconds float64) {
	retained := math.Pow(retainedPerSecond, seconds)
	for key, reading := range w.readings {
		w.readings[key] = reading.Scale(retained)
	}
	for _, series := range w.runners {
		series.units *= retained
	}
	w.seconds = w.seconds*retained + seconds
}

func (s *series) closeInterval(now clock.Instant, seconds float64) {
	closed := s.current
	closed.at = now
	closed.arrived /= seconds
	if s.current.finished > 0 {
		closed.executionMS = s.executionMS / s.current.finished
	}
	closed.finished /= seconds
	closed.running /= seconds
	closed.pending /= seconds
	s.current, s.executionMS = metrics{}, 0
	if closed.arrived+closed.finished+closed.running+closed.failed > 0 {
		s.points = append(s.points, closed)
	}
}

// hasDemand reports whether any demand for the service was reported in this epoch.
func (w *window) hasDemand(service ids.Service) bool {
	for key := range w.demand {
		if key.service == service {
			return true
		}
	}
	return false
}

// load returns the demand for the service in requests per second.
func (w *window) load(service ids.Service) float64 {
	load := 0.0
	for key, rate := range w.demand {
		if key.service == service {
			load += rate.perS
		}
	}
	return load
}
