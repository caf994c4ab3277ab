package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
)

// Collect gives what was seen since the last time, and begins anew.
func (b *Board) Collect(now clock.Instant, spent clock.Span) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	for index := range b.shards {
		part := &b.shards[index]
		part.mu.Lock()
		for id, ledger := range part.ledgers {
			if sample, any := ledger.collect(id, now, spent.Seconds()); any {
				report.Samples = append(report.Samples, sample)
			} else if ledger.Running == 0 && !ledger.Doubted && (ledger.cleared == 0 || now.Since(ledger.cleared) > relapse) {
				delete(part.ledgers, id)
			}
		}
		part.mu.Unlock()
	}
	b.demand.mu.Lock()
	defer b.demand.mu.Unlock()
	for key, arrived := range b.wanted {
		report.Demands = append(report.Demands, autoscaler.Demand{Service: key.service, HomeRegions: key.homes, Arrived: arrived})
	}
	for _, reading := range b.read {
		report.Readings = append(report.Readings, reading)
	}
	for _, sum := range b.took {
		report.Lengths = append(report.Lengths, sum)
	}
	b.wanted, b.read = map[demandKey]float64{}, map[readingKey]headroom.Reading{}
	b.took = map[lengthstats.Key]lengthstats.Totals{}
	return report
}

// Took notes a whole answer: its kind, how long it took, how many tokens had to
// be read for it, and whether it began slowly.
func (b *Board) Took(answer lengthstats.Totals) {
	b.demand.mu.Lock()
	defer b.demand.mu.Unlock()
	b.took[answer.Key] = answer.Add(b.took[answer.Key])
}

func (l *Ledger) collect(id ids.RunnerID, now clock.Instant, seconds float64) (autoscaler.Sample, bool) {
	l.countOverdue(now)
	part := seconds / max(1, l.looks)
	sample := autoscaler.Sample{
		Runner: id, Service: l.Service, Arrived: l.arrived, Finished: l.finished, Failed: l.failed,
		Units:       l.units,
		ExecutionMS: l.spentMS, Running: l.runningSum * part, Pending: l.pendingSum * part,
	}
	if l.Load.Slots > 0 {
		sample.Utilization = l.Load.Running / l.Load.Slots
		sample.MemoryUtilization = sample.Utilization
	}
	any := l.arrived+l.finished+l.failed > 0 || l.Running > 0
	l.arrived, l.finished, l.failed, l.spentMS, l.units = 0, 0, 0, 0, 0
	l.runningSum, l.pendingSum, l.looks = 0, 0, 0
	return sample, any
}
