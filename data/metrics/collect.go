package metrics

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/lengths"
	"onyxwell/control/room"
	"onyxwell/control/scaler"
)

// Collect gives what was seen since the last time, and begins anew.
func (board *Board) Collect(now clock.Instant, spent clock.Span) scaler.ReportAsk {
	var report scaler.ReportAsk
	for index := range board.shards {
		part := &board.shards[index]
		part.lock.Lock()
		for id, ledger := range part.ledgers {
			if sample, any := ledger.collect(id, now, spent.Seconds()); any {
				report.Samples = append(report.Samples, sample)
			} else if ledger.Running == 0 && !ledger.Doubted && (ledger.cleared == 0 || now.Since(ledger.cleared) > relapse) {
				delete(part.ledgers, id)
			}
		}
		part.lock.Unlock()
	}
	board.demand.lock.Lock()
	defer board.demand.lock.Unlock()
	for key, arrived := range board.wanted {
		report.Demands = append(report.Demands, scaler.Demand{Service: key.service, Homes: key.homes, Arrived: arrived})
	}
	for _, reading := range board.read {
		report.Readings = append(report.Readings, reading)
	}
	for _, sum := range board.took {
		report.Lengths = append(report.Lengths, sum)
	}
	board.wanted, board.read = map[demandKey]float64{}, map[readingKey]room.Reading{}
	board.took = map[lengths.Kind]lengths.Sum{}
	return report
}

// Took notes a whole answer: its kind, how long it took, how many tokens had to
// be read for it, and whether it began slowly.
func (board *Board) Took(answer lengths.Sum) {
	board.demand.lock.Lock()
	defer board.demand.lock.Unlock()
	board.took[answer.Kind] = answer.Plus(board.took[answer.Kind])
}

func (ledger *Ledger) collect(id ids.RunnerID, now clock.Instant, seconds float64) (scaler.Sample, bool) {
	ledger.countOverdue(now)
	part := seconds / max(1, ledger.looks)
	sample := scaler.Sample{
		Runner: id, Service: ledger.Service, Arrived: ledger.arrived, Finished: ledger.finished, Failed: ledger.failed,
		Units:   ledger.units,
		SpentMS: ledger.spentMS, Running: ledger.runningSum * part, Pending: ledger.pendingSum * part,
	}
	if ledger.Load.Slots > 0 {
		sample.Busy = ledger.Load.Running / ledger.Load.Slots
		sample.Memory = sample.Busy
	}
	any := ledger.arrived+ledger.finished+ledger.failed > 0 || ledger.Running > 0
	ledger.arrived, ledger.finished, ledger.failed, ledger.spentMS, ledger.units = 0, 0, 0, 0, 0
	ledger.runningSum, ledger.pendingSum, ledger.looks = 0, 0, 0
	return sample, any
}
