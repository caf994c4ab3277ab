package outlier

import (
	"maps"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
)

const (
	// minFailures and minFailureRatio are how many requests, and which part of them,
	// must fail for a runner to be an outlier at all.
	minFailures     = 3.0
	minFailureRatio = 0.25
	// peerFactor is how many times its peers' failure ratio an outlier's must be.
	peerFactor = 3.0
	// maxEjectedFraction is the part of a service's runners that may be ejected at
	// a time.
	maxEjectedFraction = 1.0 / 3
	// window is how long an outcome counts.
	window = 2 * time.Second
	// baseEjectionTime is how long the first ejection lasts. Each further one lasts
	// twice as long, up to baseEjectionTime << maxBackoff.
	baseEjectionTime = 2 * time.Second
	maxBackoff       = 4
	// backoffDecay is how long a runner must go without an ejection for the backoff
	// to fall by one.
	backoffDecay = 30 * time.Second
)

// outcome counts the requests of one sample.
type outcome struct {
	at       clock.Instant
	finished float64
	failed   float64
}

// runnerState is what the detector keeps of a runner.
type runnerState struct {
	service ids.Service
	// outcomes are those within the window and since the last ejection.
	outcomes     []outcome
	ejectedUntil clock.Instant
	// backoff is the exponent of the next ejection's length.
	backoff int
}

// serviceTotals adds up the states of a service's runners.
type serviceTotals struct {
	finished, failed float64
	runners, ejected int
}

// Detector finds the outliers of a zone. The zero value is ready, and safe for
// concurrent use. It reads no clock: instants are given.
type Detector struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runnerState
	// lastEjected are the runners that the last Evaluate gave, sorted.
	lastEjected []ids.RunnerID
}

// Add counts the outcomes that a router of the zone reports.
func (d *Detector) Add(report autoscaler.ReportRequest, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runners == nil {
		d.runners = map[ids.RunnerID]*runnerState{}
	}
	for _, sample := range report.Samples {
		runner := d.runners[sample.Runner]
		if runner == nil {
			runner = &runnerState{}
			d.runners[sample.Runner] = runner
		}
		runner.service = sample.Service
		if sample.Finished+sample.Failed > 0 {
			runner.outcomes = append(runner.outcomes, outcome{at: now, finished: sample.Finished, failed: sample.Failed})
		}
	}
}

// Evaluate ejects the outliers found since the last call, and gives all ejections
// that last. changed reports whether other runners are ejected than after the last
// call, so that the zone must be notified.
func (d *Detector) Evaluate(now clock.Instant) (ejections Ejections, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := d.expire(now)
	var ejected []ids.RunnerID
	for _, id := range slices.Sorted(maps.Keys(d.runners)) {
		runner := d.runners[id]
		totals := services[runner.service]
		if !runner.ejected(now) && totals.mayEject() && runner.isOutlier(totals) {
			runner.eject(now)
			totals.ejected++
		}
		if runner.ejected(now) {
			ejected = append(ejected, id)
			ejections.Runners = append(ejections.Runners, Ejection{Runner: id, LeftMS: runner.ejectedUntil.Since(now).Milliseconds()})
		}
	}
	changed = !slices.Equal(ejected, d.lastEjected)
	d.lastEjected = ejected
	return ejections, changed
}

// expire drops outcomes that left the window, lets backoffs decay, forgets runners
// with neither, and adds up the rest by service.
func (d *Detector) expire(now clock.Instant) map[ids.Service]*serviceTotals {
	services := map[ids.Service]*serviceTotals{}
	for id, runner := range d.runners {
		runner.outcomes = slices.DeleteFunc(runner.outcomes, func(o outcome) bool { return now.Since(o.at) > window })
		if runner.backoff > 0 && now.Since(runner.ejectedUntil) > backoffDecay {
			runner.backoff--
			runner.ejectedUntil = runner.ejectedUntil.Add(backoffDecay)
		}
		if len(runner.outcomes) == 0 && runner.backoff == 0 {
			delete(d.runners, id)
			continue
		}
		totals := services[runner.service]
		if totals == nil {
			totals = &serviceTotals{}
			services[runner.service] = totals
		}
		totals.runners++
		if runner.ejected(now) {
			totals.ejected++
		}
		for _, o := range runner.outcomes {
			totals.finished, totals.failed = totals.finished+o.finished, totals.failed+o.failed
		}
	}
	return services
}

// mayEject reports whether one more runner of the service may be ejected.
func (s *serviceTotals) mayEject() bool {
	return float64(s.ejected+1) <= maxEjectedFraction*float64(s.runners)
}

func (r *runnerState) ejected(now clock.Instant) bool { return now.Before(r.ejectedUntil) }

// eject begins an ejection and forgets the outcomes that led to it.
func (r *runnerState) eject(now clock.Instant) {
	r.ejectedUntil = now.Add(baseEjectionTime << r.backoff)
	r.backoff = min(maxBackoff, r.backoff+1)
	r.outcomes = nil
}

// isOutlier reports whether the runner's failure ratio is peerFactor times that of
// all other runners of its service; totals include the runner.
func (r *runnerState) isOutlier(totals *serviceTotals) bool {
	finished, failed := 0.0, 0.0
	for _, o := range r.outcomes {
		finished, failed = finished+o.finished, failed+o.failed
	}
	if failed < minFailures || failed < minFailureRatio*(finished+failed) {
		return false
	}
	peerRequests := max(1, totals.finished+totals.failed-finished-failed)
	return failed/(finished+failed) >= peerFactor*(totals.failed-failed)/peerRequests
}
