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
	// minFailures and minFailureRatio are the minimum number and the minimum ratio of
	// failed requests of an outlier.
	minFailures     = 3.0
	minFailureRatio = 0.25
	// peerFactor is the minimum ratio between the failure ratio of an outlier and
	// that of its peers, the other runners of its service.
	peerFactor = 3.0
	// maxEjectedFraction is the maximum fraction of a service's runners that may be
	// ejected at the same time.
	maxEjectedFraction = 1.0 / 3
	// window is how long an outcome is taken into account.
	window = 2 * time.Second
	// baseEjectionTime is the duration of a runner's first ejection. Each further one
	// lasts twice as long as the one before, up to baseEjectionTime << maxBackoff.
	baseEjectionTime = 2 * time.Second
	maxBackoff       = 4
	// backoffDecay is the time without an ejection after which a runner's backoff
	// decreases by one.
	backoffDecay = 30 * time.Second
)

// outcome holds the numbers of a sample's requests that finished and that failed.
type outcome struct {
	at       clock.Instant
	finished float64
	failed   float64
}

// runnerState is the detector's state of one runner.
type runnerState struct {
	service ids.Service
	// outcomes holds the outcomes within the window and since the last ejection.
	outcomes     []outcome
	ejectedUntil clock.Instant
	// backoff is the exponent of the next ejection's duration, which is
	// baseEjectionTime << backoff.
	backoff int
}

// serviceTotals holds the sums over all runners of a service: the requests that
// finished and failed, the runners, and those that are ejected.
type serviceTotals struct {
	finished, failed float64
	runners, ejected int
}

// Detector finds the outliers among the runners that a zone's requests are sent to.
// The zero value is ready to use, and safe for concurrent use. It reads no clock:
// callers pass the current instant.
type Detector struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runnerState
	// lastEjected holds the ejected runners that the last Evaluate returned, sorted.
	lastEjected []ids.RunnerID
}

// Add records the outcomes that a router of the zone reported.
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

// Evaluate ejects the runners that are outliers now, as far as maxEjectedFraction
// permits, and returns all current ejections. changed reports whether the set of
// ejected runners differs from that of the last call, so that the zone's routers
// must be notified.
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

// expire drops outcomes older than the window, decreases the backoffs that are due,
// removes runners that have neither outcomes nor a backoff, and returns the totals
// of the others by service.
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

// ejected reports whether the runner is ejected at an instant.
func (r *runnerState) ejected(now clock.Instant) bool { return now.Before(r.ejectedUntil) }

// eject begins an ejection and drops the outcomes that led to it.
func (r *runnerState) eject(now clock.Instant) {
	r.ejectedUntil = now.Add(baseEjectionTime << r.backoff)
	r.backoff = min(maxBackoff, r.backoff+1)
	r.outcomes = nil
}

// isOutlier reports whether the runner has at least minFailures failed requests, a
// failure ratio of at least minFailureRatio, and one of at least peerFactor times
// that of all other runners of its service together. totals include the runner.
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
