package metrics

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Due gives the doubted runners whose next test is due, and puts the one after
// it off: the pause doubles from the first to eight times as long.
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
func (board *Board) Doubt(id ids.RunnerID, now clock.Instant) {
	board.with(id, func(ledger *Ledger) { ledger.doubt(now) })
}

// A runner that falls again within relapse of the last doubt rests before its
// next test, longer with each fall: its health answer may be good all the while.
const (
	relapse   = 5 * clock.Second
	restAfter = clock.Second / 4
	mostFalls = 4
)

func (ledger *Ledger) doubt(now clock.Instant) {
	if ledger.Doubted {
		return
	}
	ledger.Doubted, ledger.tests, ledger.ill, ledger.due = true, 0, 0, now
	if ledger.cleared == 0 || now.Since(ledger.cleared) > relapse {
		ledger.falls = 0
		return
	}
	ledger.due = now.Add(restAfter << ledger.falls)
	ledger.falls = min(mostFalls, ledger.falls+1)
}

// illAnswers is how often a runner may say that it is ill before it is tried all
// the same: health answers can be false either way.
const illAnswers = 4

// SaysIll notes that a doubted runner answered a test by saying that it is ill;
// it tells whether the runner should be tried with requests nevertheless.
func (board *Board) SaysIll(id ids.RunnerID) bool {
	try := false
	board.with(id, func(ledger *Ledger) {
		ledger.ill++
		try = ledger.ill >= illAnswers
	})
	return try
}

// Vouch ends the doubt about a runner that a test found well.
func (board *Board) Vouch(id ids.RunnerID, now clock.Instant) {
	board.with(id, func(ledger *Ledger) { ledger.clear(now) })
}

// clear ends the doubt about a runner.
func (ledger *Ledger) clear(now clock.Instant) {
	if ledger.Doubted {
		ledger.cleared = now
	}
	ledger.Doubted, ledger.Heard = false, now
}

// Drop forgets a runner that is listed no more.
func (board *Board) Drop(id ids.RunnerID) {
	board.with(id, func(ledger *Ledger) { ledger.Doubted = false })
}
