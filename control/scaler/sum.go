package scaler

import (
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/room"
)

// Sum adds up the reports of a zone's routers, so that the planner hears zones
// and not routers.
type Sum struct {
	lock     sync.Mutex
	samples  map[ids.RunnerID]Sample
	demands  map[demandKey]Demand
	readings map[readingKey]room.Reading
	region   ids.Region
}

// Add takes a router's report.
//
// Example:
//
//	sum.Add(report)
func (sum *Sum) Add(report ReportAsk) {
	sum.lock.Lock()
	defer sum.lock.Unlock()
	if sum.samples == nil {
		sum.samples, sum.demands = map[ids.RunnerID]Sample{}, map[demandKey]Demand{}
		sum.readings = map[readingKey]room.Reading{}
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
//
// Example:
//
//	if report, any := sum.Take(); any { send(report) }
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
	any := sum.samples != nil
	sum.samples, sum.demands, sum.readings = nil, nil, nil
	return report, any
}
