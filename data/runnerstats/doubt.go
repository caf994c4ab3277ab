package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Due gives the doubted runners whose next test is due, and puts the one after
// it off: the pause doubles from the first to eight times as long.
func (b *Board) Due(now clock.Instant, first clock.Span) []ids.RunnerID {
	var found []ids.RunnerID
	for index := range b.shards {
		part := &b.shards[index]
		part.mu.Lock()
		for id, ledger := range part.ledgers {
			if ledger.Doubted && !now.Before(ledger.due) {
				found = append(found, id)
				ledger.due = now.Add(first << min(ledger.tests, 3))
				ledger.tests++
			}
		}
		part.mu.Unlock()
	}
	return found
}

// Doubt doubts a runner on other evidence than a request's.
func (b *Board) Doubt(id ids.RunnerID, now clock.Instant) {
	b.with(id, func(ledger *Ledger) { ledger.doubt(now) })
}

// A runner that falls again within relapse of the last doubt rests before its
// next test, longer with each fall: its health answer may be good all the while.
const (
	relapse   = 5 * clock.Second
	restAfter = clock.Second / 4
	mostFalls = 4
)

func (l *Ledger) doubt(now clock.Instant) {
	if l.Doubted {
		return
	}
	l.Doubted, l.tests, l.ill, l.due = true, 0, 0, now
	if l.cleared == 0 || now.Since(l.cleared) > relapse {
		l.falls = 0
		return
	}
	l.due = now.Add(restAfter << l.falls)
	l.falls = min(mostFalls, l.falls+1)
}

// illAnswers is how often a runner may say that it is ill before it is tried all
// the same: health answers can be false either way.
const illAnswers = 4

// SaysIll notes that a doubted runner answered a test by saying that it is ill;
// it tells whether the runner should be tried with requests nevertheless.
func (b *Board) SaysIll(id ids.RunnerID) bool {
	try := false
	b.with(id, func(ledger *Ledger) {
		ledger.ill++
		try = ledger.ill >= illAnswers
	})
	return try
}

// Vouch ends the doubt about a runner that a test found well.
func (b *Board) Vouch(id ids.RunnerID, now clock.Instant) {
	b.with(id, func(ledger *Ledger) { ledger.clear(now) })
}

// clear ends the doubt about a runner.
func (l *Ledger) clear(now clock.Instant) {
	if l.Doubted {
		l.cleared = now
	}
	l.Doubted, l.Heard = false, now
}

// Drop forgets a runner that is listed no more.
func (b *Board) Drop(id ids.RunnerID) {
	b.with(id, func(ledger *Ledger) { ledger.Doubted = false })
}
