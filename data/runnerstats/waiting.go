package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Silence tells how long the oldest request at a runner has waited for a first
// sign, if the runner gave no other sign of life since.
func (b *Board) Silence(id ids.RunnerID, now clock.Instant) clock.Span {
	silence := clock.Span(0)
	b.with(id, func(ledger *Ledger) {
		for _, held := range ledger.waits {
			since := held.since
			if since.Before(ledger.Heard) {
				since = ledger.Heard
			}
			silence = max(silence, now.Since(since))
		}
	})
	return silence
}

// Queue tells how many of this router's requests of an urgency wait at a runner
// for a first sign, and for how long the oldest has.
func (b *Board) Queue(id ids.RunnerID, urgency int, now clock.Instant) (int, clock.Span) {
	count, oldest := 0, clock.Span(0)
	b.with(id, func(ledger *Ledger) {
		for _, held := range ledger.waits {
			if held.urgency == urgency {
				count++
				oldest = max(oldest, now.Since(held.since))
			}
		}
	})
	return count, oldest
}

// overdueGoals is after how many goals a request that waits for a first sign
// counts against its runner, though it may still end well.
const overdueGoals = 2

// countOverdue counts requests that hang: waiting for their end would tell of an
// ill runner only when the clients have long given up.
func (l *Ledger) countOverdue(now clock.Instant) {
	for number, held := range l.waits {
		if !held.overdue && held.goal > 0 && now.Since(held.since) > overdueGoals*held.goal {
			held.overdue = true
			l.waits[number] = held
			l.failed++
		}
	}
}
