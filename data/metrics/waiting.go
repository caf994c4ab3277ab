package metrics

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Silence tells how long the oldest request at a runner has waited for a first
// sign, if the runner gave no other sign of life since.
//
// Example:
//
//	if board.Silence(id, now) > patience { avoid(id) }
func (board *Board) Silence(id ids.RunnerID, now clock.Instant) clock.Span {
	silence := clock.Span(0)
	board.with(id, func(ledger *Ledger) {
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
//
// Example:
//
//	count, oldest := board.Queue(id, route.Urgency, now)
func (board *Board) Queue(id ids.RunnerID, urgency int, now clock.Instant) (int, clock.Span) {
	count, oldest := 0, clock.Span(0)
	board.with(id, func(ledger *Ledger) {
		for _, held := range ledger.waits {
			if held.urgency == urgency {
				count++
				oldest = max(oldest, now.Since(held.since))
			}
		}
	})
	return count, oldest
}
