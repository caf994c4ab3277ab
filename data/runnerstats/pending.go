package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// SilentFor tells how long the oldest request at a runner has waited for a first
// sign, if the runner gave no other sign of life since.
func (c *Collector) SilentFor(id ids.RunnerID, now clock.Instant) clock.Span {
	silence := clock.Span(0)
	c.update(id, func(ledger *State) {
		for _, held := range ledger.pending {
			since := held.sentAt
			if since.Before(ledger.LastSeen) {
				since = ledger.LastSeen
			}
			silence = max(silence, now.Since(since))
		}
	})
	return silence
}

// QueuedFor tells how many of this router's requests of an urgency wait at a runner
// for a first sign, and for how long the oldest has.
func (c *Collector) QueuedFor(id ids.RunnerID, urgency int, now clock.Instant) (int, clock.Span) {
	count, oldest := 0, clock.Span(0)
	c.update(id, func(ledger *State) {
		for _, held := range ledger.pending {
			if held.urgency == urgency {
				count++
				oldest = max(oldest, now.Since(held.sentAt))
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
func (s *State) countOverdue(now clock.Instant) {
	for number, held := range s.pending {
		if !held.overdue && held.goal > 0 && now.Since(held.sentAt) > overdueGoals*held.goal {
			held.overdue = true
			s.pending[number] = held
			s.failed++
		}
	}
}
