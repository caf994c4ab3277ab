package autoscaler

import (
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// Aggregator adds up the reports of a zone's routers, so that the planner hears zones
// and not routers.
type Aggregator struct {
	mu       sync.Mutex
	samples  map[ids.RunnerID]Sample
	demands  map[demandKey]Demand
	readings map[readingKey]headroom.Reading
	lengths  map[lengthstats.Key]lengthstats.Totals
	region   ids.Region
}

// Add takes a router's report.
func (a *Aggregator) Add(report ReportRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.samples == nil {
		a.samples, a.demands = map[ids.RunnerID]Sample{}, map[demandKey]Demand{}
		a.readings, a.lengths = map[readingKey]headroom.Reading{}, map[lengthstats.Key]lengthstats.Totals{}
	}
	a.region = report.Region
	for _, sample := range report.Samples {
		a.samples[sample.Runner] = sample.merge(a.samples[sample.Runner])
	}
	for _, wanted := range report.Demands {
		key := demandKey{service: wanted.Service, homeRegions: wanted.HomeRegions}
		wanted.Arrived += a.demands[key].Arrived
		a.demands[key] = wanted
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		a.readings[key] = a.readings[key].Add(reading)
	}
	for _, seen := range report.Lengths {
		a.lengths[seen.Key] = seen.Add(a.lengths[seen.Key])
	}
}

// merge joins what two routers saw of one runner: counts add up, of what the
// runner tells of itself the higher counts.
func (s Sample) merge(other Sample) Sample {
	s.Arrived += other.Arrived
	s.Finished += other.Finished
	s.Running += other.Running
	s.Pending += other.Pending
	s.Failed += other.Failed
	s.ExecutionMS += other.ExecutionMS
	s.Units += other.Units
	s.MemoryUtilization = max(s.MemoryUtilization, other.MemoryUtilization)
	s.Utilization = max(s.Utilization, other.Utilization)
	return s
}

// Flush gives the sum since the last time; false says that nothing was added.
func (a *Aggregator) Flush() (ReportRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := ReportRequest{Region: a.region}
	for _, sample := range a.samples {
		report.Samples = append(report.Samples, sample)
	}
	for _, wanted := range a.demands {
		report.Demands = append(report.Demands, wanted)
	}
	for _, reading := range a.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, seen := range a.lengths {
		report.Lengths = append(report.Lengths, seen)
	}
	any := a.samples != nil
	a.samples, a.demands, a.readings, a.lengths = nil, nil, nil, nil
	return report, any
}
