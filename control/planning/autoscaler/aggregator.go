package autoscaler

import (
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// Aggregator sums the reports of a zone's routers, so that the planner receives a
// single report from each zone. The zero value is ready to use. It is safe for
// concurrent use.
type Aggregator struct {
	mu       sync.Mutex
	samples  map[ids.RunnerID]Sample
	demands  map[demandKey]Demand
	readings map[readingKey]headroom.Reading
	lengths  map[lengthstats.Key]lengthstats.Totals
	region   ids.Region
}

// Add adds a report. All reports must be from the same region.
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
	for _, demand := range report.Demands {
		key := demandKey{service: demand.Service, homeRegions: demand.HomeRegions}
		demand.Arrived += a.demands[key].Arrived
		a.demands[key] = demand
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		a.readings[key] = a.readings[key].Add(reading)
	}
	for _, totals := range report.Lengths {
		a.lengths[totals.Key] = totals.Add(a.lengths[totals.Key])
	}
}

// merge combines the samples of two routers for the same runner. It sums what the
// routers counted, and takes the maximum of the utilizations, which the runner itself
// reports to each router.
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

// Flush returns the sum of the reports since the last call, and false if there were
// none. The entries of the sum are in no particular order, and its From is empty.
func (a *Aggregator) Flush() (ReportRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := ReportRequest{Region: a.region}
	for _, sample := range a.samples {
		report.Samples = append(report.Samples, sample)
	}
	for _, demand := range a.demands {
		report.Demands = append(report.Demands, demand)
	}
	for _, reading := range a.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, totals := range a.lengths {
		report.Lengths = append(report.Lengths, totals)
	}
	ok := a.samples != nil
	a.samples, a.demands, a.readings, a.lengths = nil, nil, nil, nil
	return report, ok
}
