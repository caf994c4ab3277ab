package metrics

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Due gives the doubted runners whose next test is due, and puts the one after
// it off: the pause doubles from the first to eight times as long.
//
// Example:
//
//	for _, id := range board.Due(now, 125*clock.Millisecond) { go test(id) }
func (board *Board) Due(now clock.Instant, first clock.Span) []ids.RunnerID {
	var found []ids.RunnerID
	for index := range board.shards {
		part := &board.shards[index]
		part.lock.Lock()
		for id, ledger := range part.ledgers {
			if ledger.Doubted && !now.Before(ledger.due) {
				found = append(found, id)
				ledger.due = now.Add(first << min(ledger.tests, 3))
				ledger.tests++
			}
		}
		part.lock.Unlock()
	}
	return found
}

// Doubt doubts a runner on other evidence than a request's.
//
// Example:
//
//	board.Doubt(id, now)
func (board *Board) Doubt(id ids.RunnerID, now clock.Instant) {
	board.with(id, func(ledger *Ledger) { ledger.doubt(now) })
}

func (ledger *Ledger) doubt(now clock.Instant) {
	if !ledger.Doubted {
		ledger.Doubted, ledger.tests, ledger.due = true, 0, now
	}
}

// Vouch ends the doubt about a runner that a test found well.
//
// Example:
//
//	board.Vouch(id, now)
func (board *Board) Vouch(id ids.RunnerID, now clock.Instant) {
	board.with(id, func(ledger *Ledger) { ledger.Doubted, ledger.Heard = false, now })
}

// Drop forgets a runner that is listed no more.
//
// Example:
//
//	board.Drop(id)
func (board *Board) Drop(id ids.RunnerID) {
	board.with(id, func(ledger *Ledger) { ledger.Doubted = false })
}
