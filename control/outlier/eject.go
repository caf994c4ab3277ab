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

// Rest says for how long a runner is to be left alone.
type Rest struct {
	Runner ids.RunnerID `avro:"Runner"`
	LeftMS int64        `avro:"LeftMS"`
}

// SchemaName names the stored and sent form; it must never change.
func (Rest) SchemaName() string { return "Rest_22" }

// Rests is the news of one zone; an empty one ends all rests.
type Rests struct {
	Runners []Rest `avro:"Runners"`
}

// SchemaName names the stored and sent form; it must never change.
func (Rests) SchemaName() string { return "Rests_22" }

const (
	// fewestFailed and leastRatio are how many requests must fail, and which part,
	// before a runner is judged at all.
	fewestFailed = 3.0
	leastRatio   = 0.25
	// worse is by how much its ratio must be above that of its service.
	worse = 3.0
	// mostResting is the part of a service's runners that may rest at one time.
	mostResting = 1.0 / 3
	// memory is how long what was seen counts, firstRest how long the first rest
	// lasts; each further one lasts twice as long, up to mostFalls times.
	memory    = 2 * clock.Second
	firstRest = 2 * clock.Second
	mostFalls = 4
	// forgiven is how long a runner must go without a rest for one fall to be
	// forgotten.
	forgiven = 30 * clock.Second
)

type look struct {
	at       clock.Instant
	finished float64
	failed   float64
}

type record struct {
	service ids.Service
	looks   []look
	until   clock.Instant
	falls   int
}

// Judge keeps what a zone's requests met lately.
type Judge struct {
	mu      sync.Mutex
	records map[ids.RunnerID]*record
	told    []ids.RunnerID
}

// Take adds a report of a router of the zone.
func (j *Judge) Take(report autoscaler.ReportAsk, now clock.Instant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records == nil {
		j.records = map[ids.RunnerID]*record{}
	}
	for _, sample := range report.Samples {
		known := j.records[sample.Runner]
		if known == nil {
			known = &record{}
			j.records[sample.Runner] = known
		}
		known.service = sample.Service
		if sample.Finished+sample.Failed > 0 {
			known.looks = append(known.looks, look{at: now, finished: sample.Finished, failed: sample.Failed})
		}
	}
}

// Verdict tells who is to rest now; changed says that the zone must be told.
func (j *Judge) Verdict(now clock.Instant) (rests Rests, changed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	services := j.forget(now)
	names := make([]ids.RunnerID, 0, len(j.records))
	for id := range j.records {
		names = append(names, id)
	}
	slices.SortFunc(names, func(left, right ids.RunnerID) int { return strings.Compare(string(left), string(right)) })
	var resting []ids.RunnerID
	for _, id := range names {
		known := j.records[id]
		total := services[known.service]
		if !now.Before(known.until) && known.stands(total) && float64(total.resting+1) <= mostResting*float64(total.runners) {
			known.until = now.Add(firstRest << known.falls)
			known.falls = min(mostFalls, known.falls+1)
			known.looks = nil
			total.resting++
		}
		if now.Before(known.until) {
			resting = append(resting, id)
			rests.Runners = append(rests.Runners, Rest{Runner: id, LeftMS: known.until.Since(now).Milliseconds()})
		}
	}
	changed = !slices.Equal(resting, j.told)
	j.told = resting
	return rests, changed
}

// sums is what all runners of a service did lately.
type sums struct {
	finished, failed float64
	runners, resting int
}

// forget drops what is old and adds up what is left.
func (j *Judge) forget(now clock.Instant) map[ids.Service]*sums {
	services := map[ids.Service]*sums{}
	for id, known := range j.records {
		known.looks = slices.DeleteFunc(known.looks, func(seen look) bool { return now.Since(seen.at) > memory })
		if quiet := now.Since(known.until); known.falls > 0 && quiet > forgiven {
			known.falls--
			known.until = known.until.Add(forgiven)
		}
		if len(known.looks) == 0 && known.falls == 0 {
			delete(j.records, id)
			continue
		}
		total := services[known.service]
		if total == nil {
			total = &sums{}
			services[known.service] = total
		}
		total.runners++
		if now.Before(known.until) {
			total.resting++
		}
		for _, seen := range known.looks {
			total.finished, total.failed = total.finished+seen.finished, total.failed+seen.failed
		}
	}
	return services
}

// stands tells whether a runner stands out from its peers.
func (r *record) stands(total *sums) bool {
	finished, failed := 0.0, 0.0
	for _, seen := range r.looks {
		finished, failed = finished+seen.finished, failed+seen.failed
	}
	if failed < fewestFailed || failed < leastRatio*(finished+failed) {
		return false
	}
	others := max(1, total.finished+total.failed-finished-failed)
	return failed/(finished+failed) >= worse*(total.failed-failed)/others
}

// Key is the news key of a zone's rests; only that zone hears of it.
func Key(zone ids.Zone) string { return gossip.ZonePrefix + string(zone) }

// Read reads the body of the news item.
func Read(body []byte) (Rests, error) { return transport.Unmarshal[Rests](body) }
