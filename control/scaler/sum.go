package scaler

import (
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/lengths"
	"onyxwell/control/room"
)

// Sum adds up the reports of a zone's routers, so that the planner hears zones
// and not routers.
type Sum struct {
	lock     sync.Mutex
	samples  map[ids.RunnerID]Sample
	demands  map[demandKey]Demand
	readings map[readingKey]room.Reading
	lengths  map[lengths.Kind]lengths.Sum
	region   ids.Region
}

// Add takes a router's report.
func (sum *Sum) Add(report ReportAsk) {
	sum.lock.Lock()
	defer sum.lock.Unlock()
	if sum.samples == nil {
		sum.samples, sum.demands = map[ids.RunnerID]Sample{}, map[demandKey]Demand{}
		sum.readings, sum.lengths = map[readingKey]room.Reading{}, map[lengths.Kind]lengths.Sum{}
	}
	sum.region = report.Region
	for _, sample := range report.Samples {
		sum.samples[sample.Runner] = sample.plus(sum.samples[sample.Runner])
	}
	for _, wanted := range report.Demands {
		key := demandKey{service: wanted.Service, homes: wanted.Homes}
		wanted.Arrived += sum.demands[key].Arrived
		sum.demands[key] = wanted
	}
	for _, reading := range report.Readings {
		key := readingKey{service: reading.Service, route: reading.Route}
		sum.readings[key] = sum.readings[key].Plus(reading)
	}
	for _, seen := range report.Lengths {
		sum.lengths[seen.Kind] = seen.Plus(sum.lengths[seen.Kind])
	}
}

// plus joins what two routers saw of one runner: counts add up, of what the
// runner tells of itself the higher counts.
func (sample Sample) plus(other Sample) Sample {
	sample.Arrived += other.Arrived
	sample.Finished += other.Finished
	sample.Running += other.Running
	sample.Pending += other.Pending
	sample.Failed += other.Failed
	sample.SpentMS += other.SpentMS
	sample.Units += other.Units
	sample.Memory = max(sample.Memory, other.Memory)
	sample.Busy = max(sample.Busy, other.Busy)
	return sample
}

// Take gives the sum since the last time; false says that nothing was added.
func (sum *Sum) Take() (ReportAsk, bool) {
	sum.lock.Lock()
	defer sum.lock.Unlock()
	report := ReportAsk{Region: sum.region}
	for _, sample := range sum.samples {
		report.Samples = append(report.Samples, sample)
	}
	for _, wanted := range sum.demands {
		report.Demands = append(report.Demands, wanted)
	}
	for _, reading := range sum.readings {
		report.Readings = append(report.Readings, reading)
	}
	for _, seen := range sum.lengths {
		report.Lengths = append(report.Lengths, seen)
	}
	any := sum.samples != nil
	sum.samples, sum.demands, sum.readings, sum.lengths = nil, nil, nil, nil
	return report, any
}
