package runnerstats

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// AddDemand counts a request for a service. homeRegions has the format of
// autoscaler.Demand.
func (c *Collector) AddDemand(service ids.Service, homeRegions string) {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	c.demand[demandKey{service: service, homeRegions: homeRegions}]++
}

// ObserveFirstEvent records the time to the first event of a response. units is the
// work of the request: its prompt tokens, or 1 if it states none. In that case latency is
// the duration of the whole response.
func (c *Collector) ObserveFirstEvent(service ids.Service, route string, units float64, latency time.Duration) {
	latencyMS := float64(latency) / float64(time.Millisecond)
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	key := readingKey{service: service, route: route}
	c.readings[key] = c.readings[key].Add(headroom.Reading{
		Service: service, Route: route, Count: 1, Units: units, UnitsSquared: units * units,
		FirstTokenMS: latencyMS, UnitsFirstTokenMS: units * latencyMS,
	})
}

// ObserveCompletion records a completed response for the length statistics.
func (c *Collector) ObserveCompletion(completion lengthstats.Totals) {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	c.completions[completion.Key] = completion.Add(c.completions[completion.Key])
}

// SampleInFlight samples the numbers of requests in flight and pending at each runner.
// A report contains the means of the samples times the seconds since the last report.
func (c *Collector) SampleInFlight() {
	c.eachShard(func(runners map[ids.RunnerID]*runner) {
		for _, r := range runners {
			r.totals.samples++
			r.totals.inFlight += r.InFlight
			r.totals.pending += float64(len(r.pending))
		}
	})
}

// TakeReport returns and resets the statistics since the last report, which was taken
// elapsed ago. It removes idle runners that are not suspected and have no recent
// suspicion.
func (c *Collector) TakeReport(now clock.Instant, elapsed time.Duration) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	c.eachShard(func(runners map[ids.RunnerID]*runner) {
		for id, r := range runners {
			if sample, ok := r.takeSample(id, now, elapsed.Seconds()); ok {
				report.Samples = append(report.Samples, sample)
			} else if r.InFlight == 0 && !r.Suspect && !r.probing.clearedWithin(relapseWindow, now) {
				delete(runners, id)
			}
		}
	})
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	for key, arrived := range c.demand {
		report.Demands = append(report.Demands, autoscaler.Demand{Service: key.service, HomeRegions: key.homeRegions, Arrived: arrived})
	}
	for _, reading := range c.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, completion := range c.completions {
		report.Lengths = append(report.Lengths, completion)
	}
	c.resetDemand()
	return report
}

// resetDemand resets the counts by service and route. The caller must hold c.demandMu.
func (c *Collector) resetDemand() {
	c.demand, c.readings = map[demandKey]float64{}, map[readingKey]headroom.Reading{}
	c.completions = map[lengthstats.Key]lengthstats.Totals{}
}

// takeSample returns and resets the totals of a runner. It reports whether the runner
// had any request since the last report.
func (r *runner) takeSample(id ids.RunnerID, now clock.Instant, elapsedSeconds float64) (autoscaler.Sample, bool) {
	r.countOverdue(now)
	t := &r.totals
	secondsPerSample := elapsedSeconds / max(1, t.samples)
	sample := autoscaler.Sample{
		Runner: id, Service: r.Service, Arrived: t.arrived, Finished: t.finished, Failed: t.failed,
		Units: t.units, ExecutionMS: t.latencyMS,
		Running: t.inFlight * secondsPerSample, Pending: t.pending * secondsPerSample,
	}
	if r.Load.Slots > 0 {
		sample.Utilization = r.Load.Running / r.Load.Slots
		sample.MemoryUtilization = sample.Utilization
	}
	active := t.arrived+t.finished+t.failed > 0 || r.InFlight > 0
	*t = totals{}
	return sample, active
}
