package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// TakeReport gives what was seen since the last time, and begins anew.
func (c *Collector) TakeReport(now clock.Instant, spent clock.Span) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	for index := range c.shards {
		part := &c.shards[index]
		part.mu.Lock()
		for id, ledger := range part.states {
			if sample, any := ledger.takeSample(id, now, spent.Seconds()); any {
				report.Samples = append(report.Samples, sample)
			} else if ledger.InFlight == 0 && !ledger.Suspect && (ledger.clearedAt == 0 || now.Since(ledger.clearedAt) > relapseWindow) {
				delete(part.states, id)
			}
		}
		part.mu.Unlock()
	}
	c.aggregates.mu.Lock()
	defer c.aggregates.mu.Unlock()
	for key, arrived := range c.demand {
		report.Demands = append(report.Demands, autoscaler.Demand{Service: key.service, HomeRegions: key.homes, Arrived: arrived})
	}
	for _, reading := range c.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, sum := range c.completions {
		report.Lengths = append(report.Lengths, sum)
	}
	c.demand, c.readings = map[demandKey]float64{}, map[readingKey]headroom.Reading{}
	c.completions = map[lengthstats.Key]lengthstats.Totals{}
	return report
}

// ObserveCompletion notes a whole answer: its kind, how long it took, how many tokens had to
// be read for it, and whether it began slowly.
func (c *Collector) ObserveCompletion(answer lengthstats.Totals) {
	c.aggregates.mu.Lock()
	defer c.aggregates.mu.Unlock()
	c.completions[answer.Key] = answer.Add(c.completions[answer.Key])
}

func (s *State) takeSample(id ids.RunnerID, now clock.Instant, seconds float64) (autoscaler.Sample, bool) {
	s.countOverdue(now)
	part := seconds / max(1, s.samples)
	sample := autoscaler.Sample{
		Runner: id, Service: s.Service, Arrived: s.arrived, Finished: s.finished, Failed: s.failed,
		Units:       s.units,
		ExecutionMS: s.latencySumMS, Running: s.inFlightSum * part, Pending: s.pendingSum * part,
	}
	if s.Load.Slots > 0 {
		sample.Utilization = s.Load.Running / s.Load.Slots
		sample.MemoryUtilization = sample.Utilization
	}
	any := s.arrived+s.finished+s.failed > 0 || s.InFlight > 0
	s.arrived, s.finished, s.failed, s.latencySumMS, s.units = 0, 0, 0, 0, 0
	s.inFlightSum, s.pendingSum, s.samples = 0, 0, 0
	return sample, any
}
