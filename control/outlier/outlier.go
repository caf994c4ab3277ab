// Package outlier is outlier ejection: a zone's relay judges runners by what the
// zone's own requests met there, whatever the runners say of their health, and
// has the zone's routers leave alone for a while those that fail far more than
// their peers.
package outlier

import (
	"slices"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

// Ejection says for how long a runner is to be left alone.
type Ejection struct {
	Runner ids.RunnerID `avro:"Runner"`
	LeftMS int64        `avro:"LeftMS"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ejection) SchemaName() string { return "Rest_22" }

// Ejections is the news of one zone; an empty one ends all rests.
type Ejections struct {
	Runners []Ejection `avro:"Runners"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ejections) SchemaName() string { return "Rests_22" }

const (
	// minFailures and minFailureRatio are how many requests must fail, and which part,
	// before a runner is judged at all.
	minFailures     = 3.0
	minFailureRatio = 0.25
	// peerFactor is by how much its ratio must be above that of its service.
	peerFactor = 3.0
	// maxEjectedFraction is the part of a service's runners that may rest at one time.
	maxEjectedFraction = 1.0 / 3
	// window is how long what was seen counts, baseEjectionTime how long the first rest
	// lasts; each further one lasts twice as long, up to maxBackoff times.
	window           = 2 * clock.Second
	baseEjectionTime = 2 * clock.Second
	maxBackoff       = 4
	// backoffDecay is how long a runner must go without a rest for one fall to be
	// forgotten.
	backoffDecay = 30 * clock.Second
)

type outcome struct {
	at       clock.Instant
	finished float64
	failed   float64
}

type runnerState struct {
	service      ids.Service
	outcomes     []outcome
	ejectedUntil clock.Instant
	backoff      int
}

// Detector keeps what a zone's requests met lately.
type Detector struct {
	mu          sync.Mutex
	runners     map[ids.RunnerID]*runnerState
	lastEjected []ids.RunnerID
}

// Add adds a report of a router of the zone.
func (d *Detector) Add(report autoscaler.ReportRequest, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runners == nil {
		d.runners = map[ids.RunnerID]*runnerState{}
	}
	for _, sample := range report.Samples {
		known := d.runners[sample.Runner]
		if known == nil {
			known = &runnerState{}
			d.runners[sample.Runner] = known
		}
		known.service = sample.Service
		if sample.Finished+sample.Failed > 0 {
			known.outcomes = append(known.outcomes, outcome{at: now, finished: sample.Finished, failed: sample.Failed})
		}
	}
}

// Evaluate tells who is to rest now; changed says that the zone must be told.
func (d *Detector) Evaluate(now clock.Instant) (rests Ejections, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := d.expire(now)
	names := make([]ids.RunnerID, 0, len(d.runners))
	for id := range d.runners {
		names = append(names, id)
	}
	slices.SortFunc(names, func(left, right ids.RunnerID) int { return strings.Compare(string(left), string(right)) })
	var resting []ids.RunnerID
	for _, id := range names {
		known := d.runners[id]
		total := services[known.service]
		if !now.Before(known.ejectedUntil) && known.isOutlier(total) && float64(total.ejected+1) <= maxEjectedFraction*float64(total.runners) {
			known.ejectedUntil = now.Add(baseEjectionTime << known.backoff)
			known.backoff = min(maxBackoff, known.backoff+1)
			known.outcomes = nil
			total.ejected++
		}
		if now.Before(known.ejectedUntil) {
			resting = append(resting, id)
			rests.Runners = append(rests.Runners, Ejection{Runner: id, LeftMS: known.ejectedUntil.Since(now).Milliseconds()})
		}
	}
	changed = !slices.Equal(resting, d.lastEjected)
	d.lastEjected = resting
	return rests, changed
}

// serviceTotals is what all runners of a service did lately.
type serviceTotals struct {
	finished, failed float64
	runners, ejected int
}

// expire drops what is old and adds up what is left.
func (d *Detector) expire(now clock.Instant) map[ids.Service]*serviceTotals {
	services := map[ids.Service]*serviceTotals{}
	for id, known := range d.runners {
		known.outcomes = slices.DeleteFunc(known.outcomes, func(seen outcome) bool { return now.Since(seen.at) > window })
		if quiet := now.Since(known.ejectedUntil); known.backoff > 0 && quiet > backoffDecay {
			known.backoff--
			known.ejectedUntil = known.ejectedUntil.Add(backoffDecay)
		}
		if len(known.outcomes) == 0 && known.backoff == 0 {
			delete(d.runners, id)
			continue
		}
		total := services[known.service]
		if total == nil {
			total = &serviceTotals{}
			services[known.service] = total
		}
		total.runners++
		if now.Before(known.ejectedUntil) {
			total.ejected++
		}
		for _, seen := range known.outcomes {
			total.finished, total.failed = total.finished+seen.finished, total.failed+seen.failed
		}
	}
	return services
}

// isOutlier tells whether a runner stands out from its peers.
func (r *runnerState) isOutlier(total *serviceTotals) bool {
	finished, failed := 0.0, 0.0
	for _, seen := range r.outcomes {
		finished, failed = finished+seen.finished, failed+seen.failed
	}
	if failed < minFailures || failed < minFailureRatio*(finished+failed) {
		return false
	}
	others := max(1, total.finished+total.failed-finished-failed)
	return failed/(finished+failed) >= peerFactor*(total.failed-failed)/others
}

// Key is the news key of a zone's rests; only that zone hears of it.
func Key(zone ids.Zone) string { return gossip.ZonePrefix + string(zone) }

// Decode reads the body of the news item.
func Decode(body []byte) (Ejections, error) { return transport.Unmarshal[Ejections](body) }
