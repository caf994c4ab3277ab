package autoscaler

import (
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// Sum adds up the reports of a zone's routers, so that the planner hears zones
// and not routers.
type Sum struct {
	mu       sync.Mutex
	samples  map[ids.RunnerID]Sample
	demands  map[demandKey]Demand
	readings map[readingKey]headroom.Reading
	lengths  map[lengthstats.Kind]lengthstats.Sum
	region   ids.Region
}

// Add takes a router's report.
func (s *Sum) Add(report ReportAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples == nil {
		s.samples, s.demands = map[ids.RunnerID]Sample{}, map[demandKey]Demand{}
		s.readings, s.lengths = map[readingKey]headroom.Reading{}, map[lengthstats.Kind]lengthstats.Sum{}
	}
	s.region = report.Region
	for _, sample := range report.Samples {
		s.samples[sample.Runner] = sample.plus(s.samples[sample.Runner])
	}
	for _, wanted := range report.Demands {
		key := demandKey{service: wanted.Service, homes: wanted.Homes}
		wanted.Arrived += s.demands[key].Arrived
		s.demands[key] = wanted
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		s.readings[key] = s.readings[key].Plus(reading)
	}
	for _, seen := range report.Lengths {
		s.lengths[seen.Kind] = seen.Plus(s.lengths[seen.Kind])
	}
}

// plus joins what two routers saw of one runner: counts add up, of what the
// runner tells of itself the higher counts.
func (s Sample) plus(other Sample) Sample {
	s.Arrived += other.Arrived
	s.Finished += other.Finished
	s.Running += other.Running
	s.Pending += other.Pending
	s.Failed += other.Failed
	s.SpentMS += other.SpentMS
	s.Units += other.Units
	s.Memory = max(s.Memory, other.Memory)
	s.Busy = max(s.Busy, other.Busy)
	return s
}

// Take gives the sum since the last time; false says that nothing was added.
func (s *Sum) Take() (ReportAsk, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := ReportAsk{Region: s.region}
	for _, sample := range s.samples {
		report.Samples = append(report.Samples, sample)
	}
	for _, wanted := range s.demands {
		report.Demands = append(report.Demands, wanted)
	}
	for _, reading := range s.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, seen := range s.lengths {
		report.Lengths = append(report.Lengths, seen)
	}
	any := s.samples != nil
	s.samples, s.demands, s.readings, s.lengths = nil, nil, nil, nil
	return report, any
}
